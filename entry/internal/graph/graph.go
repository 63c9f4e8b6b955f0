// Package graph takes a request through its stages: each one runs as soon as
// those before it have their results, at the home of its service.
package graph

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
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
	KindRun  = "stage_run"
	KindWait = "stage_wait"
	KindDrop = "stage_drop"
	KindFree = "stage_free"
)

const (
	// pollFor is how long a home keeps a host waiting before it says that a job
	// goes on.
	pollFor = 400 * time.Millisecond
	// pollSlack is what an answer of a home may take besides: several round trips
	// between regions.
	pollSlack = 350 * time.Millisecond
	// afterStages is what a request needs after its last stage to be on time.
	afterStages = 150 * time.Millisecond
	// transit is what a stage takes besides its call: messages between regions.
	transit = 60 * time.Millisecond
	// maxHomes is how many homes are tried for one stage.
	maxHomes = 4
)

// Homes tells which host is home of a service.
type Homes interface {
	Home(key string) (roster.Host, bool)
	Avoid(name string)
}

// Bus calls other hosts.
type Bus interface {
	Call(ctx context.Context, to hosts.Host, kind string, body, reply any) error
	Send(ctx context.Context, to hosts.Host, kind string, body any) error
}

// Request is what the stages need to know of a request.
type Request struct {
	ID         string
	Stages     []fleet.Stage
	Pieces     []int // of each stage
	Key        string
	Due        time.Time // when it is late
	Until      time.Time // when it is of no use
	Priority   int
	DataCentre string // where results are wanted
	Regions    []string
}

// Error says why the stages have no results. The request itself has not run.
type Error struct {
	Stage      int
	Service    string
	Reason     batch.Reason
	RetryAfter time.Duration
}

func (e *Error) Error() string {
	return fmt.Sprintf("stage %d at %s: %s", e.Stage, e.Service, e.Reason)
}

// Runner runs stages.
type Runner struct {
	self  string
	homes Homes
	bus   Bus
	local *batch.Home
	seq   atomic.Uint64
	start string // tells the job ids of two processes of a host apart
}

// New returns a runner for the host of this name.
func New(self string, homes Homes, bus Bus, local *batch.Home) *Runner {
	return &Runner{self: self, homes: homes, bus: bus, local: local, start: strconv.FormatInt(time.Now().UnixNano(), 36)}
}

// stageRun is one stage of a request under way.
type stageRun struct {
	done    chan struct{}
	handles []string
	home    roster.Host // zero: this host
	users   atomic.Int32
}

// Results are the results that the request itself needs.
type Results struct {
	Handles []string
	Waited  time.Duration // in queues, over all stages
	free    func()
}

// Free gives the results up.
func (r *Results) Free() {
	if r.free != nil {
		r.free()
		r.free = nil
	}
}

// Run makes the results of all stages and returns those that no other stage
// needs.
func (r *Runner) Run(ctx context.Context, req Request, services map[string]fleet.Service) (*Results, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	runs := make([]*stageRun, len(req.Stages))
	isUsed := make([]bool, len(req.Stages))
	for i := range runs {
		runs[i] = &stageRun{done: make(chan struct{})}
	}
	for _, s := range req.Stages {
		for _, a := range s.After {
			runs[a].users.Add(1)
			isUsed[a] = true
		}
	}
	after := tails(req.Stages, services)
	var wait sync.WaitGroup
	var waited atomic.Int64
	var failure atomic.Pointer[Error]
	for i := range req.Stages {
		wait.Go(func() {
			for _, a := range req.Stages[i].After {
				select {
				case <-runs[a].done:
				case <-ctx.Done():
					return
				}
			}
			d, err := r.stage(ctx, req, i, runs, after[i])
			waited.Add(int64(d))
			if err != nil {
				failure.CompareAndSwap(nil, err)
				cancel(err)
				return
			}
			for _, a := range req.Stages[i].After {
				if runs[a].users.Add(-1) == 0 {
					r.free(runs[a], req.Stages[a].Service)
				}
			}
			close(runs[i].done)
		})
	}
	wait.Wait()
	if err := failure.Load(); err != nil {
		r.freeAll(runs, req.Stages)
		return nil, err
	}
	if ctx.Err() != nil {
		r.freeAll(runs, req.Stages)
		return nil, ctx.Err()
	}
	out := &Results{Waited: time.Duration(waited.Load())}
	for i := range runs {
		if !isUsed[i] {
			out.Handles = append(out.Handles, runs[i].handles...)
		}
	}
	out.free = func() { r.freeAll(runs, req.Stages) }
	return out, nil
}

// tails returns for each stage what the stages behind it take.
func tails(stages []fleet.Stage, services map[string]fleet.Service) []time.Duration {
	out := make([]time.Duration, len(stages))
	// Stages may stand in any order; as many passes as stages settle all tails.
	for range stages {
		for i, s := range stages {
			own := transit
			if spec := services[s.Service].Stage; spec != nil {
				own += spec.Call + time.Duration(spec.Batch/2)*spec.Item
			}
			for _, a := range s.After {
				out[a] = max(out[a], out[i]+own)
			}
		}
	}
	return out
}

func (r *Runner) freeAll(runs []*stageRun, stages []fleet.Stage) {
	for i, s := range stages {
		r.free(runs[i], s.Service)
	}
}

// freeBody is the message that gives results up.
type freeBody struct {
	Service string   `cbor:"service"`
	Handles []string `cbor:"handles"`
}

// free gives up the results of one stage. A message that is lost costs the
// results' space until their life is over.
func (r *Runner) free(s *stageRun, service string) {
	if len(s.handles) == 0 {
		return
	}
	body := freeBody{Service: service, Handles: s.handles}
	s.handles = nil
	if s.home.Name == "" {
		r.local.Free(service, body.Handles)
		return
	}
	home := s.home
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), pollSlack)
		defer cancel()
		_ = r.bus.Send(ctx, Peer(home), KindFree, body) // results that aren't freed end by themselves
	}()
}

// Peer returns a host as the transport knows it.
func Peer(h roster.Host) hosts.Host { return hosts.Host{Name: h.Name, PeerAddress: h.Peer} }

func (r *Runner) stage(ctx context.Context, req Request, i int, runs []*stageRun, after time.Duration) (time.Duration, *Error) {
	s := req.Stages[i]
	if i >= len(req.Pieces) || req.Pieces[i] == 0 {
		return 0, nil
	}
	job := batch.Job{
		Request: req.ID, Service: s.Service, Stage: i, Pieces: req.Pieces[i], Priority: req.Priority,
		DataCentre: req.DataCentre, Regions: req.Regions, ResultBytes: s.ResultBytes, IsFirst: len(s.After) == 0,
	}
	if len(s.After) == 0 {
		job.Key = req.Key
	}
	for _, a := range s.After {
		job.Inputs = append(job.Inputs, runs[a].handles...)
	}
	fail := &Error{Stage: i, Service: s.Service, Reason: batch.ReasonFailed}
	for range maxHomes {
		now := time.Now()
		job.ID = r.self + "/" + r.start + "/" + strconv.FormatUint(r.seq.Add(1), 36)
		job.TimeLeft, job.DueIn = req.Until.Sub(now)-after, req.Due.Sub(now)-after-afterStages
		home, isOther := r.homes.Home(s.Service)
		if !isOther {
			home = roster.Host{}
		}
		result, err := r.runAt(ctx, home, job)
		if err != nil {
			if ctx.Err() != nil {
				return 0, &Error{Stage: i, Service: s.Service, Reason: batch.ReasonDropped}
			}
			r.homes.Avoid(home.Name)
			continue
		}
		if result.Reason == batch.ReasonNone {
			runs[i].handles, runs[i].home = result.Handles, home
			return result.Wait, nil
		}
		fail.Reason, fail.RetryAfter = result.Reason, result.RetryAfter
		if result.Reason != batch.ReasonUnknown {
			return result.Wait, fail
		}
	}
	return 0, fail
}

var errNoAnswer = errors.New("the home of the stage doesn't answer")

// runAt runs a job at a home; an error means that the home doesn't answer.
func (r *Runner) runAt(ctx context.Context, home roster.Host, job batch.Job) (batch.Result, error) {
	if home.Name == "" {
		r.local.Submit(job)
		for {
			if res := r.local.Await(ctx, job.ID, time.Minute); res.IsDone {
				return res, nil
			}
			if ctx.Err() != nil {
				r.local.Drop(job.ID)
				return batch.Result{}, ctx.Err()
			}
		}
	}
	kind, body := KindRun, any(job)
	for {
		call, cancel := context.WithTimeout(ctx, pollFor+pollSlack)
		var res batch.Result
		err := r.bus.Call(call, Peer(home), kind, body, &res)
		cancel()
		switch {
		case ctx.Err() != nil:
			r.drop(home, job.ID)
			return batch.Result{}, ctx.Err()
		case err != nil:
			return batch.Result{}, fmt.Errorf("%w: %w", errNoAnswer, err)
		case res.IsDone:
			return res, nil
		}
		kind, body = KindWait, any(waitBody{ID: job.ID})
	}
}

type waitBody struct {
	ID string `cbor:"id"`
}

func (r *Runner) drop(home roster.Host, id string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), pollSlack)
		defer cancel()
		_ = r.bus.Send(ctx, Peer(home), KindDrop, waitBody{ID: id}) // the home forgets jobs that nobody asks for
	}()
}

// Registrar takes handlers of messages.
type Registrar interface {
	Handle(kind string, h func(ctx context.Context, from string, incarnation uint64, body []byte) (any, error))
}

// Serve handles the messages of other hosts at this host's home.
func Serve(bus Registrar, home *batch.Home) {
	bus.Handle(KindRun, func(ctx context.Context, _ string, _ uint64, body []byte) (any, error) {
		var job batch.Job
		if err := peers.Decode(body, &job); err != nil {
			return nil, err
		}
		home.Submit(job)
		return home.Await(ctx, job.ID, pollFor), nil
	})
	bus.Handle(KindWait, func(ctx context.Context, _ string, _ uint64, body []byte) (any, error) {
		var w waitBody
		if err := peers.Decode(body, &w); err != nil {
			return nil, err
		}
		return home.Await(ctx, w.ID, pollFor), nil
	})
	bus.Handle(KindDrop, func(_ context.Context, _ string, _ uint64, body []byte) (any, error) {
		var w waitBody
		if err := peers.Decode(body, &w); err != nil {
			return nil, err
		}
		home.Drop(w.ID)
		return nil, nil
	})
	bus.Handle(KindFree, func(_ context.Context, _ string, _ uint64, body []byte) (any, error) {
		var f freeBody
		if err := peers.Decode(body, &f); err != nil {
			return nil, err
		}
		home.Free(f.Service, f.Handles)
		return nil, nil
	})
}
