// Package cmd implements the command line of chive-call.
package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/samber/oops"

	"chivepost/caller/internal/agent"
	"chivepost/share/events"
)

type root struct {
	Send  sendCmd  `cmd:"" help:"Send one request and check its answer."`
	Load  loadCmd  `cmd:"" help:"Send a load and print a summary of the outcomes."`
	Check checkCmd `cmd:"" help:"Check the events and ledgers of a run for violations."`
}

// output is the writer that a command prints its result to.
type output struct{ io.Writer }

// errFailed sets the exit code to 1 without a message, since the printed result shows why.
var errFailed = errors.New("the printed result has failures")

// Main runs the command line and returns the exit code: 0 on success, 1 if the printed
// result has wrong answers or violations or if send got no answer, 2 if the command could not
// be run.
func Main(args []string, stdout, stderr io.Writer) int {
	var cli root
	exit := -1
	parser, err := kong.New(&cli,
		kong.Name("chive-call"),
		kong.Description("Sends requests or a load to pipelines of chivepost and checks the results."),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { exit = code }),
	)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return 2
	}
	command, err := parser.Parse(args)
	if exit >= 0 {
		return exit
	}
	if err == nil {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
		defer stop()
		command.BindTo(ctx, (*context.Context)(nil))
		err = command.Run(output{stdout})
	}
	switch {
	case errors.Is(err, errFailed):
		return 1
	case err != nil:
		_, _ = fmt.Fprintln(stderr, "chive-call:", err)
		return 2
	}
	return 0
}

// callFlags holds the flags of the commands that send requests to entry hosts.
type callFlags struct {
	Entry        []string      `help:"Entry hosts (ip:port) from which the addresses to use are fetched." required:""`
	Bundle       string        `help:"Configuration written by chive-stand plan; answers are compared with it." type:"existingfile"`
	Deadline     time.Duration `help:"Deadline of each request." default:"5s"`
	Attempts     int           `help:"Largest number of attempts for one request." default:"4"`
	LinkDelay    time.Duration `help:"Simulated one-way delay to entry hosts." default:"0s"`
	Grace        time.Duration `help:"Time to wait for an outcome after the deadline." default:"1s"`
	Patience     time.Duration `help:"Time after which a connection without an outcome is closed and the request retried at another host under the same id; 0 waits for the deadline." default:"0s"`
	SecretPrefix string        `help:"Prefix that, followed by the account's name, makes up the account's secret." default:"secret-"`
	Events       string        `help:"File to append events to."`
}

// newAgent returns an agent and a function that closes it and its events file.
func (c *callFlags) newAgent() (*agent.Agent, func(), error) {
	opts := agent.Options{EntryHosts: c.Entry, MaxAttempts: c.Attempts, LinkDelay: c.LinkDelay, Grace: c.Grace, AttemptTimeout: c.Patience}
	release := func() {}
	if c.Events != "" {
		w, err := os.OpenFile(c.Events, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, nil, oops.Wrapf(err, "open events file")
		}
		opts.Events = events.New(w)
		release = func() { _ = w.Close() }
	}
	a := agent.New(opts)
	return a, func() { a.Close(); release() }, nil
}

func writeJSON(w io.Writer, value any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(value)
}
