// Package retry bounds the calls that are made in addition to the first ones, so
// that a failing pool is not loaded further by its own failures.
package retry

import (
	"sync"
	"time"
)

// Options sets the budgets. The zero value selects the defaults.
type Options struct {
	// Ratio is the part of a target's calls in the window that may be retries
	// (default 0.1).
	Ratio float64
	// MinRetries is the number that is allowed per target and window even below the
	// ratio (default 1); without it a target with little traffic allows none.
	MinRetries int
	// Window is the time over which calls count (default 10 s).
	Window time.Duration
	// MaxPerStage and PerRequest bound one request (defaults 1 and 2).
	MaxPerStage   int
	MaxPerRequest int
}

// Budgets holds the budgets of all targets. It is safe for concurrent use.
type Budgets struct {
	opts    Options
	started time.Time

	mu      sync.Mutex
	targets map[string]*window
}

// New returns full budgets.
func New(opts Options) *Budgets {
	if opts.Ratio == 0 {
		opts.Ratio = 0.1
	}
	if opts.MinRetries == 0 {
		opts.MinRetries = 1
	}
	if opts.Window == 0 {
		opts.Window = 10 * time.Second
	}
	if opts.MaxPerStage == 0 {
		opts.MaxPerStage = 1
	}
	if opts.MaxPerRequest == 0 {
		opts.MaxPerRequest = 2
	}
	return &Budgets{opts: opts, started: time.Now(), targets: map[string]*window{}}
}

// ForRequest returns the budget of one request.
func (b *Budgets) ForRequest() *RequestBudget {
	return &RequestBudget{budgets: b, stages: map[string]int{}}
}

// CountFirstCall counts a first call to the target, towards which retries are measured.
func (b *Budgets) CountFirstCall(target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(target).add(b.slice(), 1, 0)
}

func (b *Budgets) window(target string) *window {
	w := b.targets[target]
	if w == nil {
		w = &window{}
		b.targets[target] = w
	}
	return w
}

// take spends one retry of the target's budget.
func (b *Budgets) take(target string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.slice()
	w := b.window(target)
	calls, retries := w.add(at, 0, 0)
	if retries >= max(b.opts.MinRetries, int(b.opts.Ratio*float64(calls))) {
		return false
	}
	w.add(at, 0, 1)
	return true
}

// RequestBudget is the budget of one request. It is safe for concurrent use.
type RequestBudget struct {
	budgets *Budgets

	mu     sync.Mutex
	spent  int
	stages map[string]int
}

// Allow spends one retry of the request, the stage and the target, the one to
// which the additional call goes. It returns false and spends nothing when any of
// the three is used up.
func (p *RequestBudget) Allow(target, stage string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	opts := p.budgets.opts
	if p.spent >= opts.MaxPerRequest || p.stages[stage] >= opts.MaxPerStage || !p.budgets.take(target) {
		return false
	}
	p.spent++
	p.stages[stage]++
	return true
}

// CountFirstCall counts a first call to the target.
func (p *RequestBudget) CountFirstCall(target string) { p.budgets.CountFirstCall(target) }

// parts is the number of slices of the window: an old call counts up to a tenth
// of the window too long.
const parts = 10

// slice returns the number of the current slice, from 0 when the budgets were
// made. It follows the monotonic clock.
func (b *Budgets) slice() int64 { return int64(time.Since(b.started) / (b.opts.Window / parts)) }

// window counts calls and retries over the recent past.
type window struct {
	calls, retries [parts]int
	last           int64
}

// add counts in slice number at and returns the sums of the window.
func (w *window) add(at int64, calls, retries int) (int, int) {
	for k := max(w.last+1, at-parts+1); k <= at; k++ {
		w.calls[k%parts], w.retries[k%parts] = 0, 0
	}
	w.last = max(w.last, at)
	w.calls[w.last%parts] += calls
	w.retries[w.last%parts] += retries
	sumCalls, sumRetries := 0, 0
	for i := range parts {
		sumCalls += w.calls[i]
		sumRetries += w.retries[i]
	}
	return sumCalls, sumRetries
}
