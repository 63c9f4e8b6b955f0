// Package edge serves callers on the platform: it runs the stages of a request, sends
// the request to a target and relays the answer. It also lists the entry hosts that a
// caller should use.
package edge

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"chivepost/entry/internal/active"
	"chivepost/entry/internal/batch"
	"chivepost/entry/internal/canary"
	"chivepost/entry/internal/dialer"
	"chivepost/entry/internal/drain"
	"chivepost/entry/internal/graph"
	"chivepost/entry/internal/guard"
	"chivepost/entry/internal/memory"
	"chivepost/entry/internal/notice"
	"chivepost/entry/internal/pick"
	"chivepost/entry/internal/table"
	"chivepost/platform/wire"
	"chivepost/share/apiv1"
	"chivepost/share/fleet"
)

const (
	// defaultTimeout bounds requests on routes without a timeout.
	defaultTimeout = 30 * time.Second
	// defaultMaxBody bounds request bodies, in bytes, if the configuration sets no limit.
	defaultMaxBody = 4 << 20
	// minRetryAfter and retryAfterSpread give the Retry-After of a refusal for which no
	// better time is known: short enough for the caller's deadline, and random so that
	// callers don't retry in step.
	minRetryAfter    = 250 * time.Millisecond
	retryAfterSpread = 350 * time.Millisecond
	// maxUndelivered bounds the targets tried for a request to which nothing could be sent.
	maxUndelivered = 4
	// onceMaxIdle bounds the idle time of a connection that is reused for a request that
	// must not be retried, because targets drop idle connections without notice.
	onceMaxIdle = 1500 * time.Millisecond
	// minFirstByteTimeout is the shortest wait for a target's first byte before another
	// target is tried; firstByteTimeoutFactor is the wait in multiples of the target's
	// usual time.
	minFirstByteTimeout    = 120 * time.Millisecond
	firstByteTimeoutFactor = 4
	// firstByteObjectiveShare is the shortest wait as a share of the route's latency
	// objective.
	firstByteObjectiveShare = 0.45
	// minAfterStages is the time that is kept free between the last stage and the
	// deadline, and the estimate for routes without measurements.
	minAfterStages = 150 * time.Millisecond
	// minStreamSilence is the shortest silence within a resumable stream after which its target is
	// asked to stop, so that it can be resumed at another one.
	minStreamSilence = 2 * time.Second
	// maxDripGap is the longest time between two writes of a target that notices within 400 ms that
	// its connection is closed: by the second write after that.
	maxDripGap = 200 * time.Millisecond
	// minPrefixTokens is the number of shared prompt tokens from which on the home is
	// asked which target has them cached, even if the request has no pieces for stages.
	// prefixLookupTimeout bounds that call.
	minPrefixTokens     = 1500
	prefixLookupTimeout = 120 * time.Millisecond
	// writeSlack is how long after the deadline a response may still be written, by a host
	// that was paused or to a caller that reads slowly.
	writeSlack = 2 * time.Second
	// Callers abandon a stream whose first event takes longer than all of these: a time, a
	// multiple of the route's latency objective, and one of its longest pause on time.
	minStreamPatience       = 2 * time.Second
	streamPatienceObjective = 4
	streamPatienceGaps      = 8
	// maxPlaceWait bounds how long a request waits until one whose caller doesn't read is ended, as
	// does placeWaitShare of the time that is left.
	maxPlaceWait   = 2 * time.Second
	placeWaitShare = 0.5
	// maxStageRuns is how often the stages of a request run if their results get lost.
	maxStageRuns = 3
)

// Tables provides the current view of the deployment.
type Tables interface {
	View() *table.View
}

// StageRunner runs the stages of a request.
type StageRunner interface {
	Run(ctx context.Context, order batch.Order, due, until time.Time) (*graph.Results, error)
}

// Balancer chooses targets.
type Balancer interface {
	Choose(q pick.Query, now time.Time) (*pick.Chosen, pick.Refusal)
	Explain(q pick.Query, now time.Time) apiv1.ServiceExplanation
	RecordRequest(service string, now time.Time)
	TakeRetry(service string, now time.Time) bool
	UsualFirstByte(target string) time.Duration
	ConnectionShare(limit int) int
}

// Dialer sends requests to targets.
type Dialer interface {
	Do(ctx context.Context, target, address string, limit int, req dialer.Request) (*dialer.Answer, error)
}

// Notices keeps what targets announce in their answers.
type Notices interface {
	Record(t notice.Target, n notice.Notice, now time.Time)
	Check(t notice.Target, now time.Time) error
}

// Options describes the host that runs a Handler.
type Options struct {
	DataCentre string
	Region     string
	// HasPeers reports whether another host can take requests; nil means that none can.
	HasPeers func() bool
	// Rollouts decides which versions of targets may get requests; nil means that all may.
	Rollouts *canary.Gate
	// Memory accounts for what requests hold; nil means that nothing bounds it.
	Memory *memory.Account
	// CallerBytes and TargetBytes are what the kernel may hold unread for the connections of a
	// request to its caller and its target. Memory accounts for them, too.
	CallerBytes, TargetBytes int64
	// ReceiveBytes is the size of the receive buffer of callers' connections, to which it returns
	// after a body; 0 leaves it to the kernel.
	ReceiveBytes int
	// Active bounds the requests in progress, each of which may take a connection to a target;
	// nil sets no limit.
	Active *active.Limiter
}

// Handler is the HTTP handler for requests of callers.
type Handler struct {
	opts        Options
	tables      Tables
	stages      StageRunner
	balancer    Balancer
	dialer      Dialer
	blame       Blame
	notices     Notices
	logger      logr.Logger
	afterStages routeTimes // from the end of the stages to the first byte of the answer
	totals      routeTimes // from the start to the end of complete answers
	afterSend   routeTimes // from the first send to the end of complete answers
	pending     pending
	plan        atomic.Pointer[drain.Plan] // nil: the host isn't leaving
	isAborting  atomic.Bool
}

// New returns a Handler that sends requests to the targets in tables.
func New(opts Options, tables Tables, stages StageRunner, balancer Balancer, d Dialer, b Blame, notices Notices, logger logr.Logger) *Handler {
	if opts.Memory == nil {
		opts.Memory = memory.New(math.MaxInt64)
	}
	return &Handler{opts: opts, tables: tables, stages: stages, balancer: balancer, dialer: d, blame: b, notices: notices, logger: logger, pending: pending{calls: map[*call]struct{}{}}}
}

// Active returns the number of requests in progress.
func (h *Handler) Active() int { return int(h.pending.count.Load()) }

// call holds the state of one request.
type call struct {
	h            *Handler
	w            http.ResponseWriter
	r            *http.Request
	ctx          context.Context // ends with the request or when the host ends the request
	cancel       context.CancelCauseFunc
	bodyRead     bodyRead
	isWriting    bool // a held answer is written; guarded by bodyRead.mu
	req          wire.Request
	route        *fleet.Route
	account      *fleet.Account
	config       *fleet.Config
	service      fleet.Service
	body         []byte
	isBodyRead   bool                // to its end, or there is none
	memory       *memory.Reservation // for the body and held answers; nil before the head is checked
	receiveBytes int                 // of the receive buffer while it is larger than usual
	heldBytes    int64               // of an error response that is held while other targets are tried
	start        time.Time
	deadline     time.Time
	priority     int
	regions      []string
	id           string        // as the caller sent it, before the head is validated
	leavingFor   time.Duration // how long the host had been leaving when the request arrived
	phase        atomic.Int32  // of type phase
	results      *graph.Results
	headWritten  bool // the response head is written
	isComplete   bool // so is the response to its end
	mayHaveRun   bool // a target may have run the request
	isAnswered   bool // a target's answer was written completely
	// endsWithoutID says that the last event that the caller got has no ID, so that no other
	// target can go on after it.
	endsWithoutID bool
	firstSend     time.Time
	tried         map[string]bool // targets chosen since the stages ran
	sentTo        map[string]bool // targets that may have got this attempt
	askToStop     func()          // asks the target of the attempt to stop
	wasAsked      *atomic.Bool    // that was done
	askedAt       *atomic.Int64   // when, in Unix nanoseconds; 0: it wasn't
	isTrial       bool            // shows whether a quarantined part still crashes targets
	triedNew      bool            // it was sent to a version on trial
	brokeOff      bool            // the current target broke off its answer
	wasSilent     bool            // the current target was silent for too long
	answerBegan   time.Time       // at the current target; zero: not yet

	// The fields below are mostly for the log line and the counters.
	status           int
	reason           string
	target           string
	targetDataCentre string
	sends            int
	pieceCount       int
	stageWait        time.Duration
	stageRuns        int           // more than one if results were lost
	stagesTook       time.Duration // from the start of the request
	firstByte        time.Duration
	retryIn          time.Duration // until a target takes requests again; 0: unknown
	events           int
	resumes          int
	retryAfter       time.Duration
	resumesStream    bool // the caller resumes a stream that broke
	isRefusedLeaving bool
	isRefusedMemory  bool
	isRefusedActive  bool
	isReadEnded      bool   // the read of the body was ended for its memory
	placedAt         string // target on which the home placed the request; empty: none
	quarantinedPart  string // for which the request was refused
}

// ServeHTTP handles one request: it validates it, runs its stages, sends it to a target
// and writes the response.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	c := &call{h: h, w: w, r: r, start: now, id: wire.AnswerID(r.Header), leavingFor: h.leavingFor(now)}
	c.ctx, c.cancel = context.WithCancelCause(r.Context())
	defer c.cancel(nil)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{}) // that of the request before
	defer h.pending.add(c)()
	if h.isAborting.Load() {
		c.end(time.Time{})
	}
	if c.leavingFor > 0 || len(r.TransferEncoding) > 0 {
		// Other servers may take bytes after a chunked body for a part of the body, so the
		// connection carries no further request.
		w.Header().Set("Connection", "close")
	}
	defer c.finish()
	if !c.checkHead() {
		return
	}
	c.memory = h.opts.Memory.Open(c.client())
	defer c.memory.Close()
	if err := c.memory.AddFixed(h.opts.CallerBytes); err != nil {
		c.refuseMemory(err)
		return
	}
	if !c.readBody() || !c.admit() || !c.acquirePlace() {
		return
	}
	defer c.releasePlace()
	c.run()
}

// acquirePlace takes the place of one of the requests in progress, for which it waits if it may
// come in time. It refuses the request and returns false if there is none.
func (c *call) acquirePlace() bool {
	limiter := c.h.opts.Active
	if limiter == nil {
		return true
	}
	if limiter.Acquire(c.ctx, c.client(), min(maxPlaceWait, time.Duration(placeWaitShare*float64(time.Until(c.deadline))))) {
		err := c.memory.AddFixed(c.h.opts.TargetBytes)
		if err == nil {
			return true
		}
		c.releasePlace()
		return c.refuseMemory(err)
	}
	switch {
	case c.isCallerGone():
		return false
	case c.isAborted():
		return c.refuseLeaving()
	}
	c.isRefusedActive = true
	if limiter.HasWaiting() {
		// A client that sends on without reading would take each place that becomes free.
		c.w.Header().Set("Connection", "close")
	}
	return c.refuse("the host has too many requests in progress", 0)
}

func (c *call) releasePlace() {
	if c.h.opts.Active != nil {
		c.h.opts.Active.Release(c.client())
	}
}

// finish frees the stage results, and logs and counts the request. It passes the panic of
// abort on, and reports any other one, which ends only this request. Without a complete
// response, it closes the connection, since the server would give the response a regular end.
func (c *call) finish() {
	p := recover()
	if p != nil && p != http.ErrAbortHandler { //nolint:errorlint // the server compares it in the same way
		_ = guard.Report(c.h.logger.WithValues("id", c.id), "request", p)
		if p = nil; c.headWritten {
			p, c.reason = http.ErrAbortHandler, internalErrorReason
		} else {
			c.fail(http.StatusInternalServerError, internalErrorReason)
		}
	}
	if c.results != nil {
		c.freeResults()
	}
	c.record()
	if p == nil && !c.isComplete {
		p = http.ErrAbortHandler
	}
	if p != nil {
		if c.headWritten && !c.r.ProtoAtLeast(1, 1) {
			resetOnClose(c.r) // HTTP/1.0 has no chunks, so a response may have no other end
		}
		panic(p)
	}
}

const internalErrorReason = "internal error"

// freeResults frees the stage results. If a target has streamed events, it also reports
// which target now has the session's prefix cached.
func (c *call) freeResults() {
	session := batch.SessionTarget{}
	if c.events > 0 {
		session = batch.SessionTarget{Session: c.prefixID(), Target: c.target, DataCentre: c.targetDataCentre}
	}
	c.results.Free(session)
}

// checkHead validates the request head and determines its route, client account,
// deadline and service. It writes the response and returns false if the request can't
// be served.
func (c *call) checkHead() bool {
	var err error
	c.req, err = wire.DecodeRequest(c.r.Header)
	if err != nil {
		return c.reject(http.StatusBadRequest, err.Error())
	}
	c.resumesStream = c.req.LastEvent != ""
	if c.req.ID == "" {
		return c.reject(http.StatusBadRequest, "the request has no ID")
	}
	if hasAmbiguousFraming(c.r) {
		return c.reject(http.StatusBadRequest, "the body has both Content-Length and Transfer-Encoding")
	}
	c.config = c.h.tables.View().Config
	if c.config == nil {
		return c.refuse("the host has no configuration yet", 0)
	}
	host, _, _ := strings.Cut(c.r.Host, ":")
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	route, ok := c.config.Route(host, path)
	if !ok {
		return c.reject(http.StatusNotFound, "no route matches the host name and path")
	}
	c.route, c.priority, c.regions = route, route.Priority, route.Regions
	if c.config.HasAccounts() && !route.Public {
		if c.account, ok = c.config.Account(c.req.AccountKey); !ok {
			return c.reject(http.StatusUnauthorized, "unknown API key")
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
	c.deadline = c.start.Add(timeout)
	c.service = c.config.Services[c.pickService()]
	return true
}

// noRegion is a list that allows no region; an empty list would allow all.
var noRegion = []string{""}

// intersect returns the regions that both lists allow. An empty list allows all.
func intersect(a, b []string) []string {
	if len(a) == 0 {
		return b
	}
	if len(b) == 0 {
		return a
	}
	out := slices.DeleteFunc(slices.Clone(a), func(r string) bool { return !slices.Contains(b, r) })
	if len(out) == 0 {
		return noRegion
	}
	return out
}

// pickService returns one of the route's services at random by weight.
func (c *call) pickService() string {
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

// run runs the stages and sends the request to a target. If stage results get lost, both
// run again, at most maxStageRuns times in all.
func (c *call) run() {
	ctx, cancel := context.WithDeadline(c.ctx, c.deadline)
	defer cancel()
	rc := http.NewResponseController(c.w)
	// The deadline holds for the last bytes, too, which the server writes after this returns. The
	// next request on the connection sets its own.
	_ = rc.SetWriteDeadline(c.deadline.Add(writeSlack)) // not every connection supports deadlines
	for try := 1; ; try++ {
		if c.isQuarantined(nil) {
			return
		}
		c.setPhase(phaseStages)
		if err := c.runStages(ctx); err != nil {
			c.handleStageError(err)
			return
		}
		c.setPhase(phaseTarget)
		err := c.tryTargets(ctx)
		if !errors.Is(err, errResultsGone) {
			return
		}
		if try == maxStageRuns {
			c.refuse("stage results were lost repeatedly", 0)
			return
		}
		if c.results != nil {
			c.freeResults()
		}
	}
}

// runStages runs the stages of the request. For a request without pieces but with a
// long shared prefix it only asks the home for a target.
func (c *call) runStages(ctx context.Context) error {
	c.pieceCount = 0
	for _, n := range c.req.Pieces {
		c.pieceCount += n
	}
	if len(c.route.Stages) == 0 || c.pieceCount == 0 && c.sharedPrefixTokens() < minPrefixTokens {
		return nil
	}
	if c.pieceCount == 0 {
		// Only the home knows which target has the prefix cached.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, prefixLookupTimeout)
		defer cancel()
	}
	var err error
	c.results, err = c.h.stages.Run(ctx, batch.Order{
		Request: c.req.ID, Route: c.route.Name, Stages: c.route.Stages, Pieces: c.req.Pieces, Key: c.req.PieceKey, Priority: c.priority, Rank: c.route.Priority, Objective: c.route.LatencyObjective,
		Session: c.prefixID(), PrefixTokens: c.sharedPrefixTokens(), Service: c.service.Name, SessionTokens: c.sessionTokens(), OwnTokens: c.ownTokens(), DataCentre: c.h.opts.DataCentre, Regions: c.regions,
	}, c.start.Add(c.route.LatencyObjective-c.h.afterStages.estimate(c.route.Name)), c.lastFirstByte().Add(-minAfterStages))
	if c.pieceCount == 0 {
		return nil // if the home doesn't answer, the host chooses a target by itself
	}
	c.stagesTook = time.Since(c.start)
	if err == nil {
		c.stageWait, c.stageRuns = c.results.Waited, c.stageRuns+c.results.Runs
	}
	return err
}

// handleStageError responds to a request whose stages failed. No target has run it.
func (c *call) handleStageError(err error) {
	if c.isCallerGone() {
		return
	}
	if c.isAborted() {
		c.refuseLeaving()
		return
	}
	var failed *graph.Error
	if !errors.As(err, &failed) {
		c.fail(http.StatusGatewayTimeout, "deadline exceeded in the stages")
		return
	}
	if failed.Reason == batch.ReasonDropped {
		c.fail(http.StatusGatewayTimeout, "deadline exceeded in the stages")
		return
	}
	c.refuse(failed.Error(), failed.RetryAfter)
}
