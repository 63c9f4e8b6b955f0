// Package edge serves callers on the platform: it takes their requests through
// the stages to a target and passes the answer back, and it tells callers which
// hosts to use.
package edge

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"chivepost/entry/internal/batch"
	"chivepost/entry/internal/dialer"
	"chivepost/entry/internal/graph"
	"chivepost/entry/internal/pick"
	"chivepost/entry/internal/table"
	"chivepost/platform/wire"
	"chivepost/share/fleet"
)

const (
	// defaultTimeout bounds requests of routes without a timeout of their own.
	defaultTimeout = 30 * time.Second
	// defaultBody bounds a body where the configuration doesn't.
	defaultBody = 4 << 20
	// retrySoon and retrySpread say when a caller may return where nothing better is
	// known: soon enough for its deadline, and spread so that callers don't return
	// together.
	retrySoon   = 250 * time.Millisecond
	retrySpread = 350 * time.Millisecond
	// maxDials is how many targets that can't be reached are tried for a request.
	maxDials = 4
	// unsafeIdle bounds how long a connection has lain idle that carries a request
	// which can't be repeated: targets drop idle connections without notice.
	unsafeIdle = 1500 * time.Millisecond
	// waitLimit is the least time that a target has for the first byte before another
	// one is tried, and waitFactor the number of its usual times.
	waitLimit  = 120 * time.Millisecond
	waitFactor = 4
	// waitAim is the part of a route's aim that a target has at least.
	waitAim = 0.45
	// afterStages is what a request needs after its last stage at least.
	afterStages = 150 * time.Millisecond
	// resumeGap is the silence within a stream after which it is resumed elsewhere.
	resumeGap = 2 * time.Second
	// askFrom is the number of shared tokens from which on the home is asked for a
	// target also for requests without stages, and askTime is what that may take.
	askFrom = 1500
	askTime = 120 * time.Millisecond
	// stageTries is how often the stages run for a request whose results were lost.
	stageTries = 3
)

// Tables tells what is known of the deployment.
type Tables interface {
	View() *table.View
}

// StageRunner runs the stages of a request.
type StageRunner interface {
	Run(ctx context.Context, order batch.Order, due, until time.Time) (*graph.Results, error)
}

// Balancer chooses targets.
type Balancer interface {
	Choose(q pick.Query, now time.Time) (*pick.Chosen, string)
	RecordRequest(service string, now time.Time)
	TakeRetry(service string, now time.Time) bool
	UsualFirstByte(target string) time.Duration
	ConnectionShare(limit int) int
}

// Dialer sends requests to targets.
type Dialer interface {
	Do(ctx context.Context, target, address string, limit int, req dialer.Request) (*dialer.Answer, error)
}

// Options sets up a Front.
type Options struct {
	DataCentre string
	Region     string
}

// Handler serves callers.
type Handler struct {
	opts    Options
	tables  Tables
	stages  StageRunner
	book    Balancer
	dialer  Dialer
	logger  logr.Logger
	tails   tails
	active  atomic.Int64
	leaving atomic.Bool
}

// New returns a handler for callers.
func New(opts Options, tables Tables, stages StageRunner, book Balancer, d Dialer, logger logr.Logger) *Handler {
	return &Handler{opts: opts, tables: tables, stages: stages, book: book, dialer: d, logger: logger, tails: tails{by: map[string]*tail{}}}
}

// Active returns the number of requests under way.
func (f *Handler) Active() int { return int(f.active.Load()) }

// DisableKeepAlives makes answers tell their callers to close the connection.
func (f *Handler) DisableKeepAlives() { f.leaving.Store(true) }

// call is a caller's request on its way.
type call struct {
	f        *Handler
	w        http.ResponseWriter
	r        *http.Request
	req      wire.Request
	route    *fleet.Route
	account  *fleet.Account
	config   *fleet.Config
	service  fleet.Service
	body     []byte
	start    time.Time
	until    time.Time
	priority int
	regions  []string
	results  *graph.Results
	started  bool // the answer's head is written
	ran      bool // a target may have run it

	// For the log line of the request.
	status    int
	reason    string
	target    string
	place     string // data centre of the target
	sends     int
	pieces    int
	waited    time.Duration
	stageRuns int           // more than one: results were lost
	staged    time.Duration // when the stages were done
	first     time.Duration
	events    int
	resumes   int
	retryAt   time.Duration
	isResumed bool // the caller goes on with a stream that broke
}

// ServeHTTP takes a request from its head to the end of its answer.
func (f *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	if f.leaving.Load() || len(r.TransferEncoding) > 0 {
		// What follows a chunked body on the connection may be part of it for others.
		w.Header().Set("Connection", "close")
	}
	c := &call{f: f, w: w, r: r, start: time.Now()}
	defer c.finish()
	if c.open() && c.readBody() {
		c.run()
	}
}

// finish frees what the request holds, and logs and counts it.
func (c *call) finish() {
	if c.results != nil {
		c.freeResults()
	}
	c.record()
	if p := recover(); p != nil {
		panic(p)
	}
}

// freeResults gives the stages' results up.
func (c *call) freeResults() {
	use := batch.SessionTarget{}
	if c.events > 0 {
		use = batch.SessionTarget{Session: c.affinity(), Target: c.target, DataCentre: c.place}
	}
	c.results.Free(use)
}

// open checks the head of the request.
func (c *call) open() bool {
	var err error
	c.req, err = wire.Decode(c.r.Header)
	if err != nil {
		return c.reject(http.StatusBadRequest, err.Error())
	}
	c.isResumed = c.req.LastEvent != ""
	if c.req.ID == "" {
		return c.reject(http.StatusBadRequest, "the request has no id")
	}
	if isAmbiguous(c.r) {
		return c.reject(http.StatusBadRequest, "the body has two framings")
	}
	c.config = c.f.tables.View().Config
	if c.config == nil {
		return c.refuse("no configuration is known yet", 0)
	}
	host, _, _ := strings.Cut(c.r.Host, ":")
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	route, ok := c.config.Route(host, path)
	if !ok {
		return c.reject(http.StatusNotFound, "no route")
	}
	c.route, c.priority, c.regions = route, route.Priority, route.Regions
	if c.config.HasAccounts() && !route.Public {
		if c.account, ok = c.config.Account(c.req.Key); !ok {
			return c.reject(http.StatusUnauthorized, "unknown key")
		}
		if c.account.Priority != nil {
			c.priority = *c.account.Priority
		}
		c.regions = intersect(route.Regions, c.account.Regions)
	}
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if c.req.TimeLeft > 0 {
		timeout = min(timeout, c.req.TimeLeft)
	}
	c.until = c.start.Add(timeout)
	c.service = c.config.Services[c.pickShare()]
	return true
}

// nowhere stands for a list of regions that allows none.
var nowhere = []string{""}

// intersect returns the regions that both lists allow; an empty list allows all.
func intersect(a, b []string) []string {
	if len(a) == 0 {
		return b
	}
	if len(b) == 0 {
		return a
	}
	out := slices.DeleteFunc(slices.Clone(a), func(r string) bool { return !slices.Contains(b, r) })
	if len(out) == 0 {
		return nowhere
	}
	return out
}

// pickShare draws one of the route's services by weight.
func (c *call) pickShare() string {
	sum := 0
	for _, s := range c.route.Shares {
		sum += max(s.Weight, 0)
	}
	if sum == 0 {
		if len(c.route.Shares) > 0 {
			return c.route.Shares[0].Service
		}
		return ""
	}
	n := rand.IntN(sum)
	for _, s := range c.route.Shares {
		if n -= max(s.Weight, 0); n < 0 {
			return s.Service
		}
	}
	return ""
}

func (c *call) readBody() bool {
	limit := c.config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	if c.r.ContentLength > limit {
		c.w.Header().Set("Connection", "close")
		return c.reject(http.StatusRequestEntityTooLarge, "the body is too large")
	}
	rc := http.NewResponseController(c.w)
	_ = rc.SetReadDeadline(c.until) // without support there is no bound
	var err error
	if n := c.r.ContentLength; n > 0 {
		c.body = make([]byte, n)
		_, err = io.ReadFull(c.r.Body, c.body)
		if err == nil {
			// Reads the end, so that the server watches for the caller's leaving.
			var one [1]byte
			_, _ = c.r.Body.Read(one[:])
		}
	} else if n < 0 {
		c.body, err = io.ReadAll(io.LimitReader(c.r.Body, limit+1))
		if err == nil && int64(len(c.body)) > limit {
			c.w.Header().Set("Connection", "close")
			return c.reject(http.StatusRequestEntityTooLarge, "the body is too large")
		}
	}
	_ = rc.SetReadDeadline(time.Time{})
	if err != nil {
		c.w.Header().Set("Connection", "close")
		return c.reject(http.StatusBadRequest, "the body is not whole")
	}
	return true
}

// run takes the request through its stages to a target.
func (c *call) run() {
	ctx, cancel := context.WithDeadline(c.r.Context(), c.until)
	defer cancel()
	for try := 1; ; try++ {
		if err := c.runStages(ctx); err != nil {
			c.stagesFailed(err)
			return
		}
		err := c.attempts(ctx)
		if !errors.Is(err, errResultsGone) {
			return
		}
		if try == stageTries {
			c.refuse("results of stages were lost", 0)
			return
		}
		if c.results != nil {
			c.freeResults()
		}
	}
}

func (c *call) runStages(ctx context.Context) error {
	c.pieces = 0
	for _, n := range c.req.Pieces {
		c.pieces += n
	}
	if len(c.route.Stages) == 0 || c.pieces == 0 && c.shared() < askFrom {
		return nil
	}
	if c.pieces == 0 {
		// Only the home knows which target has the start of the prompt.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, askTime)
		defer cancel()
	}
	var err error
	c.results, err = c.f.stages.Run(ctx, batch.Order{
		Request: c.req.ID, Route: c.route.Name, Stages: c.route.Stages, Pieces: c.req.Pieces, Key: c.req.PieceKey, Priority: c.priority, Rank: c.route.Priority,
		Session: c.affinity(), PrefixTokens: c.shared(), DataCentre: c.f.opts.DataCentre, Regions: c.regions,
	}, c.start.Add(c.route.Aim-c.f.tails.of(c.route.Name)), c.until.Add(-afterStages))
	if c.pieces == 0 {
		return nil // without an answer the host chooses by itself
	}
	c.staged = time.Since(c.start)
	if err == nil {
		c.waited, c.stageRuns = c.results.Waited, c.stageRuns+c.results.Runs
	}
	return err
}

// stagesFailed answers a request whose stages have no results: it has not run.
func (c *call) stagesFailed(err error) {
	if c.hasLeft() {
		return
	}
	var failed *graph.Error
	if !errors.As(err, &failed) {
		c.fail(http.StatusGatewayTimeout, "the time was over in the stages")
		return
	}
	if failed.Reason == batch.ReasonDropped {
		c.fail(http.StatusGatewayTimeout, "the time was over in the stages")
		return
	}
	c.refuse(failed.Error(), failed.RetryAfter)
}

// hasLeft reports whether the caller has closed its connection.
func (c *call) hasLeft() bool {
	if c.r.Context().Err() == nil {
		return false
	}
	c.reason = "the caller left"
	return true
}

// refuse answers that the request has not run and never will.
func (c *call) refuse(reason string, after time.Duration) bool {
	if c.ran {
		return c.fail(http.StatusBadGateway, reason)
	}
	if after <= 0 {
		after = retrySoon + time.Duration(rand.Int64N(int64(retrySpread)))
	}
	c.retryAt = after
	wire.SetRetryAfter(c.w.Header(), after)
	return c.reject(http.StatusServiceUnavailable, reason)
}

// fail answers without a promise.
func (c *call) fail(status int, reason string) bool { return c.reject(status, reason) }

// reject answers with a status of the system's own.
func (c *call) reject(status int, reason string) bool {
	if c.started {
		c.abort(reason) // a status can't follow a head
	}
	c.status, c.reason = status, reason
	wire.SetID(c.w.Header(), c.req.ID)
	c.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	c.w.WriteHeader(status)
	_, _ = io.WriteString(c.w, reason+"\n") // a caller that has left needs no answer
	c.started = true
	return false
}
