// Package cmd implements the command line of chive-stand.
package cmd

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"chivepost/stand/internal/serve"
)

type root struct {
	Log     logCmd     `cmd:"" help:"Run the log service."`
	Hosts   hostsCmd   `cmd:"" help:"Run the host list."`
	Weights weightsCmd `cmd:"" help:"Run the weight store."`
	Targets targetsCmd `cmd:"" help:"Run the targets of one data centre, each with its own listener."`
	Plan    planCmd    `cmd:"" help:"Write the files of a deployment on this machine."`
	Soak    soakCmd    `cmd:"" help:"Run entry hosts on stand-ins of the platform under faults and check the guarantees."`
	Chaos   chaosCmd   `cmd:"" help:"Print a schedule of faults for a run of a whole deployment."`
}

// output is the writer for the result of a command.
type output struct{ io.Writer }

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var cli root
	exit := -1
	parser, err := kong.New(&cli,
		kong.Name("chive-stand"),
		kong.Description("Stand-ins for the platform and the targets of chivepost."),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { exit = code }),
	)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return 2
	}
	ctx, err := parser.Parse(args)
	if exit >= 0 {
		return exit
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "chive-stand:", err)
		return 2
	}
	if err := ctx.Run(output{stdout}); err != nil {
		_, _ = fmt.Fprintln(stderr, "chive-stand:", err)
		return 1
	}
	return 0
}

// run serves the endpoints that opts provide, with a logger of the given name.
func run(name string, opts ...fx.Option) error {
	return serve.Run(append(opts, fx.Provide(func() (logr.Logger, error) {
		z, err := zap.NewProduction()
		if err != nil {
			return logr.Discard(), err
		}
		return zapr.NewLogger(z).WithName(name), nil
	}))...)
}
