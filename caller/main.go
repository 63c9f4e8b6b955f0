// Command chive-call sends requests or a load to pipelines and checks the results.
package main

import (
	"os"

	"chivepost/caller/cmd"
)

func main() { os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr)) }
