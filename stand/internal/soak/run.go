// Package soak runs entry hosts as real processes against stand-ins of the
// platform, injects faults from outside and checks the guarantees from what callers
// and targets observe.
package soak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Options configures a run.
type Options struct {
	Binary   string        // path of chive-entry
	Dir      string        // for settings and logs
	Faults   Faults        // FaultsMixed if empty
	Seed     uint64        // of faults and load
	Duration time.Duration // of the faults; load without faults follows
	Hosts    int           // at most what the machine bears
	Callers  int
	Out      io.Writer // gets a line for each fault
}

const (
	// startTimeout bounds the time until all hosts are ready.
	startTimeout = 10 * time.Second
	// finalLoadTime is how long the load continues after the last fault. In the first part,
	// recoveryTime, answers don't count for AnsweredRatio.
	finalLoadTime = 14 * time.Second
	recoveryTime  = 8 * time.Second
	// stopTimeout bounds the shutdown of a host after SIGTERM.
	stopTimeout = 10 * time.Second
	// minAnsweredRatio is the lowest AnsweredRatio without a violation.
	minAnsweredRatio = 0.95
)

// regions maps the data centres of a run to their regions.
var regions = map[string]string{"dc-a": "north", "dc-b": "south", "dc-c": "west"}

var dataCentres = []string{"dc-a", "dc-b", "dc-c"}

// Services of a run: plain requests, models and two of stages.
const (
	servicePlain      = "reg"
	serviceModel      = "llm"
	serviceStages     = "pre"
	serviceLongStages = "heavy"
)

var services = []string{servicePlain, serviceModel, serviceStages, serviceLongStages}

const (
	// targetsPerDataCentre is the number of targets of each service, except for models in runs
	// with prompts that crash them.
	targetsPerDataCentre = 1
	taintedPerDataCentre = 3
	// keptPerCaller is the number of callers with a connection of their own for each other one.
	keptPerCaller = 5
)

// runner holds the state of one run.
type runner struct {
	opts    Options
	rand    *rand.Rand
	store   *fakeStore
	checker *checker
	trace   *trace
	hosts   []*host
	taint   taint
	faults  sync.WaitGroup

	isTainting atomic.Bool

	configMu   sync.Mutex
	configRand *rand.Rand
	version    int64
	revoked    int // revocations of revocableKey in force

	mu        sync.Mutex
	targets   map[string]*fakeTarget
	seq       int
	taintRand *rand.Rand

	outMu sync.Mutex
}

// Result is the summary of a run.
type Result struct {
	Violations    []string
	Counts        map[string]int
	AnsweredRatio float64 // answers per request sent after the recovery
	Faults        map[string]int
	Tainted       string // what was found about prompts that crash targets
}

// Run starts a deployment, injects faults under load and returns what was found.
func Run(ctx context.Context, opts Options) (Result, error) {
	if limit := maxHosts(); opts.Hosts < 1 || opts.Hosts > limit {
		return Result{}, fmt.Errorf("number of hosts is %d, must be 1 to %d on this machine", opts.Hosts, limit)
	}
	// Two runs with the same addresses at once would disturb each other.
	claim, err := net.Listen("tcp", fmt.Sprintf("%s:%d", address(opts.Seed, 1), portClaim))
	if err != nil {
		return Result{}, fmt.Errorf("claim the addresses of seed %d: %w", opts.Seed, err)
	}
	defer func() { _ = claim.Close() }()
	newRand := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(opts.Seed, stream)) }
	r := &runner{
		opts: opts, rand: newRand(99), store: newFakeStore(), checker: newChecker(), trace: newTrace(), targets: map[string]*fakeTarget{},
		taint: newTaint(newRand(98)), taintRand: newRand(97), configRand: newRand(96),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Result{}, err
	}
	server := &http.Server{Handler: r.store}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }() // all its users have stopped
	defer r.cleanUp()
	if err := r.setUp(l.Addr().String()); err != nil {
		return Result{}, err
	}
	if err := r.awaitReady(ctx); err != nil {
		return Result{}, err
	}
	return r.execute(ctx)
}

// address returns one of the loopback addresses of a seed.
func address(seed uint64, n int) string { return fmt.Sprintf("127.%d.10.%d", 1+seed%250, n) }

// setUp starts the targets and hosts and publishes the first configuration.
func (r *runner) setUp(storeAddress string) error {
	for _, s := range services {
		n := targetsPerDataCentre
		if s == serviceModel && r.hasTaint() {
			n = taintedPerDataCentre
		}
		for i := range n * len(dataCentres) {
			if err := r.addTarget(s, dataCentres[i%len(dataCentres)]); err != nil {
				return err
			}
		}
	}
	r.publish()
	if err := os.MkdirAll(r.opts.Dir, 0o755); err != nil {
		return err
	}
	var seeds []string
	for i := range r.opts.Hosts {
		link, err := newProxy(storeAddress)
		if err != nil {
			return err
		}
		dataCentre := dataCentres[i%len(dataCentres)]
		h := &host{
			name: fmt.Sprintf("host-%d", i), ip: address(r.opts.Seed, 2+i), dataCentre: dataCentre, region: regions[dataCentre],
			hasCrowd: r.hasCrowd(), binary: r.opts.Binary, dir: r.opts.Dir, storeProxy: link, trace: r.trace, checker: r.checker,
		}
		if len(seeds) < 3 {
			seeds = append(seeds, h.address(portPeers))
		}
		r.hosts = append(r.hosts, h)
	}
	for _, h := range r.hosts {
		if err := os.WriteFile(filepath.Join(r.opts.Dir, h.name+".conf"), []byte(h.settings(regions, seeds)), 0o644); err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

func (r *runner) addTarget(service, dataCentre string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	t, err := startTarget(fmt.Sprintf("%s-%d", service, r.seq), service, dataCentre, r)
	if err != nil {
		return err
	}
	r.targets[t.id] = t
	return nil
}

// hostOf returns the name of the host with the address.
func (r *runner) hostOf(address string) string {
	for _, h := range r.hosts {
		if h.address(portFrontend) == address {
			return h.name
		}
	}
	return address
}

// hasTaint reports whether prompts crash targets in this run.
func (r *runner) hasTaint() bool {
	return r.opts.Faults == FaultsTainted || r.opts.Faults == FaultsAll
}

// print writes a line with the time.
func (r *runner) print(format string, args ...any) {
	r.outMu.Lock()
	defer r.outMu.Unlock()
	_, _ = fmt.Fprintf(r.opts.Out, "%s %s\n", time.Now().Format(timeFormat), fmt.Sprintf(format, args...))
}

func (r *runner) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)
	for _, h := range r.hosts {
		for {
			resp, err := http.Get("http://" + h.address(portReady) + "/readyz") //nolint:noctx // the loop is bounded
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("host %s is not ready after %s", h.name, startTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// execute runs the load and the faults, stops the hosts and returns the summary.
func (r *runner) execute(ctx context.Context) (Result, error) {
	load, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var callers sync.WaitGroup
	for n := range r.opts.Callers {
		callers.Go(func() { newCaller(n, r, r.opts.Seed).sendRequests(load) })
	}
	if r.opts.Faults != FaultsMixed && r.opts.Faults != "" {
		for n := range keptPerCaller * r.opts.Callers {
			callers.Go(func() { newKeptCaller(n, r, r.opts.Seed).sendRequests(load) })
		}
	}
	crowded, endCrowds := context.WithCancel(ctx)
	defer endCrowds()
	if r.hasCrowd() {
		callers.Go(func() { r.runCrowds(crowded) })
	}
	faults := r.injectAll(ctx)
	r.faults.Wait() // until every fault has ended
	endCrowds()
	time.Sleep(recoveryTime)
	sent, answered := r.requestCounts()
	time.Sleep(finalLoadTime - recoveryTime)
	sentAfter, answeredAfter := r.requestCounts()
	if r.opts.Faults == FaultsRestored {
		// Hosts that still read at an offset of an earlier era don't learn of this.
		r.revoke(1)
		time.Sleep(2 * configApplyTime)
	}
	stopLoad()
	callers.Wait()
	out := Result{Faults: faults, AnsweredRatio: float64(answeredAfter-answered) / float64(max(sentAfter-sent, 1))}
	var stops sync.WaitGroup
	for _, h := range r.hosts {
		stops.Go(func() {
			if err := h.stop(stopTimeout); err != nil {
				r.checker.report("%v", err)
			}
		})
	}
	stops.Wait()
	if out.AnsweredRatio < minAnsweredRatio {
		r.checker.report("answered ratio after the faults is %.3f, want at least %.2f", out.AnsweredRatio, minAnsweredRatio)
	}
	for _, v := range slices.Concat(r.trace.losses(), r.trace.announceViolations()) {
		r.checker.report("%s", v)
	}
	if r.hasTaint() {
		violations, summary := r.trace.taintViolations()
		for _, v := range violations {
			r.checker.report("%s", v)
		}
		out.Tainted = summary
	}
	r.checker.mu.Lock()
	defer r.checker.mu.Unlock()
	out.Violations, out.Counts = r.checker.violations, r.checker.counts
	return out, nil
}

// injectAll injects the faults that the options select and returns their number by name.
func (r *runner) injectAll(ctx context.Context) map[string]int {
	out := map[string]int{}
	var mu sync.Mutex
	var parts sync.WaitGroup
	add := func(part func() map[string]int) {
		parts.Go(func() {
			counts := part()
			mu.Lock()
			defer mu.Unlock()
			maps.Copy(out, counts)
		})
	}
	steps := rand.New(rand.NewPCG(r.opts.Seed, 95))
	kind := cmp.Or(r.opts.Faults, FaultsMixed)
	switch kind {
	case FaultsMixed:
		add(func() map[string]int { return r.inject(ctx, faultKinds) })
	case FaultsAll:
		add(func() map[string]int { return r.inject(ctx, slices.Concat(faultKinds, announcedFaults)) })
	case FaultsAnnounced:
		add(func() map[string]int { return r.inject(ctx, announcedFaults) })
	case FaultsResumed:
		add(func() map[string]int { return r.inject(ctx, resumeFaults) })
	case FaultsCrowded:
		add(func() map[string]int { return r.inject(ctx, crowdFaults) })
	case FaultsRestored:
		add(func() map[string]int { return r.inject(ctx, restoreFaults) })
	}
	switch kind {
	case FaultsPlanned, FaultsCrowded, FaultsAll:
		add(func() map[string]int { return r.perform(ctx, planWork(steps, r.opts.Duration, len(r.hosts))) })
	case FaultsTainted:
		add(func() map[string]int { return r.perform(ctx, planRestarts(steps, r.opts.Duration, len(r.hosts))) })
	}
	if r.hasTaint() {
		parts.Go(func() { r.injectTaint(ctx) })
	}
	parts.Wait()
	return out
}

// requestCounts returns how many requests have been sent and answered so far.
func (r *runner) requestCounts() (sent, answered int) {
	r.checker.mu.Lock()
	defer r.checker.mu.Unlock()
	return r.checker.counts["sent"], r.checker.counts["answered"]
}

// cleanUp kills the processes of all hosts and stops the targets.
func (r *runner) cleanUp() {
	for _, h := range r.hosts {
		h.mu.Lock()
		h.isStopped = true
		if h.cmd != nil {
			_ = h.cmd.Process.Signal(syscall.SIGKILL) // the process may have exited
		}
		h.mu.Unlock()
		h.storeProxy.close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.targets {
		t.stop(false)
	}
}
