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
	verbose   = flag.Bool("show-history", false, "print the faults and the outcomes of each history")
)

var suite *testing.T

func TestNode(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "node")
}

// history is one randomised run. Faults, callers and operators have generators of their
// own, so that the numbers that one draws don't change those of the others.
type history struct {
	seed       uint64
	rng        *rand.Rand
	faultNames []string
}

func pick[T any](rng *rand.Rand, list []T) T { return list[rng.IntN(len(list))] }

// raceOperators lets two operators publish the same change of a data centre at two
// hosts, from one base version. At most one of them may be accepted.
func (env *testEnv) raceOperators(rng *rand.Rand, dc string, out bool) {
	processes := env.live()
	if len(processes) < 2 {
		return
	}
	rng.Shuffle(len(processes), func(i, j int) { processes[i], processes[j] = processes[j], processes[i] })
	for i, p := range processes[:2] {
		env.wg.Go(func() {
			current, base := p.node.Config().Current()
			if current == nil {
				return
			}
			next, err := current.WithDataCentreOut(dc, out)
			if err != nil {
				panic(err)
			}
			env.recorder.Add(events.Event{Kind: kindPublishing, Detail: strings.Join(next.Doc().DataCentresOut, " ")})
			env.wg.Go(func() { env.awaitAccepted(p, base) })
			env.publish(p, fmt.Sprintf("operator-%d", i), base, next.Doc())
		})
	}
}

// kindPublishing is the kind of event recorded before a publish. From then on, data
// centres that it brings back into service may get work, even before the operator gets
// the response.
const kindPublishing events.Kind = "publishing"

// awaitAccepted records the first version above base as accepted once it is in force at
// p. The response to the operator comes later, since the publish waits for other hosts.
func (env *testEnv) awaitAccepted(p *process, base int64) {
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end) && p.ctx.Err() == nil; {
		if b, version := p.node.Config().Current(); version > base {
			env.recordAccepted(version, b)
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// recordAccepted records that a version has been accepted.
func (env *testEnv) recordAccepted(version int64, b *bundle.Bundle) {
	env.mu.Lock()
	defer env.mu.Unlock()
	if version <= env.version {
		return
	}
	env.version = version
	env.recorder.Add(events.Event{Kind: events.Published, Version: version, Detail: strings.Join(b.Doc().DataCentresOut, " ")})
}

// runCaller sends one request until it is answered or its outcome is unknown. After a
// refusal, a failure or a broken connection it tries another host, with the same ID.
func (env *testEnv) runCaller(rng *rand.Rand, index int, counts *outcomeCounter) {
	account := pick(rng, []string{"alpha", "beta", "gamma"})
	pipelineName := pick(rng, []string{"letter", "booking", "booking"})
	processes := env.live()
	if len(processes) == 0 {
		return
	}
	resolvedAt := time.Now()
	resolved := pick(rng, processes).node.Addresses(account)
	position, _ := pick(rng, processes).node.claims.Position()
	body := apiv1.Request{Deadline: units.Duration(5 * time.Second), Once: rng.IntN(6) == 0}
	body.ID = fmt.Sprintf("%d-%s%08d", position, account, index)
	if body.Once {
		body.ID += onceSuffix
	}
	body.Input = target.NewInput("prefix", body.ID, fmt.Sprintf("question %d", index))
	duplicate := rng.IntN(5) == 0
	for range 4 {
		p := pick(rng, processes)
		if len(resolved.Addresses) > 0 && rng.IntN(2) == 0 {
			p = env.processAt(resolved.Addresses[0], resolvedAt, body.ID)
		}
		if p == nil {
			time.Sleep(time.Second)
			if processes = env.live(); len(processes) == 0 {
				return
			}
			continue
		}
		if duplicate {
			other := pick(rng, processes)
			env.wg.Go(func() { env.sendOnce(other, account, pipelineName, body) })
		}
		outcome, answer, problem := env.sendOnce(p, account, pipelineName, body)
		counts.add(outcome)
		if len(resolved.Addresses) > 0 && time.Since(resolvedAt) <= resolved.ValidFor.Std() && p.self.Address == resolved.Addresses[0] && problem.Detail == "the host is starting or shutting down" &&
			p.node.Drain().IsLeaving() {
			env.recorder.Add(events.Event{Kind: events.Received, Request: body.ID, Outcome: "cut off", Detail: p.self.Name})
		}
		if outcome == apiv1.Answered {
			if !answer.IsIntact() || answer.ID != body.ID || answer.Output != env.expectedOutput(pipelineName, body.Input) {
				env.recorder.Add(events.Event{Kind: events.Received, Request: body.ID, Outcome: "wrong", Detail: answer.Output})
			}
			return
		}
		if outcome == apiv1.Unknown {
			return
		}
		time.Sleep(time.Duration(100+rng.IntN(400)) * time.Millisecond)
		if processes = env.live(); len(processes) == 0 {
			return
		}
	}
}

// processAt returns the process at an address that a caller got from a host. If there is
// none while the address is still valid, it records that, and the audit reports a
// violation if the host left gracefully.
func (env *testEnv) processAt(address string, resolvedAt time.Time, id string) *process {
	name, _, _ := strings.Cut(address, ":")
	p := env.process(name)
	if p == nil && time.Since(resolvedAt) <= 3*time.Second {
		env.recorder.Add(events.Event{Kind: events.Received, Host: name, Request: id, Outcome: "no connection"})
	}
	return p
}

// runHistory runs one history and returns the violations that the audit found, the
// faults, and the number of each outcome.
func runHistory(seed uint64) (violations, faultNames []string, outcomes map[apiv1.Outcome]int) {
	env := newTestEnv(3)
	h := &history{seed: seed, rng: rand.New(rand.NewPCG(seed, 2))}
	counts := newOutcomeCounter()
	time.Sleep(3 * time.Second)
	res, _ := env.publish(env.live()[0], "first", 0, env.doc)
	initial, err := bundle.New(env.doc)
	if err != nil {
		panic(err)
	}
	env.recordAccepted(res.Version, initial)
	time.Sleep(3 * time.Second)

	callerRNG := rand.New(rand.NewPCG(seed, 3))
	env.wg.Go(func() {
		// Callers start in groups, so that targets reach their limits, cold ones too.
		for n := range 240 {
			rng := rand.New(rand.NewPCG(seed, uint64(100+n)))
			env.wg.Go(func() { env.runCaller(rng, n, counts) })
			if n%24 == 23 {
				time.Sleep(time.Duration(1000+callerRNG.IntN(2000)) * time.Millisecond)
			}
		}
	})
	kinds := faultList()
	for range 2 + h.rng.IntN(3) {
		start := time.Duration(h.rng.IntN(8000)) * time.Millisecond
		duration := time.Duration(1000+h.rng.IntN(11000)) * time.Millisecond
		kind := h.rng.IntN(len(kinds))
		faultHistory := &history{rng: rand.New(rand.NewPCG(h.rng.Uint64(), 4))}
		env.wg.Go(func() {
			time.Sleep(start)
			name, end := kinds[kind](env, faultHistory)
			env.mu.Lock()
			h.faultNames = append(h.faultNames, fmt.Sprintf("%s at %s for %s", name, start, duration))
			env.mu.Unlock()
			time.Sleep(duration)
			end()
		})
	}
	env.wg.Wait()
	time.Sleep(10 * time.Second)
	env.stopAll()
	// Virtual time stops when this goroutine ends, so wait until calls in flight end.
	time.Sleep(callTimeout + 5*time.Second)

	a := &audit{events: env.recordedEvents(), oncePools: map[string]bool{"booking": true}, coldLimits: map[string]int{}}
	for _, t := range env.doc.Targets {
		a.coldLimits[t.Name] = findPool(env.doc, t.Pool).ColdLimit
	}
	violations = a.check()
	return violations, h.faultNames, counts.totals()
}

// Guards against every violation that audit checks for, under two to four faults at
// once.
var _ = It("keeps all invariants in randomised histories", func() {
	var (
		mu    sync.Mutex
		total = map[apiv1.Outcome]int{}
		found []string
		wg    sync.WaitGroup
		seeds = make(chan uint64)
	)
	// Each history runs in a synctest bubble of its own, so several can run at once.
	for range max(1, runtime.GOMAXPROCS(0)-2) {
		wg.Go(func() {
			for seed := range seeds {
				synctest.Test(suite, func(*testing.T) {
					violations, faultNames, outcomes := runHistory(seed)
					slices.Sort(faultNames)
					mu.Lock()
					defer mu.Unlock()
					for outcome, n := range outcomes {
						total[outcome] += n
					}
					if *verbose {
						fmt.Printf("seed %d: %v %v\n", seed, faultNames, outcomes)
					}
					for _, v := range violations[:min(len(violations), 5)] {
						found = append(found, fmt.Sprintf("seed %d, %v: %s", seed, faultNames, v))
					}
				})
			}
		})
	}
	for i := range *histories {
		seeds <- *firstSeed + uint64(i)
	}
	close(seeds)
	wg.Wait()
	Expect(found).To(BeEmpty(), strings.Join(found, "\n"))
	GinkgoWriter.Println("outcomes of all sends:", total)
	Expect(total[apiv1.Answered]).To(BeNumerically(">", 100**histories), "the histories prove nothing unless most requests are answered: %v", total)
})
