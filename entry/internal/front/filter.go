package front

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"chivepost/entry/internal/chain"
	"chivepost/entry/internal/drain"
	"chivepost/share/apiv1"
	"chivepost/share/events"
)

// Tracker counts the requests in progress. BeginRequest returns false if the host doesn't take
// a request with the deadline; otherwise end must be called when the request is done. The
// context of the request ends with drain.ErrEnding if the host must end it.
type Tracker interface {
	BeginRequest(ctx context.Context, deadline time.Time) (requestCtx context.Context, end func(), ok bool)
}

// Readiness reports whether the host may take new requests under the configuration in
// force. A non-nil error is the reason why it may not.
type Readiness interface {
	MayServe() error
}

// Directory returns the addresses of the entry hosts to use instead of this one and
// reports whether the data centre of this host has been taken out.
type Directory interface {
	OtherAddresses() []string
	IsDataCentreOut() bool
}

// readyFilter refuses requests while the host must not take new ones, and returns the
// addresses of other hosts. It is the first filter, so that no stage of a refused
// request has run.
type readyFilter struct {
	tracker Tracker
	ready   Readiness
	config  Config
	dir     Directory
}

// NewReadyFilter returns the filter that refuses requests while this host must not
// take new ones.
func NewReadyFilter(tracker Tracker, ready Readiness, config Config, dir Directory) chain.Filter {
	return &readyFilter{tracker: tracker, ready: ready, config: config, dir: dir}
}

// Name returns the filter's name.
func (f *readyFilter) Name() string { return "ready" }

// Handle passes req on if the host takes new requests.
func (f *readyFilter) Handle(ctx context.Context, req *chain.Request, next chain.Next) chain.Outcome {
	ctx, end, ok := f.tracker.BeginRequest(ctx, latestDeadline(req))
	if !ok {
		return f.refuse(req, apiv1.ProblemUnready, "the host is starting or shutting down")
	}
	defer end()
	if err := f.ready.MayServe(); err != nil {
		return f.refuse(req, apiv1.ProblemUnready, err.Error())
	}
	if f.dir.IsDataCentreOut() {
		return f.refuse(req, apiv1.ProblemMoved, "the data centre of this host has been taken out")
	}
	if !f.refresh(req) {
		return chain.Refused(req.Body.ID, apiv1.ProblemNotFound, http.StatusNotFound, "unknown pipeline "+req.Pipeline.Name())
	}
	out := next(ctx, req)
	if out.Kind == apiv1.Refused && errors.Is(context.Cause(ctx), drain.ErrEnding) {
		return f.refuse(req, apiv1.ProblemUnready, drain.ErrEnding.Error())
	}
	return out
}

// refresh updates req to the configuration in force and reports whether its pipeline
// still exists. It runs after MayServe, since the configuration that parse read may
// have been replaced while the process was paused or the body was being received.
func (f *readyFilter) refresh(req *chain.Request) bool {
	cfg, version := f.config.Current()
	if version == req.Version {
		return true
	}
	p, ok := cfg.Pipeline(req.Pipeline.Name())
	if ok {
		req.Config, req.Version, req.Pipeline = cfg, version, p
	}
	return ok
}

// Recorder records events for an independent checker.
type Recorder interface {
	Add(e events.Event)
}

// recordFilter records each request that this host accepts, and its outcome.
type recordFilter struct {
	host, dataCentre string
	recorder         Recorder
}

// NewRecordFilter returns the filter that records the requests that the host accepts.
func NewRecordFilter(host, dataCentre string, recorder Recorder) chain.Filter {
	return &recordFilter{host: host, dataCentre: dataCentre, recorder: recorder}
}

// Name returns the filter's name.
func (f *recordFilter) Name() string { return "record" }

// Handle records req, passes it on and records its outcome.
func (f *recordFilter) Handle(ctx context.Context, req *chain.Request, next chain.Next) chain.Outcome {
	f.recorder.Add(events.Event{
		Kind: events.Accepted, Host: f.host, DataCentre: f.dataCentre, Account: req.Account.Name,
		Request: req.Body.ID, Run: req.Run, Version: req.Version,
	})
	out := next(ctx, req)
	f.recorder.Add(events.Event{
		Kind: events.Ended, Host: f.host, Account: req.Account.Name, Request: req.Body.ID, Run: req.Run,
		Outcome: string(out.Kind), Detail: out.Problem.Detail,
	})
	return out
}

func (f *readyFilter) refuse(req *chain.Request, problem, detail string) chain.Outcome {
	out := chain.Refused(req.Body.ID, problem, http.StatusServiceUnavailable, detail)
	out.Problem.Addresses = f.dir.OtherAddresses()
	return out
}

// logFilter refuses requests that need a claim while the log service can't be read,
// so that no stage runs in vain.
type logFilter struct {
	logAge func() time.Duration
	maxAge time.Duration
}

// NewLogFilter returns the filter that refuses requests with a stage that may run at
// most once while the last read of the log is older than maxAge.
func NewLogFilter(logAge func() time.Duration, maxAge time.Duration) chain.Filter {
	return &logFilter{logAge: logAge, maxAge: maxAge}
}

// Name returns the filter's name.
func (f *logFilter) Name() string { return "log" }

// Handle passes req on unless it needs a claim that can't be made now. A request ID
// starts with the log position at which it was made, which is 0 if it was unknown.
func (f *logFilter) Handle(ctx context.Context, req *chain.Request, next chain.Next) chain.Outcome {
	positionUnknown := strings.HasPrefix(req.Body.ID, "0-")
	if f.logAge() <= f.maxAge && !positionUnknown {
		return next(ctx, req)
	}
	for _, s := range req.Pipeline.Stages() {
		if pool, ok := req.Config.Pool(s.Pool); ok && (!pool.Retryable || req.Body.Once) {
			detail := "stage " + s.Name + " may run at most once and needs the log service"
			if positionUnknown {
				detail = "the id was made while the log position was unknown; request an address again"
			}
			return chain.Refused(req.Body.ID, apiv1.ProblemLogUnavailable, http.StatusServiceUnavailable, detail)
		}
	}
	return next(ctx, req)
}

// deadlineFilter limits the deadline of a request to that of its pipeline and refuses
// requests that are already late.
type deadlineFilter struct{}

// NewDeadlineFilter returns the filter that sets the deadline of a request.
func NewDeadlineFilter() chain.Filter { return deadlineFilter{} }

// Name returns the filter's name.
func (deadlineFilter) Name() string { return "deadline" }

// Handle sets the deadline and passes req on.
func (deadlineFilter) Handle(ctx context.Context, req *chain.Request, next chain.Next) chain.Outcome {
	if req.Deadline = latestDeadline(req); time.Until(req.Deadline) <= 0 {
		return chain.Refused(req.Body.ID, apiv1.ProblemDeadline, http.StatusGatewayTimeout, "the deadline has passed")
	}
	return next(ctx, req)
}

// latestDeadline returns the deadline of a request, which is at most that of its pipeline.
func latestDeadline(req *chain.Request) time.Time {
	d := req.Body.Deadline.Std()
	if d == 0 {
		d = req.Pipeline.Deadline()
	}
	return req.Arrived.Add(min(d, req.Pipeline.Deadline()))
}
