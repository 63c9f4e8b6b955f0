package slots_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"chivepost/entry/internal/member"
	"chivepost/entry/internal/slots"
	"chivepost/share/hosts"
	"chivepost/share/target"
	"chivepost/share/units"
)

// waitUnpaused blocks while the node is paused and returns false if it was killed.
func (n *node) waitUnpaused() bool {
	for {
		n.f.mu.Lock()
		p, dead := n.paused, n.dead
		n.f.mu.Unlock()
		if p == nil || dead {
			return !dead
		}
		<-p
	}
}

// deliver delivers a message to a peer and returns the peer, nil if the message
// is lost.
func (n *node) deliver(to string) *node {
	if !n.waitUnpaused() {
		return nil
	}
	time.Sleep(n.f.delay())
	n.f.mu.Lock()
	peer, disconnected := n.f.nodes[to], n.f.disconnected[[2]string{n.name, to}]
	n.f.mu.Unlock()
	if disconnected || peer == nil || !peer.waitUnpaused() {
		return nil
	}
	return peer
}

// delay returns the latency of a message. Under random faults some messages are so
// late that later ones overtake them.
func (f *fleet) delay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.messages++
	if f.addDelays && f.messages%7 == 0 {
		return 700 * time.Millisecond
	}
	return latency
}

// call runs do on a peer and returns its answer. When ctx ends it returns, but the
// message may still arrive.
func call[T any](ctx context.Context, n *node, to string, do func(*node) T) (T, error) {
	type answer struct {
		value T
		ok    bool
	}
	done := make(chan answer, 1)
	n.f.wait.Go(func() {
		peer := n.deliver(to)
		if peer == nil {
			done <- answer{}
			return
		}
		v := do(peer)
		done <- answer{v, peer.deliver(n.name) != nil}
	})
	var zero T
	select {
	case a := <-done:
		if a.ok {
			return a.value, nil
		}
		return zero, errDisconnected
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

func (n *node) SendHeartbeat(ctx context.Context, to hosts.Host, b member.Heartbeat) (member.Heartbeat, error) {
	return call(ctx, n, to.Name, func(p *node) member.Heartbeat { return p.member.HandleHeartbeat(b) })
}

func (n *node) Request(ctx context.Context, to hosts.Host, req slots.Request) (slots.Grant, error) {
	return call(ctx, n, to.Name, func(p *node) slots.Grant { return p.slots.HandleRequest(n.name, n.incarnation, req) })
}

func (n *node) Revoke(ctx context.Context, to string, r slots.Revoke) error {
	_, err := call(ctx, n, to, func(p *node) any { p.slots.HandleRevoke(r); return nil })
	return err
}

func (n *node) Handover(ctx context.Context, to hosts.Host, h slots.Handover) error {
	_, err := call(ctx, n, to.Name, func(p *node) bool { p.slots.HandleHandover(n.name, h); return true })
	return err
}

// Hosts reads the host list with the node's lag.
func (n *node) Hosts(context.Context) (hosts.List, error) {
	if !n.waitUnpaused() {
		return hosts.List{}, errDisconnected
	}
	time.Sleep(latency)
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	if n.f.listDown {
		return hosts.List{}, errDisconnected
	}
	list := n.f.versions[0].list
	for _, v := range n.f.versions {
		if time.Since(v.at) >= n.f.listLag[n.name] {
			list = v.list
		}
	}
	return list, nil
}

// LoadReport returns a target's state as it was loadLag ago.
func (n *node) LoadReport(_ context.Context, address string) (target.LoadReport, error) {
	if !n.waitUnpaused() {
		return target.LoadReport{}, errDisconnected
	}
	time.Sleep(latency)
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	b := n.f.targets[address]
	was := b.history[0]
	for _, s := range b.history {
		if time.Since(s.at) >= n.f.loadLag {
			was = s
		}
	}
	b.markColdSeen(was.state, was.boot)
	return target.LoadReport{State: was.state, Boot: was.boot, Age: units.Duration(n.f.loadLag)}, nil
}

func (b *fakeTarget) setState(state target.State, boot string) {
	b.state, b.boot, b.coldSeen = state, boot, time.Time{}
	b.history = append(b.history, targetState{time.Now(), state, boot})
}

// markColdSeen records that a host has seen the target cold.
func (b *fakeTarget) markColdSeen(state target.State, boot string) {
	if state == target.StateCold && b.state == state && boot == b.boot && b.coldSeen.IsZero() {
		b.coldSeen = time.Now()
	}
}

// startCallers starts workers that make calls to a pool until the node is killed.
func (n *node) startCallers(pool string, workers int, pause time.Duration) {
	w := &callerGroup{n: n, pool: pool}
	for range workers {
		n.f.wait.Go(func() {
			for n.ctx.Err() == nil {
				w.callOnce()
				time.Sleep(pause)
			}
		})
	}
}

// callerGroup counts the calls of a node that wait for a pool.
type callerGroup struct {
	n       *node
	pool    string
	waiting atomic.Int64
}

func (w *callerGroup) add(d int64) { w.n.slots.SetWaiting(w.pool, int(w.waiting.Add(d))) }

// callOnce waits for a slot and makes one call.
func (w *callerGroup) callOnce() {
	n := w.n
	w.add(1)
	var hold *slots.Hold
	var address string
	for hold == nil && n.ctx.Err() == nil {
		changed := n.slots.Changed()
		for _, t := range n.slots.View(w.pool) {
			if t.Free > 0 && hold == nil && n.waitUnpaused() {
				if h, ok := n.slots.Take(t.Name); ok {
					hold, address = h, t.Address
				}
			}
		}
		if hold == nil {
			select {
			case <-changed:
			case <-time.After(time.Second):
			case <-n.ctx.Done():
			}
		}
	}
	w.add(-1)
	if hold == nil {
		return
	}
	if time.Sleep(latency); read(n.f, func() bool { return n.f.addDelays }) {
		time.Sleep(50 * time.Millisecond) // so that some pauses begin between Take and Check
	}
	if !n.waitUnpaused() || hold.Check() != nil {
		hold.Done(target.Result{Err: errDisconnected}, 0)
		return
	}
	// Slow calls are reported with the usual latency, so that they don't lower limits.
	hold.Done(n.f.run(n, address), callTime)
}

// run runs a call at a target and records a violation if the calls in flight
// exceed the cold limit or, with homesStay, the limit of the pool.
func (f *fleet) run(n *node, address string) target.Result {
	b := f.targets[address]
	f.mu.Lock()
	f.started++
	took := callTime
	if f.addDelays && f.started%5 == 0 {
		took = 4800 * time.Millisecond // within the attempt bound
	}
	b.running++
	b.maxRunning = max(b.maxRunning, b.running)
	if pool, _ := f.bundle.Pool(b.doc.Pool); f.homesStay && b.running > pool.Limit {
		f.violations = append(f.violations, fmt.Sprintf("%s: %d calls at %s, limit %d", n.name, b.running, b.doc.Name, pool.Limit))
	}
	if b.state == target.StateCold && !b.coldSeen.IsZero() && time.Since(b.coldSeen) > f.gracePeriod && b.running > b.coldLimit {
		f.violations = append(f.violations, fmt.Sprintf("%s: %d calls at the cold target %s, limit %d, %s after the first sign",
			n.name, b.running, b.doc.Name, b.coldLimit, time.Since(b.coldSeen)))
	}
	f.mu.Unlock()
	time.Sleep(took)
	f.mu.Lock()
	defer f.mu.Unlock()
	b.running--
	if !n.dead {
		b.markColdSeen(b.state, b.boot)
	}
	if last := f.lastEnd[n.name]; !last.IsZero() {
		f.longestGap = max(f.longestGap, time.Since(last))
	}
	f.completed[n.name]++
	f.lastEnd[n.name] = time.Now()
	return target.Result{State: b.state, Boot: b.boot, Execution: target.Executed}
}

func (f *fleet) completedOf(name string) int { return read(f, func() int { return f.completed[name] }) }
