// Package graph runs the stages of a request at their home. The home is one host for
// all requests, or one host per region if each region has enough targets.
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
	KindRun     = "stages_run"
	KindWait    = "stages_wait"
	KindDrop    = "stages_drop"
	KindRelease = "stages_release"
	KindReport  = "stages_news"
)

const (
	// pollTimeout is how long a home holds a poll for an order that isn't done.
	pollTimeout = 400 * time.Millisecond
	// networkSlack is the time allowed for a message in addition to pollTimeout:
	// several round trips between regions.
	networkSlack = 350 * time.Millisecond
	// discoveryInterval is how often a host that has just started checks whether it has
	// learned of the others.
	discoveryInterval = 50 * time.Millisecond
	// maxHomes is the number of homes that are tried for one request.
	maxHomes = 4
)

// Homes finds the homes among the hosts.
type Homes interface {
	// Home returns the home of a region, or of all regions for "". It returns false if
	// this host is the home.
	Home(region string) (roster.Host, bool)
	// Avoid marks a host that doesn't answer, so that another one becomes home.
	Avoid(name string)
	// IsDiscoveryDone reports whether this host has had time to discover the others.
	IsDiscoveryDone() bool
}

// Topology describes the regions of the deployment.
type Topology interface {
	// IsSplit reports whether each region has enough targets for a home of its own.
	IsSplit(stages []fleet.Stage) bool
	Region(dataCentre string) string
	Regions() []string
}

// Bus calls other hosts.
type Bus interface {
	Call(ctx context.Context, to hosts.Host, kind string, body, reply any) error
	Send(ctx context.Context, to hosts.Host, kind string, body any) error
}

// Error reports why the stages have no results. The request itself has not run.
type Error struct {
	Reason     batch.Reason
	RetryAfter time.Duration
}

func (e *Error) Error() string { return "stages: " + string(e.Reason) }

// Runner runs orders at their homes.
type Runner struct {
	self     string
	homes    Homes
	bus      Bus
	local    *batch.Home
	topology Topology
	region   string // of this host
	seq      atomic.Uint64
	process  string // start time, distinguishes order IDs of successive processes of a host
}

// New returns a runner for the host with this name and region.
func New(self, region string, homes Homes, bus Bus, local *batch.Home, topology Topology) *Runner {
	return &Runner{self: self, region: region, homes: homes, bus: bus, local: local, topology: topology, process: strconv.FormatInt(time.Now().UnixNano(), 36)}
}

// Results holds the handles that the request itself reads.
type Results struct {
	Handles      []string
	Waited       time.Duration // in queues, over all stages
	Runs         int           // how often the stages were started at the last home
	DataCentre   string        // where the request should run; empty: anywhere
	PrefixTarget string        // target that has the prefix cached; empty: none known
	IsPlaced     bool          // the home chose PrefixTarget by the prompts of its region
	onFree       func(batch.SessionTarget)
}

// Free frees the results. session is the target that the request went to.
func (r *Results) Free(session batch.SessionTarget) {
	if r.onFree != nil {
		r.onFree(session)
		r.onFree = nil
	}
}

// HomeOf returns the name of the host that would queue stages now.
func (r *Runner) HomeOf(stages []fleet.Stage) string {
	region := ""
	if r.topology.IsSplit(stages) {
		region = r.region
	}
	if home, isOther := r.homes.Home(region); isOther {
		return home.Name
	}
	return r.self
}

// Run runs all stages of an order, whose ID it sets, and returns the results. The
// order must be done by until, and is late after due.
func (r *Runner) Run(ctx context.Context, order batch.Order, due, until time.Time) (*Results, error) {
	order.OriginRegion = r.region
	if order.Region = ""; r.topology.IsSplit(order.Stages) && allows(order.Regions, r.region) {
		order.Region = r.region
	}
	if err := r.waitForDiscovery(ctx); err != nil {
		return nil, err
	}
	for range maxHomes {
		now := time.Now()
		order.ID = r.self + "/" + r.process + "/" + strconv.FormatUint(r.seq.Add(1), 36)
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
			// A home that is slow, not lost, must not go on with the order beside the next one.
			r.send(home, KindRelease, orderRef{ID: order.ID})
			if order.Moved {
				order.Region = r.region // a moved order isn't handed over again
			}
		case result.Reason == batch.ReasonNone:
			return &Results{
				Handles: result.Handles, Waited: result.Wait, Runs: result.Runs, DataCentre: result.DataCentre, PrefixTarget: result.PrefixTarget, IsPlaced: result.IsPlaced,
				onFree: func(session batch.SessionTarget) {
					r.freeResults(home, order.Region, orderRef{ID: order.ID, Session: session}, result.Handles)
				},
			}, nil
		case result.Reason == batch.ReasonMoved:
			order.Region, order.Moved = result.Region, true
		case result.Reason == batch.ReasonBusy && order.Moved && order.Region != r.region:
			order.Region = r.region // it may still be served here, although late
		case result.Reason != batch.ReasonUnknown:
			return nil, &Error{Reason: result.Reason, RetryAfter: result.RetryAfter}
		}
	}
	return nil, &Error{Reason: batch.ReasonFailed}
}

// waitForDiscovery waits until this host has learned of the others. Otherwise, several
// hosts could act as home at once and compete for the targets.
func (r *Runner) waitForDiscovery(ctx context.Context) error {
	for !r.homes.IsDiscoveryDone() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(discoveryInterval):
		}
	}
	return nil
}

// allows reports whether a region is in the list of allowed ones; empty allows all.
func allows(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

var errNoAnswer = errors.New("the home of the stages doesn't answer")

// runAt runs an order at a home, or at this host if home is zero. An error means
// that the home doesn't answer.
func (r *Runner) runAt(ctx context.Context, home roster.Host, order batch.Order) (batch.Result, error) {
	if home.Name == "" {
		r.local.Submit(order)
		for {
			if res := r.local.Await(ctx, order.ID, pollTimeout); res.IsDone {
				return res, nil
			}
			if ctx.Err() != nil {
				r.local.Drop(order.ID, batch.SessionTarget{}, nil)
				return batch.Result{}, ctx.Err()
			}
		}
	}
	kind, body := KindRun, any(order.Packed())
	var progress []batch.StageProgress
	for {
		callCtx, cancel := context.WithTimeout(ctx, pollTimeout+networkSlack)
		var res batch.Result
		err := r.bus.Call(callCtx, PeerHost(home), kind, body, &res)
		cancel()
		res = res.Unpacked()
		switch {
		case ctx.Err() != nil:
			r.drop(home, orderRef{ID: order.ID})
			return batch.Result{}, ctx.Err()
		case err != nil:
			return batch.Result{Progress: progress}, fmt.Errorf("%w: %w", errNoAnswer, err)
		case res.IsDone:
			return res, nil
		}
		if len(res.Progress) > 0 {
			progress = res.Progress
		}
		kind, body = KindWait, any(orderRef{ID: order.ID})
	}
}

// orderRef refers to an order in polls and drops.
type orderRef struct {
	ID      string              `cbor:"id"`
	Session batch.SessionTarget `cbor:"use"`
	Handles []string            `cbor:"handles,omitempty"` // results to free at a home that doesn't know the ID
	Starts  []int64             `cbor:"starts,omitempty"`  // of the makers of Handles, on the wire
}

// freeResults frees results at the home that ran the order, and at its successor if
// there is one.
func (r *Runner) freeResults(home roster.Host, region string, ref orderRef, handles []string) {
	ref.Session.Region = r.topology.Region(ref.Session.DataCentre)
	current, isOther := r.homes.Home(region)
	if !isOther {
		current = roster.Host{}
	}
	if current.Name != home.Name {
		withHandles := ref
		withHandles.Handles = handles
		r.drop(current, withHandles)
	}
	r.drop(home, ref)
}

// drop ends an order or frees its results. If the message is lost, the results use
// space until they expire.
func (r *Runner) drop(home roster.Host, ref orderRef) {
	if home.Name == "" {
		r.local.Drop(ref.ID, ref.Session, ref.Handles)
		return
	}
	r.send(home, KindDrop, ref)
}

// send sends a message about an order without waiting. If it is lost, the home ends the order
// because nobody polls for it.
func (r *Runner) send(home roster.Host, kind string, ref orderRef) {
	ref.Handles, ref.Starts = batch.PackHandles(ref.Handles)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), networkSlack)
		defer cancel()
		_ = r.bus.Send(ctx, PeerHost(home), kind, ref)
	}()
}

// SendReport sends a report of this home to the homes of other regions. If a report
// is lost, a prefix may be computed again, or an order refused instead of moved.
func (r *Runner) SendReport(ctx context.Context, report batch.RegionReport) {
	reported := map[string]bool{}
	for _, region := range r.topology.Regions() {
		home, isOther := r.homes.Home(region)
		if region == r.region || !isOther || reported[home.Name] {
			continue
		}
		reported[home.Name] = true
		callCtx, cancel := context.WithTimeout(ctx, networkSlack)
		_ = r.bus.Send(callCtx, PeerHost(home), KindReport, report)
		cancel()
	}
}

// PeerHost converts a host of the roster for the transport.
func PeerHost(h roster.Host) hosts.Host { return hosts.Host{Name: h.Name, PeerAddress: h.PeerAddress} }

// Registrar registers handlers of messages.
type Registrar interface {
	Handle(kind string, h func(ctx context.Context, from string, incarnation uint64, body []byte) (any, error))
}

// RegisterHandlers registers handlers that pass messages of other hosts to the home
// of this host.
func RegisterHandlers(bus Registrar, home *batch.Home) {
	bus.Handle(KindRun, func(ctx context.Context, _ string, _ uint64, body []byte) (any, error) {
		var order batch.Order
		if err := peers.Decode(body, &order); err != nil {
			return nil, err
		}
		home.Submit(order.Unpacked())
		return home.Await(ctx, order.ID, pollTimeout).Packed(), nil
	})
	bus.Handle(KindWait, func(ctx context.Context, _ string, _ uint64, body []byte) (any, error) {
		var in orderRef
		if err := peers.Decode(body, &in); err != nil {
			return nil, err
		}
		return home.Await(ctx, in.ID, pollTimeout).Packed(), nil
	})
	bus.Handle(KindReport, func(_ context.Context, _ string, _ uint64, body []byte) (any, error) {
		var report batch.RegionReport
		if err := peers.Decode(body, &report); err != nil {
			return nil, err
		}
		home.HandleReport(report)
		return nil, nil
	})
	bus.Handle(KindRelease, func(_ context.Context, _ string, _ uint64, body []byte) (any, error) {
		var in orderRef
		if err := peers.Decode(body, &in); err != nil {
			return nil, err
		}
		home.Release(in.ID)
		return nil, nil
	})
	bus.Handle(KindDrop, func(_ context.Context, _ string, _ uint64, body []byte) (any, error) {
		var in orderRef
		if err := peers.Decode(body, &in); err != nil {
			return nil, err
		}
		home.Drop(in.ID, in.Session, batch.UnpackHandles(in.Handles, in.Starts))
		return nil, nil
	})
}
