// Package cmd is the command line of chive-call.
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
	Load  loadCmd  `cmd:"" help:"Send a load and sum up what became of it."`
	Check checkCmd `cmd:"" help:"Check the events and ledgers of a run."`
}

// output is where a command prints its result.
type output struct{ io.Writer }

// errFound makes the exit code 1 without another message.
var errFound = errors.New("the result is not as it must be")

// Main runs the command line and returns the exit code: 0 if all is well, 1 if the
// result is not as it must be, 2 if the command could not be carried out.
func Main(args []string, stdout, stderr io.Writer) int {
	var cli root
	exit := -1
	parser, err := kong.New(&cli,
		kong.Name("chive-call"),
		kong.Description("Calls pipelines of chivepost, loads them and checks the results."),
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
	case errors.Is(err, errFound):
		return 1
	case err != nil:
		_, _ = fmt.Fprintln(stderr, "chive-call:", err)
		return 2
	}
	return 0
}

// calling holds the flags of all commands that call entry hosts.
type calling struct {
	Entry        []string      `help:"Addresses of entry hosts to ask for addresses." required:""`
	Bundle       string        `help:"Configuration written by chive-stand plan; answers are compared with it." type:"existingfile"`
	Deadline     time.Duration `help:"Deadline of each request." default:"5s"`
	Attempts     int           `help:"Largest number of times that one request is sent." default:"4"`
	LinkDelay    time.Duration `help:"One-way delay to entry hosts to add." default:"0s"`
	Grace        time.Duration `help:"Time to wait for an outcome beyond the deadline." default:"1s"`
	Patience     time.Duration `help:"Time after which a connection without an outcome is broken and the request repeated elsewhere under the same id; 0 waits for the deadline." default:"0s"`
	SecretPrefix string        `help:"Prefix that makes an account's name its secret." default:"secret-"`
	Events       string        `help:"File to append events to."`
}

// agent returns an agent and a function that releases it.
func (c *calling) agent() (*agent.Agent, func(), error) {
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
