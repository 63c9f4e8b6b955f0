// Command chive-stand runs stand-ins for the platform and the targets of chivepost.
package main

import (
	"os"

	"chivepost/stand/cmd"
)

func main() { os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr)) }
