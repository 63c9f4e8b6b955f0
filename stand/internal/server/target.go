// Package server implements a stand-in of a target: an engine, a member of a stage pool or
// a plain service.
package server

import (
	"context"
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"chivepost/share/bundle"
	"chivepost/share/events"
	"chivepost/share/target"
	"chivepost/share/units"
	"chivepost/stand/internal/gate"
	"chivepost/stand/internal/prefix"
	"chivepost/stand/internal/spec"
)

// Options configure a Target.
type Options struct {
	Spec       spec.Target
	DataCentre string
	// Delays are the one-way delays of the links, by the caller's data centre.
	Delays map[string]units.Duration
	Seed   uint64
	// StartWarm skips the first cold start.
	StartWarm bool
	Events    *events.Recorder
	// LoadWeights, if not nil, is called at each cold start and returns when the
	// model's weights are loaded.
	LoadWeights func(ctx context.Context)
}

// queueFactor is the size of the queue of waiting calls in multiples of the limit.
const queueFactor = 2

// Target is the stand-in of a target.
type Target struct {
	opts   Options
	gate   *gate.Gate
	cache  *prefix.Cache
	ledger ledger

	started int64 // Wall clock at the start, for boot IDs only.

	mu           sync.Mutex
	boots        int
	cold         bool
	fallen       bool // Fails all calls until the restart after FallTime.
	leaving      bool
	inFlight     int
	coldCalls    int // Calls in flight that began in this cold start.
	loaded       loadedState
	cancels      map[string]context.CancelFunc // Of running calls, by ID.
	faults       Faults
	lastAnswer   answer // For crossed answers.
	reports      []loadReport
	bootCtx      context.Context // Ends with this boot.
	endBoot      context.CancelFunc
	cancelWarmUp context.CancelFunc
	closed       bool
	background   sync.WaitGroup
}

// New returns a target that begins a cold start, unless StartWarm is set.
func New(opts Options) *Target {
	s := opts.Spec
	t := &Target{
		opts: opts, gate: gate.New(s.Limit, queueFactor*s.Limit),
		ledger: ledger{counts: map[string]int{}}, started: time.Now().UnixNano(),
		cancels: map[string]context.CancelFunc{},
	}
	t.cache = prefix.New(prefix.Options{
		Blocks:   s.Pace.CacheBlocks,
		EventLag: s.Pace.EventLag.Std(),
		IsLost: func(seq int64) bool {
			return t.draw("cache_event", fmt.Sprint(seq)) < s.Pace.EventGaps
		},
	})
	t.mu.Lock()
	defer t.mu.Unlock()
	t.boot(!opts.StartWarm)
	return t
}

// Close ends all calls and background work.
func (t *Target) Close() {
	t.mu.Lock()
	t.closed = true
	t.endBoot()
	t.cancelWarmUp()
	t.mu.Unlock()
	t.background.Wait()
}

// Name returns the target's name.
func (t *Target) Name() string { return t.opts.Spec.Name }

// Pool returns the name of the target's pool.
func (t *Target) Pool() string { return t.opts.Spec.Pool }

// Address returns the "ip:port" that the target is to listen on.
func (t *Target) Address() string { return t.opts.Spec.Address }

// Handler returns the target's HTTP interface.
func (t *Target) Handler() http.Handler {
	r := mux.NewRouter()
	if t.opts.Spec.Kind == bundle.KindEngine {
		r.HandleFunc("/v1/completions", t.serveCompletion).Methods(http.MethodPost)
		r.HandleFunc("/v1/completions/{id:.+}", t.cancelCall).Methods(http.MethodDelete)
		r.HandleFunc("/v1/cache/export", t.exportKV).Methods(http.MethodPost)
		r.HandleFunc("/v1/cache/import", t.importKV).Methods(http.MethodPost)
		r.HandleFunc("/v1/cache/events", t.serveCacheEvents).Methods(http.MethodGet)
	} else {
		r.HandleFunc("/v1/run", t.serveRun).Methods(http.MethodPost)
	}
	r.HandleFunc("/v1/load", t.serveLoad).Methods(http.MethodGet)
	r.HandleFunc("/v1/orders", t.serveOrder).Methods(http.MethodPost)
	r.HandleFunc("/v1/ledger", t.serveLedger).Methods(http.MethodGet)
	r.HandleFunc("/v1/faults", t.setFaults).Methods(http.MethodPost)
	r.HandleFunc("/v1/faults", t.serveFaults).Methods(http.MethodGet)
	return r
}

// draw returns a pseudo-random number in [0, 1) that depends only on the seed, the target,
// the kind of draw and the ID, not on the order of calls.
func (t *Target) draw(kind, id string) float64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d\x00%s\x00%s\x00%s", t.opts.Seed, t.opts.Spec.Name, kind, id)
	// FNV alone distributes short keys poorly over the high bits.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}

// linkDelay returns the one-way delay of the link to the caller.
func (t *Target) linkDelay(r *http.Request) time.Duration {
	return t.opts.Delays[r.Header.Get(target.HeaderDataCentre)].Std()
}

// sleep waits or returns the context's error.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// event returns an event of the call with the given ID. An ID of three parts separated by
// slashes gives the run, the stage and the attempt.
func (t *Target) event(kind events.Kind, id, input string) events.Event {
	e := events.Event{
		Kind: kind, Target: t.opts.Spec.Name, DataCentre: t.opts.DataCentre,
		Run: id, Request: target.WorkID(input),
	}
	if parts := strings.Split(id, "/"); len(parts) == 3 {
		e.Run, e.Stage, e.Attempt = parts[0], parts[1], parts[2]
	}
	return e
}
