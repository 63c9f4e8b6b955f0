package cmd

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"chivepost/stand/internal/soak"
)

type soakCmd struct {
	Binary   string        `default:"bin/chive-entry" type:"existingfile" help:"Program of the entry hosts."`
	Dir      string        `default:"out/soak" help:"Folder for settings and logs."`
	Faults   soak.Faults   `default:"all" enum:"mixed,planned,tainted,announced,resumed,restored,crowded,all" help:"What is injected: mixed faults, planned work alone, prompts that crash targets, targets that leave or are busy by what they answer or that answer twice, streams that break off and targets that fail to go on with them, restores of the store from copies beside kills, clients outside the limits beside planned work and faults of hosts, or all but the last three at once."`
	Seed     uint64        `default:"1" help:"Seed of faults and load."`
	Duration time.Duration `default:"1m" help:"How long faults are injected."`
	Hosts    int           `default:"6" help:"Number of entry hosts, at most 200 and what half of the memory bears."`
	Callers  int           `default:"12" help:"Number of callers."`
}

// Run starts a soak run and prints its counts and violations.
func (c *soakCmd) Run(out output) error {
	_, _ = fmt.Fprintf(out, "seed %d, %s of faults (%s), %d hosts, %d callers\n", c.Seed, c.Duration, c.Faults, c.Hosts, c.Callers)
	res, err := soak.Run(context.Background(), soak.Options{
		Binary: c.Binary, Dir: c.Dir, Faults: c.Faults, Seed: c.Seed, Duration: c.Duration, Hosts: c.Hosts, Callers: c.Callers, Out: out,
	})
	if err != nil {
		return err
	}
	for _, m := range []map[string]int{res.Faults, res.Counts} {
		for _, name := range slices.Sorted(maps.Keys(m)) {
			_, _ = fmt.Fprintf(out, "%-24s %d\n", name, m[name])
		}
	}
	_, _ = fmt.Fprintf(out, "answered after the faults %.3f\n", res.AnsweredRatio)
	if res.Tainted != "" {
		_, _ = fmt.Fprintln(out, res.Tainted)
	}
	for _, v := range res.Violations {
		_, _ = fmt.Fprintln(out, "BROKEN:", v)
	}
	if len(res.Violations) > 0 {
		return errors.New("guarantees were violated")
	}
	return nil
}
