// Package soak runs entry hosts as real processes against stand-ins of the
// platform, injects faults from outside and checks the guarantees from what callers
// and targets observe.
package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"chivepost/platform/feed"
)

// Options configures a run.
type Options struct {
	Binary   string        // path of chive-entry
	Dir      string        // for settings and logs
	Seed     uint64        // of faults and load
	Duration time.Duration // of the faults; load without faults follows
	Hosts    int           // 1 to 200
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

// runner holds the state of one run.
type runner struct {
	opts    Options
	rand    *rand.Rand
	store   *fakeStore
	checker *checker
	hosts   []*host
	version int64

	mu      sync.Mutex
	targets map[string]*fakeTarget
	seq     int
	faults  sync.WaitGroup
}

// Result is the summary of a run.
type Result struct {
	Violations    []string
	Counts        map[string]int
	AnsweredRatio float64 // answers per request sent after the recovery
	Faults        map[string]int
}

// Run starts a deployment, injects faults under load and returns what was found.
func Run(ctx context.Context, opts Options) (Result, error) {
	r := &runner{
		opts: opts, rand: rand.New(rand.NewPCG(opts.Seed, 99)), store: newFakeStore(), checker: newChecker(), targets: map[string]*fakeTarget{},
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

// setUp starts the targets and hosts and publishes the first configuration.
func (r *runner) setUp(storeAddress string) error {
	for _, s := range []string{"reg", "llm", "pre"} {
		for i := range 3 {
			if err := r.addTarget(s, dataCentres[i]); err != nil {
				return err
			}
		}
	}
	r.publish(keys...)
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
			name: fmt.Sprintf("host-%d", i), ip: fmt.Sprintf("127.%d.10.%d", 1+r.opts.Seed%250, 2+i), dataCentre: dataCentre, region: regions[dataCentre],
			binary: r.opts.Binary, dir: r.opts.Dir, storeProxy: link,
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
	t, err := startTarget(fmt.Sprintf("%s-%d", service, r.seq), service, dataCentre, r.checker, r.store)
	if err != nil {
		return err
	}
	r.targets[t.id] = t
	return nil
}

// publish writes a new version of the configuration in which the given keys are valid.
func (r *runner) publish(validKeys ...key) {
	r.version += 1 + int64(r.rand.IntN(3))
	route := func(name, kind, service string, more map[string]any) map[string]any {
		out := map[string]any{
			"Name": name, "Host": "soak.example", "PathPrefix": "/" + name + "/", "Type": kind, "TimeoutMs": callTimeout.Milliseconds(),
			"TargetLatencyMs": 800, "Service": service, "MaxAttempts": 2,
		}
		for k, v := range more {
			out[k] = v
		}
		return out
	}
	tenants := []map[string]any{{"Name": "spare", "ApiKeys": []string{fmt.Sprintf("spare-%d", r.version)}}}
	for _, k := range validKeys {
		tenants = append(tenants, map[string]any{"Name": k.account, "ApiKeys": []string{k.key}})
	}
	config, _ := json.Marshal(map[string]any{ // plain values don't fail
		"Version": r.version,
		"Routes": []any{
			route("once", "unsafe", "reg", nil), route("safe", "safe", "reg", nil),
			route("stream", "streaming", "llm", map[string]any{"Resumable": true, "Sticky": true, "ItlTargetMs": 300, "Stages": []any{
				map[string]any{"Service": "pre", "After": []int{}, "ByteSize": 1000},
				map[string]any{"Service": "pre", "After": []int{0}, "ByteSize": 1000},
			}}),
		},
		"Services": []any{
			map[string]any{"Name": "reg", "HealthPath": "/healthz", "MaxConnections": 400},
			map[string]any{"Name": "llm", "HealthPath": "/healthz", "MaxConnections": 400, "Engine": map[string]any{"Slots": 32}},
			map[string]any{"Name": "pre", "HealthPath": "/healthz", "MaxConnections": 400, "Segments": map[string]any{
				"Slots": 1, "Queue": 50, "Batch": 16, "CallMs": stageCallTime.Milliseconds(), "ItemMs": stageItemTime.Milliseconds(), "HeadroomMb": 10, "HandleTtlS": 4,
			}},
		},
		"Tenants": tenants,
	})
	r.store.put(feed.TopicOperator, feed.KeyConfig, config)
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
	faults := r.inject(ctx)
	r.faults.Wait() // until every fault has ended
	time.Sleep(recoveryTime)
	sent, answered := r.requestCounts()
	time.Sleep(finalLoadTime - recoveryTime)
	sentAfter, answeredAfter := r.requestCounts()
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
	r.checker.mu.Lock()
	defer r.checker.mu.Unlock()
	out.Violations, out.Counts = r.checker.violations, r.checker.counts
	return out, nil
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
	for _, t := range r.targets {
		t.stop(false)
	}
}
