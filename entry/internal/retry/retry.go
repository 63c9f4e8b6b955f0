// Package retry limits retries with budgets per target and per request, so that failures
// don't multiply the load on a failing pool.
package retry

import (
	"sync"
	"time"
)

// Options configures the budgets. The zero value selects the defaults.
type Options struct {
	// Ratio is the maximum number of retries at a target in the window, as a fraction of
	// its first calls (default 0.1).
	Ratio float64
	// MinRetries is the number of retries that is always allowed per target and window
	// (default 1). Without it, a target with little traffic would allow none.
	MinRetries int
	// Window is the time for which calls and retries count (default 10 s).
	Window time.Duration
	// MaxPerStage and MaxPerRequest limit the retries of one request (defaults 1 and 2).
	MaxPerStage   int
	MaxPerRequest int
}

// Budgets holds the retry budgets of all targets. It is safe for concurrent use.
type Budgets struct {
	opts    Options
	started time.Time

	mu      sync.Mutex
	targets map[string]*window
}

// New returns budgets of which nothing is spent.
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

// ForRequest returns the budget of a new request.
func (b *Budgets) ForRequest() *RequestBudget {
	return &RequestBudget{budgets: b, stages: map[string]int{}}
}

// CountFirstCall counts a first call to the target. The number of allowed retries is
// relative to these.
func (b *Budgets) CountFirstCall(target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(target).add(b.bucket(), 1, 0)
}

func (b *Budgets) window(target string) *window {
	w := b.targets[target]
	if w == nil {
		w = &window{}
		b.targets[target] = w
	}
	return w
}

// spend takes one retry from the target's budget. It returns false if none is left.
func (b *Budgets) spend(target string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.bucket()
	w := b.window(target)
	calls, retries := w.add(now, 0, 0)
	if retries >= max(b.opts.MinRetries, int(b.opts.Ratio*float64(calls))) {
		return false
	}
	w.add(now, 0, 1)
	return true
}

// RequestBudget is the retry budget of one request. It is safe for concurrent use.
type RequestBudget struct {
	budgets *Budgets

	mu     sync.Mutex
	spent  int
	stages map[string]int
}

// Allow takes one retry from the budgets of the request, the stage and the given target.
// It returns false and takes nothing if any of the three is used up.
func (r *RequestBudget) Allow(target, stage string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	opts := r.budgets.opts
	if r.spent >= opts.MaxPerRequest || r.stages[stage] >= opts.MaxPerStage || !r.budgets.spend(target) {
		return false
	}
	r.spent++
	r.stages[stage]++
	return true
}

// CountFirstCall counts a first call to the target.
func (r *RequestBudget) CountFirstCall(target string) { r.budgets.CountFirstCall(target) }

// bucketCount is the number of buckets of a window. A call counts for at least nine tenths
// of the window and at most all of it.
const bucketCount = 10

// bucket returns the number of the current bucket, starting at 0 when the budgets were
// created. It uses the monotonic clock.
func (b *Budgets) bucket() int64 { return int64(time.Since(b.started) / (b.opts.Window / bucketCount)) }

// window counts the calls and retries of the last bucketCount buckets in a ring.
type window struct {
	calls, retries [bucketCount]int
	lastBucket     int64
}

// add adds calls and retries to the bucket with the number now and returns the sums over
// the window.
func (w *window) add(now int64, calls, retries int) (int, int) {
	for k := max(w.lastBucket+1, now-bucketCount+1); k <= now; k++ {
		w.calls[k%bucketCount], w.retries[k%bucketCount] = 0, 0
	}
	w.lastBucket = max(w.lastBucket, now)
	w.calls[w.lastBucket%bucketCount] += calls
	w.retries[w.lastBucket%bucketCount] += retries
	sumCalls, sumRetries := 0, 0
	for i := range bucketCount {
		sumCalls += w.calls[i]
		sumRetries += w.retries[i]
	}
	return sumCalls, sumRetries
}
