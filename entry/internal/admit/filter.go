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

// Queue tells what waits for slots of a pool, and how long a new call of an account
// would wait.
type Queue interface {
	Waiting(pool, account string) (all, own int)
	ExpectedWait(pool, account string, share int) time.Duration
}

// Options sets the filter. The zero value selects the defaults.
type Options struct {
	// ProbeEvery lets one of so many requests through that would be refused for
	// lack of time, so that the estimate is renewed (default 50).
	ProbeEvery int
	// CrowdedWaitRatio is the part of the time to spare that calls of an account above its
	// fair share may wait while others wait (default 0.35).
	CrowdedWaitRatio float64
}

// Filter refuses requests before anything is run.
type Filter struct {
	opts      Options
	estimator *Estimator
	queue     Queue
	logger    logr.Logger

	mu       sync.Mutex
	inFlight map[string]*usage
	total    int
	late     int
}

// usage is the requests in flight of one account.
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

// Handle passes the request on, or refuses it when the time left is below the
// expected time of its stages, or when its account is above its fair share while
// calls of others wait.
func (f *Filter) Handle(ctx context.Context, req *chain.Request, next chain.Next) chain.Outcome {
	pools := poolsOf(req)
	service, wait := f.estimator.ExpectedServiceTime(pools), f.wait(req, pools)
	left := time.Until(req.Deadline)
	if left < service+wait && !f.probe(pools) {
		return f.refuseLate(req, left, service, wait)
	}
	crowded := wait > time.Duration(f.opts.CrowdedWaitRatio*float64(left-service)) && f.othersWait(req.Account.Name, pools)
	if !f.enter(req, crowded) {
		out := chain.Refused(req.Body.ID, apiv1.ProblemOverload, 503, "the account is above its fair share while others wait")
		out.Problem.RetryAfter = retryAfter(wait)
		return out
	}
	defer f.leave(req.Account.Name)
	return next(ctx, req)
}

// wait sums the expected waits of the stages. They are those of the queue as it is
// now: a quantile of past waits lags behind by the wait itself.
func (f *Filter) wait(req *chain.Request, pools []string) time.Duration {
	var sum time.Duration
	for _, p := range pools {
		sum += f.queue.ExpectedWait(p, req.Account.Name, req.Account.Share)
	}
	return sum
}

// refuseLate refuses a request. It is an overload unless the stages alone, with
// empty queues, take longer than the time left.
func (f *Filter) refuseLate(req *chain.Request, left, service, wait time.Duration) chain.Outcome {
	problem, status := apiv1.ProblemOverload, 503
	if service > left {
		problem, status = apiv1.ProblemDeadline, 504
	}
	out := chain.Refused(req.Body.ID, problem, status,
		fmt.Sprintf("the stages take %s now, %s is left", (service+wait).Round(time.Millisecond), left.Round(time.Millisecond)))
	out.Problem.RetryAfter = retryAfter(service + wait - left)
	return out
}

// retryAfter returns a wait of at least 500 ms, since a shorter one would only
// repeat the load.
func retryAfter(d time.Duration) units.Duration {
	return units.Duration(min(max(d, 500*time.Millisecond), 10*time.Second).Round(100 * time.Millisecond))
}

// probe lets one of ProbeEvery requests through while a stage has been observed
// too seldom. Without probes an estimate from an overload would refuse all
// requests and would not be renewed; with enough observations they would only miss
// their deadline.
func (f *Filter) probe(pools []string) bool {
	const enough = 20
	if !slices.ContainsFunc(pools, func(p string) bool { return f.estimator.ServiceTime(p).Count < enough }) {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.late++
	return f.late%f.opts.ProbeEvery == 0
}

// enter counts the request in flight, unless the queue is crowded and its account
// is above its fair share.
func (f *Filter) enter(req *chain.Request, crowded bool) bool {
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

func (f *Filter) othersWait(account string, pools []string) bool {
	for _, p := range pools {
		if all, own := f.queue.Waiting(p, account); all > own {
			return true
		}
	}
	return false
}

// isAboveShare compares the account's part of the requests in flight with its
// part of the shares of the accounts that have any.
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

func (f *Filter) leave(account string) {
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
