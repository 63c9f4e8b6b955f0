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

// gate blocks while the node is paused. It is false if the node has died.
func (n *node) gate() bool {
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

// deliver carries a message to a peer; the receiver is nil if it is lost.
func (n *node) deliver(to string) *node {
	if !n.gate() {
		return nil
	}
	time.Sleep(n.f.delay())
	n.f.mu.Lock()
	peer, cut := n.f.nodes[to], n.f.cut[[2]string{n.name, to}]
	n.f.mu.Unlock()
	if cut || peer == nil || !peer.gate() {
		return nil
	}
	return peer
}

// delay returns the latency of a message. Under random faults some come so late
// that others overtake them.
func (f *fleet) delay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.messages++
	if f.longCalls && f.messages%7 == 0 {
		return 700 * time.Millisecond
	}
	return latency
}

// call makes f at a peer and carries the answer back. It returns when ctx ends,
// while the message may still arrive.
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
		return zero, errCut
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

func (n *node) Beat(ctx context.Context, to hosts.Host, b member.Beat) (member.Beat, error) {
	return call(ctx, n, to.Name, func(p *node) member.Beat { return p.member.HandleBeat(b) })
}

func (n *node) Request(ctx context.Context, to hosts.Host, a slots.Request) (slots.Grant, error) {
	return call(ctx, n, to.Name, func(p *node) slots.Grant { return p.slots.HandleRequest(n.name, n.inc, a) })
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
	if !n.gate() {
		return hosts.List{}, errCut
	}
	time.Sleep(latency)
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	if n.f.listDown {
		return hosts.List{}, errCut
	}
	list := n.f.versions[0].list
	for _, v := range n.f.versions {
		if time.Since(v.at) >= n.f.lag[n.name] {
			list = v.list
		}
	}
	return list, nil
}

// Load reports a target's state as it was before the lag.
func (n *node) Load(_ context.Context, address string) (target.Load, error) {
	if !n.gate() {
		return target.Load{}, errCut
	}
	time.Sleep(latency)
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	b := n.f.backends[address]
	was := b.history[0]
	for _, s := range b.history {
		if time.Since(s.at) >= n.f.loadLag {
			was = s
		}
	}
	b.sign(was.state, was.boot)
	return target.Load{State: was.state, Boot: was.boot, AsOf: units.Duration(n.f.loadLag)}, nil
}

func (b *backend) become(state target.State, boot string) {
	b.state, b.boot, b.seen = state, boot, time.Time{}
	b.history = append(b.history, backendState{time.Now(), state, boot})
}

// sign notes that someone has seen the target cold.
func (b *backend) sign(state target.State, boot string) {
	if state == target.StateCold && b.state == state && boot == b.boot && b.seen.IsZero() {
		b.seen = time.Now()
	}
}

// work has a node make calls to a pool until its end, several at once.
func (n *node) work(pool string, workers int, pausing time.Duration) {
	w := &waiters{n: n, pool: pool}
	for range workers {
		n.f.wait.Go(func() {
			for n.ctx.Err() == nil {
				w.one()
				time.Sleep(pausing)
			}
		})
	}
}

// waiters counts the calls of a node that wait for a pool.
type waiters struct {
	n       *node
	pool    string
	waiting atomic.Int64
}

func (w *waiters) add(d int64) { w.n.slots.SetWaiting(w.pool, int(w.waiting.Add(d))) }

// one waits for a slot and makes one call.
func (w *waiters) one() {
	n := w.n
	w.add(1)
	var hold *slots.Hold
	var address string
	for hold == nil && n.ctx.Err() == nil {
		changed := n.slots.Changed()
		for _, t := range n.slots.View(w.pool) {
			if t.Free > 0 && hold == nil && n.gate() {
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
	if time.Sleep(latency); read(n.f, func() bool { return n.f.longCalls }) {
		time.Sleep(50 * time.Millisecond) // so that pauses fall between Take and Check
	}
	if !n.gate() || hold.Check() != nil {
		hold.Done(target.Result{Err: errCut}, 0)
		return
	}
	// Long calls are reported as usual ones, so that limits don't shrink for them.
	hold.Done(n.f.run(n, address), callTime)
}

// run is a call at a target. It checks the limit while the target is cold.
func (f *fleet) run(n *node, address string) target.Result {
	b := f.backends[address]
	f.mu.Lock()
	f.started++
	took := callTime
	if f.longCalls && f.started%5 == 0 {
		took = 4800 * time.Millisecond // within the attempt bound
	}
	b.running++
	b.highest = max(b.highest, b.running)
	if pool, _ := f.bundle.Pool(b.doc.Pool); f.steady && b.running > pool.Limit {
		f.breaches = append(f.breaches, fmt.Sprintf("%s: %d calls at %s, limit %d", n.name, b.running, b.doc.Name, pool.Limit))
	}
	if b.state == target.StateCold && !b.seen.IsZero() && time.Since(b.seen) > f.closing && b.running > b.coldLimit {
		f.breaches = append(f.breaches, fmt.Sprintf("%s: %d calls at the cold target %s, limit %d, %s after the first sign",
			n.name, b.running, b.doc.Name, b.coldLimit, time.Since(b.seen)))
	}
	f.mu.Unlock()
	time.Sleep(took)
	f.mu.Lock()
	defer f.mu.Unlock()
	b.running--
	if !n.dead {
		b.sign(b.state, b.boot)
	}
	if last := f.last[n.name]; !last.IsZero() {
		f.gap = max(f.gap, time.Since(last))
	}
	f.completed[n.name]++
	f.last[n.name] = time.Now()
	return target.Result{State: b.state, Boot: b.boot, Sent: target.SentYes}
}

func (f *fleet) done(name string) int { return read(f, func() int { return f.completed[name] }) }
