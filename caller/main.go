// Command chive-call calls pipelines, loads them and checks what became of the calls.
package main

import (
	"os"

	"chivepost/caller/cmd"
)

func main() { os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr)) }
