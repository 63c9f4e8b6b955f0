package cmd

import (
	"context"
	"crypto/rand"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/samber/oops"

	"chivepost/caller/internal/expect"
	"chivepost/caller/internal/flow"
	"chivepost/caller/internal/stats"
	"chivepost/share/bundle"
)

type loadCmd struct {
	callFlags
	Rate        float64        `help:"Requests per second after the ramp." default:"20"`
	Ramp        time.Duration  `help:"Time in which the rate grows from a tenth of its value." default:"0s"`
	Duration    time.Duration  `help:"Length of the load, including the ramp." default:"10s"`
	Seed        uint64         `help:"Seed of the random times, accounts, pipelines and inputs." default:"1"`
	Label       string         `help:"Prefix of the work ids; random if not given."`
	Accounts    map[string]int `help:"Weights of accounts, as name=weight;...; the shares in the configuration if not given."`
	Pipelines   map[string]int `help:"Weights of pipelines, as name=weight;...; all equal if not given."`
	Clients     int            `help:"Number of clients of each account; each fetches its own addresses." default:"8"`
	StreamShare float64        `help:"Share of requests with a streamed answer." default:"0.5"`
	Prefixes    int            `help:"Number of shared prompt prefixes." default:"20"`
	PrefixBytes int            `help:"Length of each prefix." default:"512"`
	JSON        bool           `help:"Print JSON." name:"json"`
	Result      string         `help:"File to write the JSON result to, in addition to the output."`
}

// Run sends the load and prints the summary. The exit code is 1 if an answer was wrong or
// incomplete.
func (c *loadCmd) Run(ctx context.Context, out output) error {
	if c.Bundle == "" {
		return oops.Errorf("load needs --bundle for the pipelines and the expected answers")
	}
	b, err := expect.ReadConfig(c.Bundle)
	if err != nil {
		return err
	}
	opts, err := c.options(b)
	if err != nil {
		return err
	}
	jobs, err := flow.Jobs(b, opts)
	if err != nil {
		return err
	}
	a, release, err := c.newAgent()
	if err != nil {
		return err
	}
	defer release()
	collector := stats.New()
	start := time.Now()
	flow.Run(ctx, jobs, a, collector.Add)
	summary := collector.Summary(opts.Label, c.Seed, time.Since(start))
	if c.Result != "" {
		if err := writeResult(c.Result, summary); err != nil {
			return err
		}
	}
	if c.JSON {
		err = writeJSON(out, summary)
	} else {
		err = summary.WriteTable(out)
	}
	if err == nil && summary.Total.Wrong+summary.Total.Incomplete > 0 {
		return errFailed
	}
	return err
}

func writeResult(path string, summary stats.Summary) error {
	f, err := os.Create(path)
	if err != nil {
		return oops.Wrapf(err, "create result file")
	}
	if err := writeJSON(f, summary); err != nil {
		_ = f.Close()
		return oops.Wrapf(err, "write result file")
	}
	return oops.Wrapf(f.Close(), "write result file")
}

func (c *loadCmd) options(b *bundle.Bundle) (flow.Options, error) {
	opts := flow.Options{
		Rate: c.Rate, Ramp: c.Ramp, Duration: c.Duration, Seed: c.Seed, Label: c.Label,
		Accounts: weights(c.Accounts), Pipelines: weights(c.Pipelines), SecretPrefix: c.SecretPrefix,
		Clients: c.Clients, Deadline: c.Deadline, StreamShare: c.StreamShare, Prefixes: c.Prefixes, PrefixBytes: c.PrefixBytes,
	}
	if opts.Label == "" {
		opts.Label = strings.ToLower(rand.Text()[:8])
	}
	if len(opts.Accounts) == 0 {
		for _, a := range b.Doc().Accounts {
			opts.Accounts = append(opts.Accounts, flow.Weight{Name: a.Name, Weight: a.Share})
		}
	}
	if len(opts.Pipelines) == 0 {
		for _, p := range b.Doc().Pipelines {
			opts.Pipelines = append(opts.Pipelines, flow.Weight{Name: p.Name, Weight: 1})
		}
	}
	if c.Rate <= 0 {
		return opts, oops.Errorf("--rate %g: must be above 0", c.Rate)
	}
	for _, w := range slices.Concat(opts.Accounts, opts.Pipelines) {
		if w.Weight < 1 {
			return opts, oops.Errorf("weight of %q is %d: must be at least 1", w.Name, w.Weight)
		}
	}
	return opts, nil
}

// weights returns the entries of m sorted by name, so that the load depends only on the seed.
func weights(m map[string]int) []flow.Weight {
	var out []flow.Weight
	for _, name := range slices.Sorted(maps.Keys(m)) {
		out = append(out, flow.Weight{Name: name, Weight: m[name]})
	}
	return out
}
