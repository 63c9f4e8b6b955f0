// Package graph has the stages of a request run at their home: one host for all
// requests, or one for those of each region where the targets are many.
package graph

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"chivepost/entry/internal/batch"
	"chivepost/entry/internal/peers"
	"chivepost/entry/internal/roster"
	"chivepost/share/fleet"
	"chivepost/share/hosts"
)

// Kinds of messages between hosts.
const (
	KindRun    = "stages_run"
	KindWait   = "stages_wait"
	KindDrop   = "stages_drop"
	KindReport = "stages_news"
)

const (
	// pollFor is how long a home keeps a host waiting before it says that an order
	// goes on.
	pollFor = 400 * time.Millisecond
	// pollSlack is what an answer of a home may take besides: several round trips
	// between regions.
	pollSlack = 350 * time.Millisecond
	// settleEvery is how often a host that has just started looks for others.
	settleEvery = 50 * time.Millisecond
	// maxHomes is how many homes are tried for one request.
	maxHomes = 4
)

// Homes tells which host is home of a region.
type Homes interface {
	Home(region string) (roster.Host, bool)
	Avoid(name string)
	// IsSettled reports whether this host has had the time to hear of the others.
	IsSettled() bool
}

// Topology tells whether each region's targets are enough for a home of their own.
type Topology interface {
	IsSplit(stages []fleet.Stage) bool
	Region(dataCentre string) string
	Regions() []string
}

// Bus calls other hosts.
type Bus interface {
	Call(ctx context.Context, to hosts.Host, kind string, body, reply any) error
	Send(ctx context.Context, to hosts.Host, kind string, body any) error
}

// Error says why the stages have no results. The request itself has not run.
type Error struct {
	Reason     batch.Reason
	RetryAfter time.Duration
}

func (e *Error) Error() string { return "stages: " + string(e.Reason) }

// Runner has stages run.
type Runner struct {
	self  string
	homes Homes
	bus   Bus
	local *batch.Home
	split Topology
	area  string // region of this host
	seq   atomic.Uint64
	start string // tells the orders of two processes of a host apart
}

// New returns a runner for the host of this name and region.
func New(self, region string, homes Homes, bus Bus, local *batch.Home, split Topology) *Runner {
	return &Runner{self: self, area: region, homes: homes, bus: bus, local: local, split: split, start: strconv.FormatInt(time.Now().UnixNano(), 36)}
}

// Results are the results that the request itself needs.
type Results struct {
	Handles      []string
	Waited       time.Duration // in queues, over all stages
	Runs         int           // how often the stages began at the last home
	DataCentre   string        // data centre of most of them; empty: no matter
	PrefixTarget string        // target that has the start of the prompt; empty: none known
	free         func(batch.SessionTarget)
}

// Free gives the results up. use says which target has had the request.
func (r *Results) Free(use batch.SessionTarget) {
	if r.free != nil {
		r.free(use)
		r.free = nil
	}
}

// Run makes the results of all stages of an order, whose ID it sets. The order
// must be done by until, and is late after due.
func (r *Runner) Run(ctx context.Context, order batch.Order, due, until time.Time) (*Results, error) {
	order.OriginRegion = r.area
	if order.Region = ""; r.split.IsSplit(order.Stages) && allows(order.Regions, r.area) {
		order.Region = r.area
	}
	if err := r.settle(ctx); err != nil {
		return nil, err
	}
	for range maxHomes {
		now := time.Now()
		order.ID = r.self + "/" + r.start + "/" + strconv.FormatUint(r.seq.Add(1), 36)
		order.TimeLeft, order.DueIn = until.Sub(now), due.Sub(now)
		home, isOther := r.homes.Home(order.Region)
		if !isOther {
			home = roster.Host{}
		}
		result, err := r.runAt(ctx, home, order)
		if len(result.Progress) > 0 {
			order.Progress = result.Progress
		}
		switch {
		case ctx.Err() != nil:
			return nil, ctx.Err()
		case err != nil:
			r.homes.Avoid(home.Name)
			if order.Moved {
				order.Region = r.area // where it can be handed over no more
			}
		case result.Reason == batch.ReasonNone:
			return &Results{
				Handles: result.Handles, Waited: result.Wait, Runs: result.Runs, DataCentre: result.DataCentre, PrefixTarget: result.PrefixTarget,
				free: func(use batch.SessionTarget) {
					r.free(home, order.Region, idBody{ID: order.ID, Use: use}, result.Handles)
				},
			}, nil
		case result.Reason == batch.ReasonMoved:
			order.Region, order.Moved = result.Region, true
		case result.Reason == batch.ReasonBusy && order.Moved && order.Region != r.area:
			order.Region = r.area // it may still be served there, if late
		case result.Reason != batch.ReasonUnknown:
			return nil, &Error{Reason: result.Reason, RetryAfter: result.RetryAfter}
		}
	}
	return nil, &Error{Reason: batch.ReasonFailed}
}

// settle waits until this host has heard of the others: each host that took
// itself for the home would fight over the targets.
func (r *Runner) settle(ctx context.Context) error {
	for !r.homes.IsSettled() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(settleEvery):
		}
	}
	return nil
}

func allows(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

var errNoAnswer = errors.New("the home of the stages doesn't answer")

// runAt runs an order at a home; an error means that the home doesn't answer.
func (r *Runner) runAt(ctx context.Context, home roster.Host, order batch.Order) (batch.Result, error) {
	if home.Name == "" {
		r.local.Submit(order)
		for {
			if res := r.local.Await(ctx, order.ID, pollFor); res.IsDone {
				return res, nil
			}
			if ctx.Err() != nil {
				r.local.Drop(order.ID, batch.SessionTarget{}, nil)
				return batch.Result{}, ctx.Err()
			}
		}
	}
	kind, body := KindRun, any(order)
	var made []batch.StageProgress
	for {
		call, cancel := context.WithTimeout(ctx, pollFor+pollSlack)
		var res batch.Result
		err := r.bus.Call(call, PeerHost(home), kind, body, &res)
		cancel()
		switch {
		case ctx.Err() != nil:
			r.drop(home, idBody{ID: order.ID})
			return batch.Result{}, ctx.Err()
		case err != nil:
			return batch.Result{Progress: made}, fmt.Errorf("%w: %w", errNoAnswer, err)
		case res.IsDone:
			return res, nil
		}
		if len(res.Progress) > 0 {
			made = res.Progress
		}
		kind, body = KindWait, any(idBody{ID: order.ID})
	}
}

type idBody struct {
	ID      string              `cbor:"id"`
	Use     batch.SessionTarget `cbor:"use"`
	Handles []string            `cbor:"handles,omitempty"` // for a home that doesn't know the id
}

// free gives up results at the home that has made them, and at the one that has
// followed it if there is one.
func (r *Runner) free(home roster.Host, region string, body idBody, handles []string) {
	body.Use.Region = r.split.Region(body.Use.DataCentre)
	now, isOther := r.homes.Home(region)
	if !isOther {
		now = roster.Host{}
	}
	if now.Name != home.Name {
		next := body
		next.Handles = handles
		r.drop(now, next)
	}
	r.drop(home, body)
}

// drop gives up an order or its results. A message that is lost costs the
// results' space until their life is over.
func (r *Runner) drop(home roster.Host, body idBody) {
	if home.Name == "" {
		r.local.Drop(body.ID, body.Use, body.Handles)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), pollSlack)
		defer cancel()
		_ = r.bus.Send(ctx, PeerHost(home), KindDrop, body) // the home forgets orders that nobody asks for
	}()
}

// SendReport tells the homes of other regions of this one, where regions have homes of
// their own. News that are lost cost a start of a prompt read again, or a refusal.
func (r *Runner) SendReport(ctx context.Context, news batch.RegionReport) {
	told := map[string]bool{}
	for _, region := range r.split.Regions() {
		home, isOther := r.homes.Home(region)
		if region == r.area || !isOther || told[home.Name] {
			continue
		}
		told[home.Name] = true
		call, cancel := context.WithTimeout(ctx, pollSlack)
		_ = r.bus.Send(call, PeerHost(home), KindReport, news)
		cancel()
	}
}

// PeerHost returns a host as the transport knows it.
func PeerHost(h roster.Host) hosts.Host { return hosts.Host{Name: h.Name, PeerAddress: h.Peer} }

// Registrar takes handlers of messages.
type Registrar interface {
	Handle(kind string, h func(ctx context.Context, from string, incarnation uint64, body []byte) (any, error))
}

// RegisterHandlers handles the messages of other hosts at this host's home.
func RegisterHandlers(bus Registrar, home *batch.Home) {
	bus.Handle(KindRun, func(ctx context.Context, _ string, _ uint64, body []byte) (any, error) {
		var order batch.Order
		if err := peers.Decode(body, &order); err != nil {
			return nil, err
		}
		home.Submit(order)
		return home.Await(ctx, order.ID, pollFor), nil
	})
	bus.Handle(KindWait, func(ctx context.Context, _ string, _ uint64, body []byte) (any, error) {
		var in idBody
		if err := peers.Decode(body, &in); err != nil {
			return nil, err
		}
		return home.Await(ctx, in.ID, pollFor), nil
	})
	bus.Handle(KindReport, func(_ context.Context, _ string, _ uint64, body []byte) (any, error) {
		var in batch.RegionReport
		if err := peers.Decode(body, &in); err != nil {
			return nil, err
		}
		home.HandleReport(in)
		return nil, nil
	})
	bus.Handle(KindDrop, func(_ context.Context, _ string, _ uint64, body []byte) (any, error) {
		var in idBody
		if err := peers.Decode(body, &in); err != nil {
			return nil, err
		}
		home.Drop(in.ID, in.Use, in.Handles)
		return nil, nil
	})
}
