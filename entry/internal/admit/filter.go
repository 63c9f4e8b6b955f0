package admit

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"chivepost/entry/internal/chain"
	"chivepost/share/apiv1"
	"chivepost/share/units"
)

// Queue tells how many calls wait for slots of a pool, in all and of one account.
type Queue interface {
	Waiting(pool, account string) (all, own int)
}

// Options sets the filter. The zero value selects the defaults.
type Options struct {
	// ProbeEvery lets one of so many requests through that would be refused for
	// lack of time, so that the estimate is renewed (default 50).
	ProbeEvery int
	// ShareSlack is the part by which an account may exceed its fair share while
	// others wait (default 0.1).
	ShareSlack float64
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
	if opts.ShareSlack == 0 {
		opts.ShareSlack = 0.1
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
	expected := f.estimator.Expect(pools)
	left := time.Until(req.Deadline)
	if left < expected && !f.probe() {
		return f.refuseLate(req, pools, left, expected)
	}
	if !f.enter(req, pools) {
		out := chain.Refused(req.Body.ID, apiv1.ProblemOverload, 503, "the account is above its fair share while others wait")
		out.Problem.RetryAfter = retryAfter(expected)
		return out
	}
	defer f.leave(req.Account.Name)
	return next(ctx, req)
}

// refuseLate refuses a request. It is an overload unless the stages alone, with
// empty queues, take longer than the time left.
func (f *Filter) refuseLate(req *chain.Request, pools []string, left, expected time.Duration) chain.Outcome {
	problem, status := apiv1.ProblemOverload, 503
	if f.estimator.ExpectService(pools) > left {
		problem, status = apiv1.ProblemDeadline, 504
	}
	out := chain.Refused(req.Body.ID, problem, status,
		fmt.Sprintf("the stages take %s now, %s is left", expected.Round(time.Millisecond), left.Round(time.Millisecond)))
	out.Problem.RetryAfter = retryAfter(expected - left)
	return out
}

// retryAfter returns a wait of at least 500 ms, since a shorter one would only
// repeat the load.
func retryAfter(d time.Duration) units.Duration {
	return units.Duration(min(max(d, 500*time.Millisecond), 10*time.Second).Round(100 * time.Millisecond))
}

// probe lets one of ProbeEvery requests through. Without probes an estimate from
// an overload would refuse all requests and would never be renewed.
func (f *Filter) probe() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.late++
	return f.late%f.opts.ProbeEvery == 0
}

func (f *Filter) enter(req *chain.Request, pools []string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.inFlight[req.Account.Name]
	if u == nil {
		u = &usage{}
		f.inFlight[req.Account.Name] = u
	}
	u.share = max(1, req.Account.Share)
	if f.othersWait(req.Account.Name, pools) && f.isAboveShare(u) {
		if u.count == 0 {
			delete(f.inFlight, req.Account.Name)
		}
		return false
	}
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
	shares := 0
	for _, o := range f.inFlight {
		shares += o.share
	}
	fair := float64(f.total+1) * float64(u.share) / float64(shares)
	return float64(u.count+1) > fair*(1+f.opts.ShareSlack)+1
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
