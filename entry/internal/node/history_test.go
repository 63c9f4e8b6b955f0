package node

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivepost/share/apiv1"
	"chivepost/share/bundle"
	"chivepost/share/events"
	"chivepost/share/target"
	"chivepost/share/units"
)

var (
	histories = flag.Int("histories", 24, "number of randomised histories")
	firstSeed = flag.Uint64("first-seed", 1, "seed of the first history")
	verbose   = flag.Bool("show-history", false, "print faults and sums of each history")
)

var suite *testing.T

func TestNode(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "node")
}

// history is one randomised run: its faults, callers and operators draw from
// generators of their own, so that one does not change the others' numbers.
type history struct {
	seed  uint64
	rng   *rand.Rand
	names []string
}

func pick[T any](rng *rand.Rand, list []T) T { return list[rng.IntN(len(list))] }

// race lets two operators change the same data centre's state at two hosts from
// one base version. At most one may win.
func (w *world) race(rng *rand.Rand, dc string, out bool) {
	procs := w.live()
	if len(procs) < 2 {
		return
	}
	rng.Shuffle(len(procs), func(i, j int) { procs[i], procs[j] = procs[j], procs[i] })
	for i, p := range procs[:2] {
		w.wait.Go(func() {
			current, base := p.node.Config().Current()
			if current == nil {
				return
			}
			next, err := current.WithOut(dc, out)
			if err != nil {
				panic(err)
			}
			w.record.Add(events.Event{Kind: publishing, Detail: strings.Join(next.Doc().Out, " ")})
			w.wait.Go(func() { w.watch(p, base) })
			w.publish(p, fmt.Sprintf("operator-%d", i), base, next.Doc())
		})
	}
}

// publishing is the kind of event that begins a publish. From then on the data
// centres that it brings back may get work, before the publisher knows the result.
const publishing events.Kind = "publishing"

// watch records the first version above base as accepted when it is in force at p.
// The publisher's answer comes later, since it waits for other hosts.
func (w *world) watch(p *proc, base int64) {
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end) && p.ctx.Err() == nil; {
		if b, version := p.node.Config().Current(); version > base {
			w.noteAccepted(version, b)
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// noteAccepted records that a version has been accepted.
func (w *world) noteAccepted(version int64, b *bundle.Bundle) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version <= w.version {
		return
	}
	w.version = version
	w.record.Add(events.Event{Kind: events.Published, Version: version, Detail: strings.Join(b.Doc().Out, " ")})
}

// caller sends one request to the end: it goes to another host after a refusal, a
// failure or a broken connection, always with the same id.
func (w *world) caller(rng *rand.Rand, n int, counts *counter) {
	account := pick(rng, []string{"alpha", "beta", "gamma"})
	pipelineName := pick(rng, []string{"letter", "booking", "booking"})
	procs := w.live()
	if len(procs) == 0 {
		return
	}
	asked := time.Now()
	named := pick(rng, procs).node.Addresses(account)
	position, _ := pick(rng, procs).node.claims.Position()
	body := apiv1.Request{Deadline: units.Duration(5 * time.Second), Once: rng.IntN(6) == 0}
	body.ID = fmt.Sprintf("%d-%s%08d", position, account, n)
	if body.Once {
		body.ID += onceMark
	}
	body.Input = target.NewInput("prefix", body.ID, fmt.Sprintf("question %d", n))
	twice := rng.IntN(5) == 0
	for range 4 {
		p := pick(rng, procs)
		if len(named.Addresses) > 0 && rng.IntN(2) == 0 {
			p = w.reach(named.Addresses[0], asked, body.ID)
		}
		if p == nil {
			time.Sleep(time.Second)
			if procs = w.live(); len(procs) == 0 {
				return
			}
			continue
		}
		if twice {
			other := pick(rng, procs)
			w.wait.Go(func() { w.sendOnce(other, account, pipelineName, body) })
		}
		outcome, answer, problem := w.sendOnce(p, account, pipelineName, body)
		counts.add(outcome)
		if len(named.Addresses) > 0 && time.Since(asked) <= named.Hold.Std() && p.self.Address == named.Addresses[0] && problem.Detail == "the host is starting or shutting down" &&
			p.node.Drain().IsLeaving() {
			w.record.Add(events.Event{Kind: events.Got, Request: body.ID, Outcome: "cut off", Detail: p.self.Name})
		}
		if outcome == apiv1.Answered {
			if !answer.IsWhole() || answer.ID != body.ID || answer.Output != w.expected(pipelineName, body.Input) {
				w.record.Add(events.Event{Kind: events.Got, Request: body.ID, Outcome: "wrong", Detail: answer.Output})
			}
			return
		}
		if outcome == apiv1.Unknown {
			return
		}
		time.Sleep(time.Duration(100+rng.IntN(400)) * time.Millisecond)
		if procs = w.live(); len(procs) == 0 {
			return
		}
	}
}

// reach returns the process at an address that a caller was given. A host that left
// gracefully while the caller held its address has cut the caller off.
func (w *world) reach(address string, asked time.Time, id string) *proc {
	name, _, _ := strings.Cut(address, ":")
	p := w.proc(name)
	if p == nil && time.Since(asked) <= 3*time.Second {
		w.record.Add(events.Event{Kind: events.Got, Host: name, Request: id, Outcome: "no connection"})
	}
	return p
}

// runHistory runs one history and returns what the audit found.
func runHistory(seed uint64) (faults, names []string, sums map[apiv1.Outcome]int) {
	w := newWorld(3)
	h := &history{seed: seed, rng: rand.New(rand.NewPCG(seed, 2))}
	counts := newCounter()
	time.Sleep(3 * time.Second)
	res, _ := w.publish(w.live()[0], "first", 0, w.doc)
	first, err := bundle.New(w.doc)
	if err != nil {
		panic(err)
	}
	w.noteAccepted(res.Version, first)
	time.Sleep(3 * time.Second)

	load := rand.New(rand.NewPCG(seed, 3))
	w.wait.Go(func() {
		// Callers come in groups, so that targets are full and cold limits are reached.
		for n := range 240 {
			rng := rand.New(rand.NewPCG(seed, uint64(100+n)))
			w.wait.Go(func() { w.caller(rng, n, counts) })
			if n%24 == 23 {
				time.Sleep(time.Duration(1000+load.IntN(2000)) * time.Millisecond)
			}
		}
	})
	kinds := faultList()
	for range 2 + h.rng.IntN(3) {
		start := time.Duration(h.rng.IntN(8000)) * time.Millisecond
		lasts := time.Duration(1000+h.rng.IntN(11000)) * time.Millisecond
		kind := h.rng.IntN(len(kinds))
		own := &history{rng: rand.New(rand.NewPCG(h.rng.Uint64(), 4))}
		w.wait.Go(func() {
			time.Sleep(start)
			name, end := kinds[kind](w, own)
			w.mu.Lock()
			h.names = append(h.names, fmt.Sprintf("%s at %s for %s", name, start, lasts))
			w.mu.Unlock()
			time.Sleep(lasts)
			end()
		})
	}
	w.wait.Wait()
	time.Sleep(10 * time.Second)
	w.stop()
	// Time stands still once this goroutine ends, so calls on their way end first.
	time.Sleep(callTime + 5*time.Second)

	a := &audit{lines: w.lines(), once: map[string]bool{"booking": true}, cold: map[string]int{}}
	for _, t := range w.doc.Targets {
		a.cold[t.Name] = poolOf(w.doc, t.Pool).ColdLimit
	}
	faults = a.run()
	return faults, h.names, counts.sums()
}

// These histories guard against every breach that audit knows, under two to four
// faults at once.
var _ = It("keeps its promises in randomised histories", func() {
	var (
		mu     sync.Mutex
		total  = map[apiv1.Outcome]int{}
		broken []string
		wait   sync.WaitGroup
		seeds  = make(chan uint64)
	)
	// Each history has a bubble of its own, so several can run at once.
	for range max(1, runtime.GOMAXPROCS(0)-2) {
		wait.Go(func() {
			for seed := range seeds {
				synctest.Test(suite, func(*testing.T) {
					faults, names, sums := runHistory(seed)
					slices.Sort(names)
					mu.Lock()
					defer mu.Unlock()
					for k, v := range sums {
						total[k] += v
					}
					if *verbose {
						fmt.Printf("seed %d: %v %v\n", seed, names, sums)
					}
					for _, f := range faults[:min(len(faults), 5)] {
						broken = append(broken, fmt.Sprintf("seed %d, %v: %s", seed, names, f))
					}
				})
			}
		})
	}
	for i := range *histories {
		seeds <- *firstSeed + uint64(i)
	}
	close(seeds)
	wait.Wait()
	Expect(broken).To(BeEmpty(), strings.Join(broken, "\n"))
	GinkgoWriter.Println("outcomes of all sends:", total)
	Expect(total[apiv1.Answered]).To(BeNumerically(">", 100**histories), "most requests must be answered for the run to prove anything: %v", total)
})
