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

// fakeTarget is one target of the test deployment.
type fakeTarget struct {
	doc         bundle.TargetDoc
	pool        bundle.PoolDoc
	serviceTime time.Duration

	mu      sync.Mutex
	state   target.State
	boot    int
	running int
	reports []loadReport
}

// loadReport is the load that a target had at a point in time.
type loadReport struct {
	at   time.Time
	load target.LoadReport
}

// reportLag is how old load reports are when hosts receive them.
const reportLag = 500 * time.Millisecond

func (t *fakeTarget) setState(state target.State, restart bool, recorder *events.Recorder) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if restart {
		t.boot++
	}
	t.state = state
	t.recordLoad()
	recorder.Add(events.Event{Kind: events.StateChanged, Target: t.doc.Name, DataCentre: t.doc.DataCentre, Detail: string(state)})
}

func (t *fakeTarget) recordLoad() {
	t.reports = append(t.reports, loadReport{time.Now(), target.LoadReport{
		State: t.state, Boot: fmt.Sprint(t.boot), Running: t.running, Limit: t.pool.Limit, ColdLimit: t.pool.ColdLimit,
		Age: units.Duration(reportLag),
	}})
}

func (t *fakeTarget) load() target.LoadReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	latest := t.reports[0].load
	for i, r := range t.reports {
		if time.Since(r.at) >= reportLag {
			latest = r.load
			t.reports = append(t.reports[:0:0], t.reports[i:]...)
			break
		}
	}
	for _, r := range t.reports {
		if time.Since(r.at) >= reportLag {
			latest = r.load
		}
	}
	return latest
}

// targetClient is the client by which one host calls all targets.
type targetClient struct {
	env  *testEnv
	self hosts.Host
	gate *gate
}

func (c targetClient) LoadReport(_ context.Context, address string) (target.LoadReport, error) {
	t := c.env.targetsByAddress[address]
	if err := c.gate.wait(); err != nil {
		return target.LoadReport{}, err
	}
	if c.env.partitions.blocks(c.self.DataCentre, t.doc.DataCentre) || c.env.partitions.blocks(t.doc.DataCentre, c.self.DataCentre) {
		return target.LoadReport{}, errors.New("no route")
	}
	time.Sleep(2 * oneWayDelay(c.self.DataCentre, t.doc.DataCentre))
	return t.load(), nil
}

// Run runs a call at its target. A call that has started completes even if the host
// disconnects, unless it may be repeated and is cancelled.
func (c targetClient) Run(ctx context.Context, call target.Call, onToken func(int, string)) target.Result {
	t := c.env.targetsByAddress[call.Address]
	if c.gate.wait() != nil {
		return target.Result{Err: errKilled}
	}
	if c.env.partitions.blocks(c.self.DataCentre, t.doc.DataCentre) {
		return target.Result{Err: errors.New("no connection")}
	}
	time.Sleep(oneWayDelay(c.self.DataCentre, t.doc.DataCentre))
	done := make(chan target.Result, 1)
	go func() { done <- t.run(ctx, call, c.env) }()
	var res target.Result
	select {
	case res = <-done:
	case <-ctx.Done():
		return target.Result{Execution: target.MayHaveExecuted, Err: ctx.Err()}
	}
	time.Sleep(oneWayDelay(c.self.DataCentre, t.doc.DataCentre))
	if c.gate.wait() != nil {
		return target.Result{Execution: target.MayHaveExecuted, Err: errKilled}
	}
	if c.env.partitions.blocks(t.doc.DataCentre, c.self.DataCentre) {
		return target.Result{Execution: target.MayHaveExecuted, Err: errors.New("answer lost")}
	}
	if onToken != nil && res.Err == nil {
		for i, piece := range target.OutputTokens(t.pool.Kind, t.pool.Name, call.Input) {
			onToken(i, piece)
		}
	}
	return res
}

func (t *fakeTarget) run(ctx context.Context, call target.Call, env *testEnv) target.Result {
	t.mu.Lock()
	t.running++
	boot, state, running := fmt.Sprint(t.boot), t.state, t.running
	env.recorder.Add(events.Event{
		Kind: events.Started, Target: t.doc.Name, DataCentre: t.doc.DataCentre, Stage: t.pool.Name, Attempt: call.ID,
		Request: target.WorkID(call.Input), Load: running, Detail: string(state),
	})
	t.recordLoad()
	duration := t.serviceTime + time.Duration(running)*t.serviceTime/8
	t.mu.Unlock()
	select {
	case <-time.After(duration):
	case <-ctx.Done():
		if t.pool.Retryable {
			break
		}
		time.Sleep(duration)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	t.recordLoad()
	env.recorder.Add(events.Event{Kind: events.Finished, Target: t.doc.Name, Attempt: call.ID, Load: t.running})
	return target.Result{
		Output: target.ExpectedOutput(t.pool.Kind, t.pool.Name, call.Input), State: t.state, Boot: boot, Execution: target.Executed,
	}
}
