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

// stubSlots reports the same number of free slots of its first target in each view and
// grants every slot.
type stubSlots struct {
	targets []route.Target
	free    int
}

func (p *stubSlots) View(string) []route.Target {
	p.targets[0].Free = p.free
	return p.targets
}

func (*stubSlots) Take(string) (Hold, bool) { return stubHold{}, true }
func (*stubSlots) SetWaiting(string, int)   {}
func (*stubSlots) Changed() <-chan struct{} { return nil }

type stubHold struct{}

func (stubHold) Check() error                      { return nil }
func (stubHold) Fence() uint64                     { return 1 }
func (stubHold) Done(target.Result, time.Duration) {}

func newBenchQueue(b *testing.B, targets int) (*Queue, *stubSlots) {
	p := &stubSlots{}
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

// BenchmarkAcquire measures a call that finds a free slot, by the number of targets of
// its pool.
func BenchmarkAcquire(b *testing.B) {
	for _, n := range []int{10, 130, 1300} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			q, p := newBenchQueue(b, n)
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

// BenchmarkLines measures enqueueing a call while one call of each account waits, and
// assigning the slot that is free by then. The pool has 216 targets.
func BenchmarkLines(b *testing.B) {
	for _, n := range []int{5, 120, 1200} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			q, p := newBenchQueue(b, 216)
			defer q.Close()
			job := Job{Pool: "p", Deadline: time.Now().Add(time.Hour), Prefix: 1}
			enqueue := func(i int) {
				job.Account = fmt.Sprintf("account-%04d", i%n)
				job.Prefix++
				if _, err := q.enqueue(job); err != nil {
					b.Fatal(err)
				}
			}
			for i := range n {
				enqueue(i)
			}
			p.free = 1
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				enqueue(i)
				i++
			}
		})
	}
}
