package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chivepost/share/bundle"
	"chivepost/share/events"
	"chivepost/share/hosts"
	"chivepost/share/target"
	"chivepost/share/units"
)

// gate holds back everything that crosses the border of a paused process, and
// stops it for good when the process is killed.
type gate struct {
	mu      sync.Mutex
	resumed chan struct{}
	killed  chan struct{}
}

func newGate() *gate { return &gate{killed: make(chan struct{})} }

func (g *gate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resumed == nil {
		g.resumed = make(chan struct{})
	}
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resumed != nil {
		close(g.resumed)
		g.resumed = nil
	}
}

func (g *gate) kill() { g.resume(); close(g.killed) }

var errKilled = errors.New("process killed")

// pass waits out a pause. It fails once the process is killed.
func (g *gate) pass() error {
	for {
		g.mu.Lock()
		resumed := g.resumed
		g.mu.Unlock()
		select {
		case <-g.killed:
			return errKilled
		default:
		}
		if resumed == nil {
			return nil
		}
		select {
		case <-resumed:
		case <-g.killed:
			return errKilled
		}
	}
}

// cuts says which data centres and hosts can't send to which others.
type cuts struct {
	mu  sync.Mutex
	off map[[2]string]bool
}

func (c *cuts) set(from, to string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.off == nil {
		c.off = map[[2]string]bool{}
	}
	c.off[[2]string{from, to}] = cut
}

func (c *cuts) has(from, to string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.off[[2]string{from, to}]
}

func delay(fromDC, toDC string) time.Duration {
	if fromDC == toDC {
		return time.Millisecond
	}
	return 20 * time.Millisecond
}

// network joins the buses of all hosts by host name.
type network struct {
	cuts *cuts
	mu   sync.Mutex
	bus  map[string]*bus
}

// bus is one process's end of the network. Bodies are encoded, so that no two
// hosts share memory.
type bus struct {
	net         *network
	self        hosts.Host
	incarnation uint64
	gate        *gate
	mu          sync.Mutex
	handlers    map[string]func(context.Context, string, uint64, []byte) (any, error)
}

func (n *network) join(self hosts.Host, incarnation uint64, g *gate) *bus {
	b := &bus{
		net: n, self: self, incarnation: incarnation, gate: g,
		handlers: map[string]func(context.Context, string, uint64, []byte) (any, error){},
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bus[self.Name] = b
	return b
}

func (b *bus) Handle(kind string, h func(context.Context, string, uint64, []byte) (any, error)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.handlers[kind] = h
}

// callTime bounds a call whose message or reply is lost.
const callTime = time.Second

func (b *bus) Call(ctx context.Context, to hosts.Host, kind string, body, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	data, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	if err := b.gate.pass(); err != nil {
		return err
	}
	if b.net.cuts.has(b.self.DataCentre, to.DataCentre) {
		<-ctx.Done()
		return ctx.Err()
	}
	b.net.mu.Lock()
	peer := b.net.bus[to.Name]
	b.net.mu.Unlock()
	if peer == nil {
		return errors.New("connection refused")
	}
	type result struct {
		data []byte
		err  error
	}
	done := make(chan result, 1)
	go func() {
		time.Sleep(delay(b.self.DataCentre, to.DataCentre))
		data, err := peer.receive(ctx, b, kind, data)
		time.Sleep(delay(b.self.DataCentre, to.DataCentre))
		if err == nil && b.net.cuts.has(to.DataCentre, b.self.DataCentre) {
			return // The reply is lost.
		}
		done <- result{data, err}
	}()
	select {
	case res := <-done:
		if res.err != nil {
			return res.err
		}
		if err := b.gate.pass(); err != nil {
			return err
		}
		return cbor.Unmarshal(res.data, reply)
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (b *bus) receive(ctx context.Context, from *bus, kind string, data []byte) ([]byte, error) {
	if err := b.gate.pass(); err != nil {
		return nil, err
	}
	b.mu.Lock()
	h := b.handlers[kind]
	b.mu.Unlock()
	if h == nil {
		return nil, fmt.Errorf("no handler for %s", kind)
	}
	out, err := h(context.WithoutCancel(ctx), from.self.Name, from.incarnation, data)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(out)
}

// hostList is the platform's list with a lag between a change and its reading.
type hostList struct {
	mu      sync.Mutex
	down    bool
	changes []listChange
}

type listChange struct {
	at   time.Time
	list hosts.List
}

func (l *hostList) change(edit func(h []hosts.Host) []hosts.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list hosts.List
	if n := len(l.changes); n > 0 {
		list = l.changes[n-1].list
	}
	next := hosts.List{Version: list.Version + 1, Hosts: edit(append([]hosts.Host(nil), list.Hosts...))}
	l.changes = append(l.changes, listChange{at: time.Now(), list: next})
}

// listReader is one host's access; its lag is fixed by the host's place in the list.
type listReader struct {
	list *hostList
	lag  time.Duration
	gate *gate
}

func (r listReader) Hosts(context.Context) (hosts.List, error) {
	if err := r.gate.pass(); err != nil {
		return hosts.List{}, err
	}
	r.list.mu.Lock()
	defer r.list.mu.Unlock()
	if r.list.down {
		return hosts.List{}, errors.New("host list down")
	}
	found := r.list.changes[0].list
	for _, c := range r.list.changes[1:] {
		if time.Since(c.at) >= r.lag {
			found = c.list
		}
	}
	return found, nil
}

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
