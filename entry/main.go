// Command chive-entry is the daemon that runs on each entry host.
package main

import (
	"os"

	"chivepost/entry/cmd"
)

func main() { os.Exit(cmd.Execute(os.Args[1:])) }
