// Package cmd implements the commands of chive-entry.
package cmd

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

type cli struct {
	Serve    serveCmd    `cmd:"" default:"withargs" help:"Run an entry host."`
	Fleet    fleetCmd    `cmd:"" help:"Run an entry host on the platform, with the settings that it gives."`
	Settings settingsCmd `cmd:"" help:"Check the settings and print those in force with where each came from."`
	Docs     docsCmd     `cmd:"" help:"Print the reference of all settings as Markdown."`
}

// Execute runs the command given by the arguments and returns the exit code.
func Execute(args []string) int {
	var c cli
	parser, err := kong.New(&c, kong.Name("chive-entry"), kong.Description("Daemon of a chivepost entry host."),
		kong.UsageOnError())
	if err != nil {
		fmt.Fprintln(os.Stderr, "chive-entry:", err)
		return 1
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		parser.FatalIfErrorf(err)
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "chive-entry:", err)
		return 1
	}
	return 0
}
