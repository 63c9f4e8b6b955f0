// Command chivectl is the command line for operators of chivepost.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"chivepost/admin/cmd"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cmd.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
