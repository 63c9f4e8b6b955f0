package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"chivepost/share/bundle"
	"chivepost/share/events"
	"chivepost/share/hosts"
	"chivepost/share/target"
	"chivepost/share/units"
)

// fakeTarget is one target of the world.
type fakeTarget struct {
	doc     bundle.TargetDoc
	pool    bundle.PoolDoc
	service time.Duration

	mu      sync.Mutex
	state   target.State
	boot    int
	running int
	reports []report
}

type report struct {
	at   time.Time
	load target.Load
}

// reportLag is how old a load report is.
const reportLag = 500 * time.Millisecond

func (t *fakeTarget) set(state target.State, restart bool, record *events.Log) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if restart {
		t.boot++
	}
	t.state = state
	t.note()
	record.Add(events.Event{Kind: events.State, Target: t.doc.Name, DataCentre: t.doc.DataCentre, Detail: string(state)})
}

func (t *fakeTarget) note() {
	t.reports = append(t.reports, report{time.Now(), target.Load{
		State: t.state, Boot: fmt.Sprint(t.boot), Running: t.running, Limit: t.pool.Limit, ColdLimit: t.pool.ColdLimit,
		AsOf: units.Duration(reportLag),
	}})
}

func (t *fakeTarget) load() target.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := t.reports[0].load
	for i, r := range t.reports {
		if time.Since(r.at) >= reportLag {
			found = r.load
			t.reports = append(t.reports[:0:0], t.reports[i:]...)
			break
		}
	}
	for _, r := range t.reports {
		if time.Since(r.at) >= reportLag {
			found = r.load
		}
	}
	return found
}

// targets is one host's way to all targets.
type targets struct {
	world *world
	self  hosts.Host
	gate  *gate
}

func (c targets) Load(_ context.Context, address string) (target.Load, error) {
	t := c.world.targets[address]
	if err := c.gate.pass(); err != nil {
		return target.Load{}, err
	}
	if c.world.cuts.has(c.self.DataCentre, t.doc.DataCentre) || c.world.cuts.has(t.doc.DataCentre, c.self.DataCentre) {
		return target.Load{}, errors.New("no route")
	}
	time.Sleep(2 * delay(c.self.DataCentre, t.doc.DataCentre))
	return t.load(), nil
}

// Run makes the call as the target would: once begun it ends, whether or not the
// caller is still there, unless the call may be repeated and is cancelled.
func (c targets) Run(ctx context.Context, call target.Call, token func(int, string)) target.Result {
	t := c.world.targets[call.Address]
	if c.gate.pass() != nil {
		return target.Result{Err: errKilled}
	}
	if c.world.cuts.has(c.self.DataCentre, t.doc.DataCentre) {
		return target.Result{Err: errors.New("no connection")}
	}
	time.Sleep(delay(c.self.DataCentre, t.doc.DataCentre))
	done := make(chan target.Result, 1)
	go func() { done <- t.run(ctx, call, c.world) }()
	var res target.Result
	select {
	case res = <-done:
	case <-ctx.Done():
		return target.Result{Sent: target.SentMaybe, Err: ctx.Err()}
	}
	time.Sleep(delay(c.self.DataCentre, t.doc.DataCentre))
	if c.gate.pass() != nil {
		return target.Result{Sent: target.SentMaybe, Err: errKilled}
	}
	if c.world.cuts.has(t.doc.DataCentre, c.self.DataCentre) {
		return target.Result{Sent: target.SentMaybe, Err: errors.New("answer lost")}
	}
	if token != nil && res.Err == nil {
		for i, piece := range target.Pieces(t.pool.Kind, t.pool.Name, call.Input) {
			token(i, piece)
		}
	}
	return res
}

func (t *fakeTarget) run(ctx context.Context, call target.Call, w *world) target.Result {
	t.mu.Lock()
	t.running++
	boot, state, running := fmt.Sprint(t.boot), t.state, t.running
	w.record.Add(events.Event{
		Kind: events.Started, Target: t.doc.Name, DataCentre: t.doc.DataCentre, Stage: t.pool.Name, Attempt: call.ID,
		Request: target.WorkID(call.Input), Load: running, Detail: string(state),
	})
	t.note()
	took := t.service + time.Duration(running)*t.service/8
	t.mu.Unlock()
	select {
	case <-time.After(took):
	case <-ctx.Done():
		if t.pool.Repeat {
			break
		}
		time.Sleep(took)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	t.note()
	w.record.Add(events.Event{Kind: events.Finished, Target: t.doc.Name, Attempt: call.ID, Load: t.running})
	return target.Result{
		Output: target.Expected(t.pool.Kind, t.pool.Name, call.Input), State: t.state, Boot: boot, Sent: target.SentYes,
	}
}
