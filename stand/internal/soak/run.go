// Package soak runs entry hosts as real processes against stand-ins of the
// platform, injects faults from outside and checks the promises from what callers
// and targets see.
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

// Options sets up a run.
type Options struct {
	Binary   string        // chive-entry
	Dir      string        // for settings and logs
	Seed     uint64        // of faults and load
	Duration time.Duration // of the faults; a calm end follows
	Hosts    int           // 1 to 200
	Callers  int
	Out      io.Writer // a line for each fault
}

const (
	// startTime is what hosts have to become ready.
	startTime = 10 * time.Second
	// calmEnd is how long the load goes on after the last fault, the first part of
	// which is for the deployment to recover.
	calmEnd  = 14 * time.Second
	recovery = 8 * time.Second
	// stopTime is what a host has to stop after SIGTERM.
	stopTime = 10 * time.Second
	// minServed is the part of requests that must be answered once all is calm.
	minServed = 0.95
)

// places maps the data centres of a run to their regions.
var places = map[string]string{"dc-a": "north", "dc-b": "south", "dc-c": "west"}

var placeNames = []string{"dc-a", "dc-b", "dc-c"}

// runner is one soak run.
type runner struct {
	opts    Options
	rand    *rand.Rand
	store   *metaStore
	ledger  *ledger
	hosts   []*host
	version int64

	mu      sync.Mutex
	engines map[string]*engine
	seq     int
	wait    sync.WaitGroup
}

// Result sums a run up.
type Result struct {
	Violations    []string
	Counts        map[string]int
	AnsweredRatio float64 // part of the requests answered in the calm end
	Faults        map[string]int
}

// Run plays a run to its end.
func Run(ctx context.Context, opts Options) (Result, error) {
	r := &runner{
		opts: opts, rand: rand.New(rand.NewPCG(opts.Seed, 99)), store: newMetaStore(), ledger: newLedger(), engines: map[string]*engine{},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Result{}, err
	}
	server := &http.Server{Handler: r.store}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }() // nobody uses it any more
	defer r.end()
	if err := r.setUp(l.Addr().String()); err != nil {
		return Result{}, err
	}
	if err := r.awaitReady(ctx); err != nil {
		return Result{}, err
	}
	return r.play(ctx)
}

func (r *runner) setUp(storeAddress string) error {
	for _, s := range []string{"reg", "llm", "pre"} {
		for i := range 3 {
			if err := r.addEngine(s, placeNames[i]); err != nil {
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
		place := placeNames[i%len(placeNames)]
		h := &host{
			name: fmt.Sprintf("host-%d", i), ip: fmt.Sprintf("127.%d.10.%d", 1+r.opts.Seed%250, 2+i), place: place, region: places[place],
			binary: r.opts.Binary, dir: r.opts.Dir, link: link,
		}
		if len(seeds) < 3 {
			seeds = append(seeds, h.address(portPeers))
		}
		r.hosts = append(r.hosts, h)
	}
	for _, h := range r.hosts {
		if err := os.WriteFile(filepath.Join(r.opts.Dir, h.name+".conf"), []byte(h.settings(places, seeds)), 0o644); err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

func (r *runner) addEngine(service, place string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	e, err := startEngine(fmt.Sprintf("%s-%d", service, r.seq), service, place, r.ledger, r.store)
	if err != nil {
		return err
	}
	r.engines[e.id] = e
	return nil
}

// publish writes a configuration in which these keys hold.
func (r *runner) publish(held ...key) {
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
	for _, k := range held {
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
				"Slots": 1, "Queue": 50, "Batch": 16, "CallMs": stageCall.Milliseconds(), "ItemMs": stageItem.Milliseconds(), "HeadroomMb": 10, "HandleTtlS": 4,
			}},
		},
		"Tenants": tenants,
	})
	r.store.put(feed.TopicOperator, feed.KeyConfig, config)
}

func (r *runner) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(startTime)
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
				return fmt.Errorf("host %s isn't ready after %s", h.name, startTime)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (r *runner) play(ctx context.Context) (Result, error) {
	load, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var callers sync.WaitGroup
	for n := range r.opts.Callers {
		callers.Go(func() { newCaller(n, r, r.opts.Seed).loop(load) })
	}
	faults := r.inject(ctx)
	r.wait.Wait() // every fault has ended
	time.Sleep(recovery)
	sent, answered := r.sums()
	time.Sleep(calmEnd - recovery)
	sentAfter, answeredAfter := r.sums()
	stopLoad()
	callers.Wait()
	out := Result{Faults: faults, AnsweredRatio: float64(answeredAfter-answered) / float64(max(sentAfter-sent, 1))}
	var stops sync.WaitGroup
	for _, h := range r.hosts {
		stops.Go(func() {
			if err := h.over(stopTime); err != nil {
				r.ledger.wrong("%v", err)
			}
		})
	}
	stops.Wait()
	if out.AnsweredRatio < minServed {
		r.ledger.wrong("%.3f of the requests are answered after the faults, want %.2f", out.AnsweredRatio, minServed)
	}
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	out.Violations, out.Counts = r.ledger.breaches, r.ledger.counts
	return out, nil
}

func (r *runner) sums() (sent, answered int) {
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	return r.ledger.counts["sent"], r.ledger.counts["answered"]
}

// end stops whatever the run has started.
func (r *runner) end() {
	for _, h := range r.hosts {
		h.mu.Lock()
		h.isOver = true
		if h.cmd != nil {
			_ = h.cmd.Process.Signal(syscall.SIGKILL) // it may have ended
		}
		h.mu.Unlock()
		h.link.close()
	}
	for _, e := range r.engines {
		e.end(false)
	}
}
