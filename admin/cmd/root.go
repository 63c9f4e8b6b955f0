// Package cmd implements the commands of chivectl, one file for each.
package cmd

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
	"github.com/posener/complete"
	"github.com/samber/oops"
	"github.com/willabides/kongplete"

	"chivepost/admin/internal/exits"
	"chivepost/admin/internal/output"
)

// cli is the command line. The tag exits lists the exit codes of a command in addition to
// those that every command has. The reference page is generated from it.
type cli struct {
	SettingsFile string   `name:"settings" predictor:"file" env:"CHIVECTL_SETTINGS" placeholder:"FILE" help:"Settings file; without one the defaults apply."`
	Operator     []string `name:"operator" placeholder:"ADDR" help:"Operator address (ip:port) of an entry host; may be given several times. The first that answers is used; status and burn read from all."`
	Output       string   `name:"output" short:"o" enum:",text,json" default:"" placeholder:"text|json" help:"Format of the output."`
	Verbose      bool     `name:"verbose" short:"v" help:"Log calls to standard error."`

	Check      checkCmd      `cmd:"" help:"Check the service files below a folder, without the network."`
	Diff       diffCmd       `cmd:"" help:"Show what a publish would change in the configuration in force." exits:"unreachable"`
	Publish    publishCmd    `cmd:"" help:"Publish the service files below a folder as the configuration." exits:"unreachable,conflict,refused,unknown,unconfirmed"`
	Config     configCmd     `cmd:"" help:"Show the configuration in force."`
	DC         dcCmd         `cmd:"" name:"dc" help:"Take a data centre out of service or back in."`
	Status     statusCmd     `cmd:"" help:"Show the state of entry hosts, controllers and targets." exits:"unreachable,partial"`
	Burn       burnCmd       `cmd:"" help:"Show how fast pipelines use up their error budgets." exits:"unreachable,partial"`
	Explain    explainCmd    `cmd:"" help:"Ask an entry host on the platform where it would send a request now, and why. Nothing is sent to a target." exits:"unreachable"`
	Settings   settingsCmd   `cmd:"" name:"settings" help:"Show the settings in force and where each comes from."`
	Completion completionCmd `cmd:"" help:"Print a shell's completion script."`
}

const description = "chivectl checks and publishes the configuration of chivepost and shows the state of its entry hosts."

// Main runs chivectl with the arguments and returns the exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	c := &cli{}
	stopped := false
	parser, err := newParser(c, stdout, stderr, func(int) { stopped = true })
	if err != nil {
		return finish(stderr, output.Text, err)
	}
	kongplete.Complete(parser,
		kongplete.WithPredictor("dir", complete.PredictDirs("*")),
		kongplete.WithPredictor("file", complete.PredictFiles("*")))
	if stopped {
		return 0
	}
	parsed, err := parser.Parse(args)
	if stopped {
		return 0
	}
	format := output.Format(c.Output)
	if err != nil {
		return finish(stderr, format, oops.Code(exits.Usage).Wrapf(err, "command line (chivectl --help shows it)"))
	}
	e, err := newEnv(ctx, c, stdout, stderr)
	if err == nil {
		format = output.Format(e.prefs.Output.Format)
		err = parsed.Run(e, c)
	}
	return finish(stderr, format, err)
}

// newParser returns the parser that fills c. It calls exit after it has printed the help.
func newParser(c *cli, stdout, stderr io.Writer, exit func(int)) (*kong.Kong, error) {
	return kong.New(c,
		kong.Name("chivectl"),
		kong.Description(description),
		kong.Writers(stdout, stderr),
		kong.Exit(exit),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.Help(func(options kong.HelpOptions, ctx *kong.Context) error {
			if err := kong.DefaultHelpPrinter(options, ctx); err != nil {
				return err
			}
			_, err := fmt.Fprintf(ctx.Stdout, "\n%s", exits.Text())
			return err
		}),
	)
}

// finish prints err, if there is one, and returns its exit code.
func finish(stderr io.Writer, format output.Format, err error) int {
	if err != nil {
		_ = output.PrintError(stderr, format, err)
	}
	return exits.Number(err)
}
