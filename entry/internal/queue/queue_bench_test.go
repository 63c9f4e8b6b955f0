package queue

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"chivepost/entry/internal/route"
	"chivepost/share/target"
)

// plenty has targets of which the first has so many free slots at each look.
type plenty struct {
	targets []route.Target
	free    int
}

func (p *plenty) View(string) []route.Target {
	p.targets[0].Free = p.free
	return p.targets
}

func (*plenty) Take(string) (Hold, bool) { return held{}, true }
func (*plenty) SetWaiting(string, int)   {}
func (*plenty) Changed() <-chan struct{} { return nil }

type held struct{}

func (held) Check() error                      { return nil }
func (held) Fence() uint64                     { return 1 }
func (held) Done(target.Result, time.Duration) {}

func newPlenty(b *testing.B, targets int) (*Queue, *plenty) {
	p := &plenty{}
	for i := range targets {
		dc := i % 11
		p.targets = append(p.targets, route.Target{
			Name: fmt.Sprintf("model-00-engine-%04d", i), DataCentre: fmt.Sprintf("centre-%02d", dc),
			Region: fmt.Sprintf("region-%d", dc%3), State: target.StateWarm, InUse: 1, Limit: 2,
		})
	}
	policy, err := route.New("", route.Options{})
	if err != nil {
		b.Fatal(err)
	}
	return New(Options{DataCentre: "centre-00", Region: "region-0"}, p, policy, logr.Discard()), p
}

// BenchmarkAcquire measures a call that finds a free slot, by the targets of its pool.
func BenchmarkAcquire(b *testing.B) {
	for _, n := range []int{10, 130, 1300} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			q, p := newPlenty(b, n)
			defer q.Close()
			p.free = 1
			job := Job{Pool: "p", Account: "a", Deadline: time.Now().Add(time.Hour), Prefix: 1}
			b.ReportAllocs()
			for b.Loop() {
				job.Prefix++
				if _, err := q.Acquire(context.Background(), job); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkLines measures a call that joins a queue in which a call of each account
// waits, and the one that gets the slot freed meanwhile. The pool has 216 targets.
func BenchmarkLines(b *testing.B) {
	for _, n := range []int{5, 120, 1200} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			q, p := newPlenty(b, 216)
			defer q.Close()
			job := Job{Pool: "p", Deadline: time.Now().Add(time.Hour), Prefix: 1}
			enter := func(i int) {
				job.Account = fmt.Sprintf("account-%04d", i%n)
				job.Prefix++
				if _, err := q.enter(job); err != nil {
					b.Fatal(err)
				}
			}
			for i := range n {
				enter(i)
			}
			p.free = 1
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				enter(i)
				i++
			}
		})
	}
}
