package front

import (
	"context"
	"net/http"
	"strings"
	"time"

	"chivepost/entry/internal/chain"
	"chivepost/share/apiv1"
	"chivepost/share/events"
)

// Tracker says whether this host takes new requests. BeginRequest counts one in.
type Tracker interface {
	BeginRequest() (end func(), ok bool)
}

// Readiness says whether new work may be taken under the configuration in force; the
// error says why not.
type Readiness interface {
	MayServe() error
}

// Directory names the entry hosts that callers may use instead of this one.
type Directory interface {
	OtherAddresses() []string
	IsDataCentreOut() bool
}

// readyFilter refuses requests while the host must not take new work, and names
// other hosts. It stands first, so that what it refuses has not been run.
type readyFilter struct {
	tracker Tracker
	ready   Readiness
	config  Config
	dir     Directory
}

// NewReadyFilter returns the filter that refuses work this host must not take.
func NewReadyFilter(tracker Tracker, ready Readiness, config Config, dir Directory) chain.Filter {
	return &readyFilter{tracker: tracker, ready: ready, config: config, dir: dir}
}

// Name returns the filter's name.
func (f *readyFilter) Name() string { return "ready" }

// Handle passes req on if the host takes new work.
func (f *readyFilter) Handle(ctx context.Context, req *chain.Request, next chain.Next) chain.Outcome {
	leave, ok := f.tracker.BeginRequest()
	if !ok {
		return f.elsewhere(req, apiv1.ProblemUnready, "the host is starting or shutting down")
	}
	defer leave()
	if err := f.ready.MayServe(); err != nil {
		return f.elsewhere(req, apiv1.ProblemUnready, err.Error())
	}
	if f.dir.IsDataCentreOut() {
		return f.elsewhere(req, apiv1.ProblemMoved, "the data centre of this host has been taken out")
	}
	if !f.refresh(req) {
		return chain.Refused(req.Body.ID, apiv1.ProblemNotFound, http.StatusNotFound, "pipeline "+req.Pipeline.Name())
	}
	return next(ctx, req)
}

// refresh gives req the configuration in force. It comes after MayServe: what was
// read before may have been replaced while the process was paused or a body was on
// its way. It reports whether the pipeline still exists.
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

// Recorder takes events for an independent checker.
type Recorder interface {
	Add(e events.Event)
}

// recordFilter records each request that this host has taken, and its outcome.
type recordFilter struct {
	host, dataCentre string
	record           Recorder
}

// NewRecordFilter returns the filter that records the requests taken by the host.
func NewRecordFilter(host, dataCentre string, record Recorder) chain.Filter {
	return &recordFilter{host: host, dataCentre: dataCentre, record: record}
}

// Name returns the filter's name.
func (f *recordFilter) Name() string { return "record" }

// Handle records req, passes it on and records its outcome.
func (f *recordFilter) Handle(ctx context.Context, req *chain.Request, next chain.Next) chain.Outcome {
	f.record.Add(events.Event{
		Kind: events.Accepted, Host: f.host, DataCentre: f.dataCentre, Account: req.Account.Name,
		Request: req.Body.ID, Run: req.Run, Version: req.Version,
	})
	out := next(ctx, req)
	f.record.Add(events.Event{
		Kind: events.Ended, Host: f.host, Account: req.Account.Name, Request: req.Body.ID, Run: req.Run,
		Outcome: string(out.Kind), Detail: out.Problem.Detail,
	})
	return out
}

func (f *readyFilter) elsewhere(req *chain.Request, problem, detail string) chain.Outcome {
	out := chain.Refused(req.Body.ID, problem, http.StatusServiceUnavailable, detail)
	out.Problem.Addresses = f.dir.OtherAddresses()
	return out
}

// logFilter refuses requests that need a claim while the log service can't be
// read, before any stage has spent time on them.
type logFilter struct {
	age func() time.Duration
	max time.Duration
}

// NewLogFilter returns the filter that refuses requests whose pipeline has a call that may
// not be repeated while the last reading of the log is older than limit.
func NewLogFilter(age func() time.Duration, limit time.Duration) chain.Filter {
	return &logFilter{age: age, max: limit}
}

// Name returns the filter's name.
func (f *logFilter) Name() string { return "log" }

// Handle passes req on unless it needs a claim that can't be made now.
func (f *logFilter) Handle(ctx context.Context, req *chain.Request, next chain.Next) chain.Outcome {
	noPosition := strings.HasPrefix(req.Body.ID, "0-")
	if f.age() <= f.max && !noPosition {
		return next(ctx, req)
	}
	for _, s := range req.Pipeline.Stages() {
		if pool, ok := req.Config.Pool(s.Pool); ok && (!pool.Repeat || req.Body.Once) {
			detail := "stage " + s.Name + " may run at most once and needs the log service"
			if noPosition {
				detail = "the id was made while the position in the log was not known; ask for an address again"
			}
			return chain.Refused(req.Body.ID, apiv1.ProblemLogDown, http.StatusServiceUnavailable, detail)
		}
	}
	return next(ctx, req)
}

// deadlineFilter bounds the deadline by the pipeline's and refuses what is late already.
type deadlineFilter struct{}

// NewDeadlineFilter returns the filter that sets the request's deadline.
func NewDeadlineFilter() chain.Filter { return deadlineFilter{} }

// Name returns the filter's name.
func (deadlineFilter) Name() string { return "deadline" }

// Handle sets the deadline and passes req on.
func (deadlineFilter) Handle(ctx context.Context, req *chain.Request, next chain.Next) chain.Outcome {
	d := req.Body.Deadline.Std()
	if d == 0 {
		d = req.Pipeline.Deadline()
	}
	if d < 0 {
		return chain.Refused(req.Body.ID, apiv1.ProblemDeadline, http.StatusGatewayTimeout, "the deadline has passed")
	}
	req.Deadline = req.Arrived.Add(min(d, req.Pipeline.Deadline()))
	if time.Until(req.Deadline) <= 0 {
		return chain.Refused(req.Body.ID, apiv1.ProblemDeadline, http.StatusGatewayTimeout, "the deadline has passed")
	}
	return next(ctx, req)
}
