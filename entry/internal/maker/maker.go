// Package maker calls the targets of stages for the home and lists the targets that the
// home may use.
package maker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"chivepost/entry/internal/batch"
	"chivepost/entry/internal/canary"
	"chivepost/entry/internal/dialer"
	"chivepost/entry/internal/notice"
	"chivepost/entry/internal/place"
	"chivepost/entry/internal/table"
	"chivepost/platform/wire"
	"chivepost/share/fleet"
)

const (
	// maxConnections bounds the connections of a home to one stage target. There is room for
	// a running call, a waiting call and one that frees results.
	maxConnections = 8
	// maxCall is more than a stage call usually takes.
	maxCall = 3 * time.Second
	// maxAnswer bounds the bytes that are read of an answer, which has a line for each piece.
	maxAnswer = 1 << 20
)

// Dialer sends requests to targets.
type Dialer interface {
	Do(ctx context.Context, target, address string, limit int, req dialer.Request) (*dialer.Answer, error)
}

// Notices keeps what targets announce in their answers.
type Notices interface {
	Record(t notice.Target, n notice.Notice, now time.Time)
	Check(t notice.Target, now time.Time) error
	Status(t notice.Target, now time.Time) notice.Status
}

// Client calls stage targets over HTTP. It implements batch.TargetClient.
type Client struct {
	dialer   Dialer
	notices  Notices
	recent   *recentAnswers
	rollouts rollouts
}

// New returns a client that sends over d, as far as the announcements of targets allow.
func New(d Dialer, notices Notices) *Client {
	return &Client{dialer: d, notices: notices, recent: newRecentAnswers()}
}

var faultsByReason = map[string]batch.Fault{
	wire.ReasonLate: batch.FaultLate, wire.ReasonGone: batch.FaultGone, wire.ReasonNoSpace: batch.FaultNoSpace, wire.ReasonError: batch.FaultError,
}

// Run sends the pieces of a call to its target and returns the outcome of each. If the call
// as a whole fails, it returns the kind of failure and an error instead.
func (c *Client) Run(ctx context.Context, call *batch.Call) ([]batch.Outcome, batch.Failure, error) {
	pieces := make([]wire.Piece, len(call.Pieces))
	for i, p := range call.Pieces {
		pieces[i] = wire.Piece{Request: p.Request, Stage: p.Stage, Number: p.Number, TimeLeft: p.TimeLeft, Key: p.Key, Inputs: batch.PlainHandles(p.Inputs)}
	}
	body, err := wire.EncodePieces(pieces)
	if err != nil {
		return nil, batch.FailureBroken, err
	}
	target := batch.Target{ID: call.Target, Address: call.Address, StartMillis: call.Start}
	use, expected, ok := c.rollouts.begin(target, len(pieces), time.Now())
	if !ok {
		return nil, batch.FailureRefused, canary.ErrNotGranted
	}
	began := time.Now()
	defer use.Done(canary.Outcome{Kind: canary.Neutral}, began) // if run panics
	out, failure, err := c.run(ctx, target, use, body, len(pieces))
	use.Done(outcomeOf(out, failure, err, time.Since(began), expected), time.Now())
	return out, failure, err
}

// run sends a call and returns what Run does.
func (c *Client) run(ctx context.Context, target batch.Target, use *canary.Use, body []byte, n int) ([]batch.Outcome, batch.Failure, error) {
	check := func() error { return use.Check(c.rollouts.view(), time.Now()) }
	var results []wire.Result
	status, header, err := c.post(ctx, target, wire.PathStageRun, body, check, func(answer []byte, isFirst bool) error {
		var err error
		if results, err = wire.DecodeResults(answer, n); err != nil {
			return err
		}
		if err = c.recent.add(noticeOf(target), results); errors.Is(err, errCopy) && isFirst {
			return errRepeated
		}
		return err
	})
	switch {
	case errors.Is(err, notice.ErrBusy), errors.Is(err, notice.ErrLeaving), errors.Is(err, canary.ErrNotGranted):
		return nil, batch.FailureRefused, err
	case status == 0:
		return nil, failureOf(ctx, err), err
	case status == http.StatusMisdirectedRequest:
		return nil, batch.FailureUnreachable, errors.New("another target uses the address")
	case wire.DecodeAnswer(status, header).NotRun:
		return nil, batch.FailureRefused, fmt.Errorf("the target refused with status %d", status)
	case status != http.StatusOK:
		return nil, batch.FailureBroken, fmt.Errorf("the target answered with status %d", status)
	case errors.Is(err, errRepeated):
		return nil, batch.FailureRepeated, err
	case err != nil && !errors.Is(err, errNoResults):
		return nil, batch.FailureBroken, err
	}
	out := make([]batch.Outcome, len(results))
	for i, r := range results {
		if out[i].Handle = r.Handle; r.Handle == "" {
			out[i].Fault = batch.FaultError
			if f, ok := faultsByReason[r.Reason]; ok {
				out[i].Fault = f
			}
		}
	}
	return out, batch.FailureNone, nil
}

// failureOf returns the kind of failure for an error of a send. It is FailureUnreachable
// only if nothing was sent.
func failureOf(ctx context.Context, err error) batch.Failure {
	var send *dialer.SendError
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return batch.FailureTimeout
	case errors.As(err, &send) && !send.Sent:
		return batch.FailureUnreachable
	}
	return batch.FailureBroken
}

// Free frees stage results at a target, except those that another start of it has made.
func (c *Client) Free(ctx context.Context, target batch.Target, handles []string) error {
	handles = slices.DeleteFunc(slices.Clone(handles), func(h string) bool { return !batch.IsOfStart(h, target.StartMillis) })
	if len(handles) == 0 {
		return nil
	}
	body, err := wire.EncodeFree(batch.PlainHandles(handles))
	if err != nil {
		return err
	}
	status, _, err := c.post(ctx, target, wire.PathStageFree, body, nil, func(answer []byte, _ bool) error {
		if wire.HasResults(answer) {
			return errors.New("free results: the answer is that to another call")
		}
		return nil
	})
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("free results: the target answered with status %d", status)
	}
	return err
}

// post sends a request to a target and reads the answer. check, unless nil, is called
// immediately before the request is sent, which it prevents by an error. accept checks the body
// of an answer with status 200, and is told whether it is the first on its connection. Stage
// calls have no ID in their answers, so the connection of an answer that isn't accepted is
// closed: it may be a copy of an earlier one, and the right one may follow. So is that of a
// failure. Refusals are frequent, so that of a refusal is only held for as long as the call might
// take if it runs after all. The returned status is 0 if there is no whole answer; the error is
// then of type *dialer.SendError.
func (c *Client) post(ctx context.Context, target batch.Target, path string, body []byte, check func() error, accept func(answer []byte, isFirst bool) error) (int, http.Header, error) {
	announcer := noticeOf(target)
	a, err := c.dialer.Do(ctx, target.ID, target.Address, maxConnections, dialer.Request{
		Method: http.MethodPost, URI: path, Host: target.Address, Header: wire.StageHeader(target.ID), Body: body,
		KeepAlive: wire.KeepAlive,
		Check: func() error {
			if err := c.notices.Check(announcer, time.Now()); err != nil || check == nil {
				return err
			}
			return check()
		},
		Heard: func(status int, h http.Header) {
			head := wire.DecodeAnswer(status, h)
			c.notices.Record(announcer, notice.Notice{Leaving: head.Leaving, Pause: head.RetryAfter}, time.Now())
		},
	})
	if err != nil {
		return 0, nil, err
	}
	defer a.Close()
	if a.Status != http.StatusOK {
		if wire.DecodeAnswer(a.Status, a.Header).NotRun {
			a.Discard()
			a.HoldConn(timeLeft(ctx))
		} else {
			a.CloseConn()
		}
		return a.Status, a.Header, nil
	}
	data, err := io.ReadAll(io.LimitReader(a, maxAnswer+1))
	if err == nil && len(data) > maxAnswer {
		err = fmt.Errorf("the answer is longer than %d bytes", maxAnswer)
	}
	if err != nil {
		return 0, nil, &dialer.SendError{Sent: true, Err: err}
	}
	if err := accept(data, a.IsFirst); err != nil {
		a.CloseConn()
		return a.Status, a.Header, err
	}
	return a.Status, a.Header, nil
}

// timeLeft returns the time until the deadline of ctx, or maxCall without one.
func timeLeft(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return time.Until(deadline)
	}
	return maxCall
}

func noticeOf(t batch.Target) notice.Target {
	return notice.Target{ID: t.ID, StartMillis: t.StartMillis}
}

// Tables provides the current view of the deployment.
type Tables interface {
	View() *table.View
}

// Catalog lists stage services and their targets from the tables. It implements
// batch.Catalog.
type Catalog struct {
	tables   Tables
	notices  Notices
	regions  map[string]string // data centre to region
	rollouts rollouts
}

// NewCatalog returns a catalog. regions maps each data centre to its region.
func NewCatalog(tables Tables, notices Notices, regions map[string]string) *Catalog {
	return &Catalog{tables: tables, notices: notices, regions: regions}
}

// Stage returns the batching parameters of a stage service and its available targets in a
// region, or in all regions if region is empty. It returns false if there is no such
// service.
func (c *Catalog) Stage(service, region string) (fleet.Batching, []batch.Target, bool) {
	v := c.tables.View()
	if v.Config == nil || v.Config.Services[service].Stage == nil {
		return fleet.Batching{}, nil, false
	}
	var out, leaving, held []batch.Target
	now := time.Now()
	mayTake := c.rollouts.selected(v, service, now)
	for _, t := range v.Targets[service] {
		r := c.regions[t.DataCentre]
		if region != "" && r != region {
			continue
		}
		listed := batch.Target{ID: t.ID, Address: t.Address, DataCentre: t.DataCentre, Region: r, StartMillis: t.StartMillis}
		if !mayTake(t) {
			if c.rollouts.gate.IsKept(v, t, now) {
				listed.BusyUntil = now.Add(heldPause)
				held = append(held, listed)
			}
			continue
		}
		switch s := c.notices.Status(noticeOf(listed), now); {
		case s.Closed && s.Until.IsZero():
		case s.Leaving:
			listed.BusyUntil = s.Until
			leaving = append(leaving, listed)
		default:
			listed.BusyUntil = s.Until
			out = append(out, listed)
		}
	}
	if len(out) == 0 {
		out = leaving // they serve on for a while
	}
	out = append(out, held...)
	return *v.Config.Services[service].Stage, out, true
}

// Models returns the targets of a model service in a region on which requests are placed:
// those that are warm, have announced nothing and aren't of a version on trial. It returns none
// for other services.
func (c *Catalog) Models(service, region string) []place.Target {
	v := c.tables.View()
	if v.Config == nil || v.Config.Services[service].Slots == 0 {
		return nil
	}
	var out []place.Target
	now := time.Now()
	for _, t := range c.rollouts.settled(v, service, now) {
		if c.regions[t.DataCentre] != region || t.IsCold(now) {
			continue
		}
		if s := c.notices.Status(notice.Target{ID: t.ID, StartMillis: t.StartMillis}, now); s.Closed || s.Leaving {
			continue
		}
		out = append(out, place.Target{ID: t.ID, DataCentre: t.DataCentre})
	}
	return out
}

// minTargetsPerRegion is the average number of targets per region from which on each region
// has its own home: enough to fill calls and to lose a target.
const minTargetsPerRegion = 3

// IsSplit reports whether each region has its own home for the stages: there must be more
// than one region, and every stage's service needs enough targets.
func (c *Catalog) IsSplit(stages []fleet.Stage) bool {
	regions := map[string]bool{}
	for _, r := range c.regions {
		regions[r] = true
	}
	v, now := c.tables.View(), time.Now()
	for _, st := range stages {
		if len(c.rollouts.settled(v, st.Service, now)) < minTargetsPerRegion*len(regions) {
			return false
		}
	}
	return len(regions) > 1
}

// Region returns the region of a data centre.
func (c *Catalog) Region(dataCentre string) string { return c.regions[dataCentre] }

// Regions returns the sorted names of all regions.
func (c *Catalog) Regions() []string {
	out := slices.Sorted(maps.Values(c.regions))
	return slices.Compact(out)
}
