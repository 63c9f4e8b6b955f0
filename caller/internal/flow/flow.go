// Package flow makes a load: jobs at times that depend only on the seed.
package flow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/samber/oops"

	"chivepost/caller/internal/agent"
	"chivepost/caller/internal/expect"
	"chivepost/share/bundle"
	"chivepost/share/target"
)

// Weight says how often a name is chosen compared with others.
type Weight struct {
	Name   string
	Weight int
}

// Options describe a load.
type Options struct {
	// Rate is jobs a second after the ramp. During the ramp the rate grows evenly
	// from a tenth of it.
	Rate     float64
	Ramp     time.Duration
	Duration time.Duration // With the ramp.
	Seed     uint64
	// Label begins the id of each piece of work; two loads against the same
	// services need different labels.
	Label     string
	Accounts  []Weight
	Pipelines []Weight
	// SecretPrefix and the account's name make up the account's secret.
	SecretPrefix string
	// Clients is the number of clients of each account.
	Clients     int
	Deadline    time.Duration
	StreamShare float64
	// Prefixes is the number of shared prompt prefixes of PrefixBytes each.
	Prefixes    int
	PrefixBytes int
}

// Sender does jobs.
type Sender interface {
	Do(ctx context.Context, job agent.Job) agent.Report
}

// TimedJob is a job and when it starts, from the start of the load.
type TimedJob struct {
	At  time.Duration
	Job agent.Job
}

// Jobs returns the jobs of a load in order of time.
func Jobs(b *bundle.Bundle, opts Options) ([]TimedJob, error) {
	random := rand.New(rand.NewPCG(opts.Seed, 3))
	prefixes := make([]string, max(opts.Prefixes, 1))
	for i := range prefixes {
		prefixes[i] = prefix(random, opts.PrefixBytes)
	}
	var jobs []TimedJob
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / opts.rate(at) * float64(time.Second))
		if at >= opts.Duration {
			return jobs, nil
		}
		job := agent.Job{
			WorkID:   fmt.Sprintf("%s-%06d", opts.Label, len(jobs)),
			Account:  choose(random, opts.Accounts),
			Pipeline: choose(random, opts.Pipelines),
			Client:   random.IntN(max(opts.Clients, 1)),
			Deadline: opts.Deadline,
			Stream:   random.Float64() < opts.StreamShare,
		}
		job.Secret = opts.SecretPrefix + job.Account
		job.AtMostOnce = expect.AtMostOnce(b, job.Pipeline)
		job.Input = target.NewInput(prefixes[random.IntN(len(prefixes))], job.WorkID, fmt.Sprintf("question %d", random.IntN(1000)))
		want, err := expect.Output(b, job.Pipeline, job.Input)
		if err != nil {
			return nil, oops.Wrapf(err, "expected answer")
		}
		job.ExpectedOutput = want
		jobs = append(jobs, TimedJob{At: at, Job: job})
	}
}

// rate returns the jobs a second at a time of the load.
func (o Options) rate(at time.Duration) float64 {
	if at >= o.Ramp {
		return o.Rate
	}
	return o.Rate * (0.1 + 0.9*float64(at)/float64(o.Ramp))
}

func prefix(random *rand.Rand, n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz     "
	var b strings.Builder
	for range n {
		b.WriteByte(letters[random.IntN(len(letters))])
	}
	return b.String()
}

func choose(random *rand.Rand, weights []Weight) string {
	sum := 0
	for _, w := range weights {
		sum += w.Weight
	}
	n := random.IntN(sum)
	for _, w := range weights {
		if n -= w.Weight; n < 0 {
			return w.Name
		}
	}
	return "" // Not reached: n is below the sum.
}

// Run starts each job at its time, whether or not earlier ones have ended, and
// returns when all have. Each report goes to done.
func Run(ctx context.Context, jobs []TimedJob, sender Sender, done func(agent.Report)) {
	start := time.Now()
	var wg sync.WaitGroup
	for _, j := range jobs {
		select {
		case <-time.After(time.Until(start.Add(j.At))):
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() { done(sender.Do(ctx, j.Job)) })
	}
	wg.Wait()
}
