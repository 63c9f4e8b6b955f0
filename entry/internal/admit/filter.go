package admit

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"chivepost/entry/internal/chain"
	"chivepost/share/apiv1"
	"chivepost/share/units"
)

// Queue reports the calls that wait for slots of a pool, and how long a new call of an
// account would wait.
type Queue interface {
	Waiting(pool, account string) (all, own int)
	ExpectedWait(pool, account string, share int) time.Duration
}

// Options configures the filter. The zero value selects the defaults.
type Options struct {
	// ProbeEvery is the interval, in requests, at which a request that would be refused
	// for lack of time is let through, so that the estimate is updated (default 50).
	ProbeEvery int
	// CrowdedWaitRatio is the expected wait, as a fraction of the slack of a request, above
	// which accounts that exceed their fair share are refused while others wait (default
	// 0.35).
	CrowdedWaitRatio float64
}

// Filter refuses requests before any stage runs.
type Filter struct {
	opts      Options
	estimator *Estimator
	queue     Queue
	logger    logr.Logger

	mu        sync.Mutex
	inFlight  map[string]*usage
	total     int
	lateCount int
}

// usage counts the requests in flight of an account.
type usage struct {
	share int
	count int
}

// NewFilter returns the admission filter.
func NewFilter(opts Options, estimator *Estimator, queue Queue, logger logr.Logger) *Filter {
	if opts.ProbeEvery == 0 {
		opts.ProbeEvery = 50
	}
	if opts.CrowdedWaitRatio == 0 {
		opts.CrowdedWaitRatio = 0.35
	}
	return &Filter{
		opts: opts, estimator: estimator, queue: queue,
		logger: logger.WithName("admit"), inFlight: map[string]*usage{},
	}
}

// Name returns the filter's name.
func (*Filter) Name() string { return "admit" }

// Handle passes the request on. It refuses a request whose stages are expected to take
// longer than the time left, or whose account exceeds its fair share while calls of
// others wait.
func (f *Filter) Handle(ctx context.Context, req *chain.Request, next chain.Next) chain.Outcome {
	pools := poolsOf(req)
	service, wait := f.estimator.ExpectedServiceTime(pools), f.expectedWait(req, pools)
	left := time.Until(req.Deadline)
	if left < service+wait && !f.allowProbe(pools) {
		return f.refuseLate(req, left, service, wait)
	}
	crowded := wait > time.Duration(f.opts.CrowdedWaitRatio*float64(left-service)) && f.othersWait(req.Account.Name, pools)
	if !f.begin(req, crowded) {
		out := chain.Refused(req.Body.ID, apiv1.ProblemOverload, 503, "the account exceeds its fair share while calls of other accounts wait")
		out.Problem.RetryAfter = retryAfter(wait)
		return out
	}
	defer f.end(req.Account.Name)
	return next(ctx, req)
}

// expectedWait returns the sum of the expected waits of the stages. They are estimated
// from the queue as it is now, since a quantile of past waits lags behind by the wait.
func (f *Filter) expectedWait(req *chain.Request, pools []string) time.Duration {
	var sum time.Duration
	for _, p := range pools {
		sum += f.queue.ExpectedWait(p, req.Account.Name, req.Account.Share)
	}
	return sum
}

// refuseLate refuses a request for lack of time. The problem is an overload, or the
// deadline if the stages would take longer than the time left even with empty queues.
func (f *Filter) refuseLate(req *chain.Request, left, service, wait time.Duration) chain.Outcome {
	problem, status := apiv1.ProblemOverload, 503
	if service > left {
		problem, status = apiv1.ProblemDeadline, 504
	}
	out := chain.Refused(req.Body.ID, problem, status,
		fmt.Sprintf("the stages would take %s, but only %s is left until the deadline", (service+wait).Round(time.Millisecond), left.Round(time.Millisecond)))
	out.Problem.RetryAfter = retryAfter(service + wait - left)
	return out
}

// retryAfter limits the wait to at most 10 s and at least 500 ms, since an earlier retry
// would only repeat the load.
func retryAfter(d time.Duration) units.Duration {
	return units.Duration(min(max(d, 500*time.Millisecond), 10*time.Second).Round(100 * time.Millisecond))
}

// allowProbe lets one of ProbeEvery requests through while a stage has too few
// observations. Without probes, an estimate from an overload would refuse all requests and
// would never be updated. With enough observations, probes would only miss their deadlines.
func (f *Filter) allowProbe(pools []string) bool {
	const minObservations = 20
	if !slices.ContainsFunc(pools, func(p string) bool { return f.estimator.ServiceTime(p).Count < minObservations }) {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lateCount++
	return f.lateCount%f.opts.ProbeEvery == 0
}

// begin counts the request as in flight, unless the queue is crowded and the account of
// the request exceeds its fair share.
func (f *Filter) begin(req *chain.Request, crowded bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.inFlight[req.Account.Name]
	if u == nil {
		u = &usage{}
	}
	u.share = max(1, req.Account.Share)
	if crowded && f.isAboveShare(u) {
		return false
	}
	f.inFlight[req.Account.Name] = u
	u.count++
	f.total++
	return true
}

// othersWait reports whether calls of other accounts wait for any of the pools.
func (f *Filter) othersWait(account string, pools []string) bool {
	for _, p := range pools {
		if all, own := f.queue.Waiting(p, account); all > own {
			return true
		}
	}
	return false
}

// isAboveShare reports whether one more request would raise the account's fraction of the
// requests in flight above its fraction of the shares of all accounts with requests in
// flight. An account without requests in flight never exceeds its share.
func (f *Filter) isAboveShare(u *usage) bool {
	if u.count == 0 {
		return false
	}
	shares := 0
	for _, o := range f.inFlight {
		shares += o.share
	}
	return float64(u.count+1) > float64(f.total+1)*float64(u.share)/float64(shares)
}

func (f *Filter) end(account string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.total--
	u := f.inFlight[account]
	u.count--
	if u.count == 0 {
		delete(f.inFlight, account)
	}
}

func poolsOf(req *chain.Request) []string {
	stages := req.Pipeline.Stages()
	pools := make([]string, len(stages))
	for i, s := range stages {
		pools[i] = s.Pool
	}
	return pools
}
