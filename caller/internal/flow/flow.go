// Package flow generates a load, which is a list of jobs with start times that depends only
// on the options and their seed, and runs it.
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

// Weight gives a name a share of the random choices, in proportion to the other weights.
type Weight struct {
	Name   string
	Weight int
}

// Options describes a load.
type Options struct {
	// Rate is the number of jobs per second after the ramp. During the ramp the rate grows
	// linearly from a tenth of it.
	Rate     float64
	Ramp     time.Duration
	Duration time.Duration // Includes the ramp.
	Seed     uint64
	// Label is the prefix of each work ID. Two loads against the same services need different
	// labels, or their IDs would coincide.
	Label     string
	Accounts  []Weight
	Pipelines []Weight
	// SecretPrefix followed by the account's name is the account's secret.
	SecretPrefix string
	// Clients is the number of clients of each account, which fetch addresses independently.
	Clients     int
	Deadline    time.Duration
	StreamShare float64
	// Prefixes is the number of shared prompt prefixes of PrefixBytes each.
	Prefixes    int
	PrefixBytes int
}

// Sender sends a job, including its retries, and reports the result.
type Sender interface {
	Do(ctx context.Context, job agent.Job) agent.Report
}

// TimedJob is a job and its start time, counted from the start of the load.
type TimedJob struct {
	At  time.Duration
	Job agent.Job
}

// Jobs returns the jobs of a load, sorted by start time. The times between jobs are
// distributed exponentially.
func Jobs(b *bundle.Bundle, opts Options) ([]TimedJob, error) {
	random := rand.New(rand.NewPCG(opts.Seed, 3))
	prefixes := make([]string, max(opts.Prefixes, 1))
	for i := range prefixes {
		prefixes[i] = randomPrefix(random, opts.PrefixBytes)
	}
	var jobs []TimedJob
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / opts.rate(at) * float64(time.Second))
		if at >= opts.Duration {
			return jobs, nil
		}
		job := agent.Job{
			WorkID:   fmt.Sprintf("%s-%06d", opts.Label, len(jobs)),
			Account:  chooseWeighted(random, opts.Accounts),
			Pipeline: chooseWeighted(random, opts.Pipelines),
			Client:   random.IntN(max(opts.Clients, 1)),
			Deadline: opts.Deadline,
			Stream:   random.Float64() < opts.StreamShare,
		}
		job.Secret = opts.SecretPrefix + job.Account
		job.AtMostOnce = expect.AtMostOnce(b, job.Pipeline)
		job.Input = target.NewInput(prefixes[random.IntN(len(prefixes))], job.WorkID, fmt.Sprintf("question %d", random.IntN(1000)))
		output, err := expect.Output(b, job.Pipeline, job.Input)
		if err != nil {
			return nil, oops.Wrapf(err, "compute expected answer")
		}
		job.ExpectedOutput = output
		jobs = append(jobs, TimedJob{At: at, Job: job})
	}
}

// rate returns the number of jobs per second at a time since the start of the load.
func (o Options) rate(at time.Duration) float64 {
	if at >= o.Ramp {
		return o.Rate
	}
	return o.Rate * (0.1 + 0.9*float64(at)/float64(o.Ramp))
}

func randomPrefix(random *rand.Rand, n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz     "
	var b strings.Builder
	for range n {
		b.WriteByte(letters[random.IntN(len(letters))])
	}
	return b.String()
}

func chooseWeighted(random *rand.Rand, weights []Weight) string {
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
	return "" // Unreachable, since n is below the sum.
}

// Run starts each job at its time, even if earlier ones are still running, and returns when
// all have ended. It passes each report to done, from several goroutines at once. No more
// jobs are started after ctx is cancelled.
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
