package cmd

import (
	"context"
	"os"

	"github.com/samber/oops"
	"go.uber.org/fx"

	"chivepost/share/events"
	"chivepost/stand/internal/fleet"
	"chivepost/stand/internal/serve"
	"chivepost/stand/internal/spec"
)

type targetsCmd struct {
	File       string `help:"File that describes the targets." required:"" type:"existingfile"`
	Events     string `help:"File to append events to."`
	Seed       uint64 `help:"Seed of random faults." default:"1"`
	Warm       bool   `help:"Start warm, without the first cold start."`
	WeightsURL string `help:"Weight store that cold starts load from."`
}

// Run serves the targets until a signal.
func (c *targetsCmd) Run() error {
	return run("targets",
		fx.Provide(c.options, newFleet),
	)
}

func (c *targetsCmd) options(lc fx.Lifecycle) (fleet.Options, error) {
	file, err := spec.Read(c.File)
	if err != nil {
		return fleet.Options{}, err
	}
	opts := fleet.Options{File: file, Seed: c.Seed, StartWarm: c.Warm, WeightsURL: c.WeightsURL}
	if c.Events != "" {
		w, err := os.OpenFile(c.Events, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return opts, oops.Wrapf(err, "open events file")
		}
		lc.Append(fx.Hook{OnStop: func(context.Context) error { return w.Close() }})
		opts.Events = events.New(w)
	}
	return opts, nil
}

func newFleet(lc fx.Lifecycle, opts fleet.Options) (*fleet.Fleet, []serve.Endpoint) {
	f := fleet.New(opts)
	lc.Append(fx.Hook{OnStop: func(context.Context) error { f.Close(); return nil }})
	return f, f.Endpoints()
}
