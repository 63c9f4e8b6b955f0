package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"chivepost/entry/internal/memlog"
	"chivepost/share/logsvc"

	"github.com/fxamacker/cbor/v2"

	"chivepost/share/hosts"
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

// gatedLog is a host's access to the log, which a pause holds back.
type gatedLog struct {
	*memlog.Client
	gate  *gate
	delay *atomic.Int64
}

func (l gatedLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (logsvc.Page, error) {
	time.Sleep(time.Duration(l.delay.Load()))
	if err := l.gate.pass(); err != nil {
		return logsvc.Page{}, err
	}
	return l.Client.Read(ctx, stream, from, limit, wait)
}

func (l gatedLog) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	time.Sleep(time.Duration(l.delay.Load()))
	if err := l.gate.pass(); err != nil {
		return 0, err
	}
	offset, err := l.Client.Append(ctx, stream, records)
	if gateErr := l.gate.pass(); gateErr != nil {
		return 0, gateErr
	}
	return offset, err
}
