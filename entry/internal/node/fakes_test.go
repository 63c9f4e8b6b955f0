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

// gate blocks all input and output of a process while it is paused, and fails it once
// the process is killed.
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

// wait blocks while the process is paused. It fails once the process is killed.
func (g *gate) wait() error {
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

// partitions records which data centres can't send to which others.
type partitions struct {
	mu      sync.Mutex
	blocked map[[2]string]bool
}

func (p *partitions) set(from, to string, isBlocked bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.blocked == nil {
		p.blocked = map[[2]string]bool{}
	}
	p.blocked[[2]string{from, to}] = isBlocked
}

func (p *partitions) blocks(from, to string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.blocked[[2]string{from, to}]
}

func oneWayDelay(fromDC, toDC string) time.Duration {
	if fromDC == toDC {
		return time.Millisecond
	}
	return 20 * time.Millisecond
}

// network connects the buses of all hosts, by host name.
type network struct {
	partitions *partitions
	mu         sync.Mutex
	buses      map[string]*bus
}

// bus connects one process to the network. It encodes message bodies, so that no two
// hosts share memory.
type bus struct {
	net         *network
	self        hosts.Host
	incarnation uint64
	gate        *gate
	mu          sync.Mutex
	handlers    map[string]func(context.Context, string, uint64, []byte) (any, error)
}

func (n *network) join(self hosts.Host, incarnation uint64, gate *gate) *bus {
	b := &bus{
		net: n, self: self, incarnation: incarnation, gate: gate,
		handlers: map[string]func(context.Context, string, uint64, []byte) (any, error){},
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.buses[self.Name] = b
	return b
}

func (b *bus) Handle(kind string, h func(context.Context, string, uint64, []byte) (any, error)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.handlers[kind] = h
}

// callTimeout limits calls, since a message or its reply may be lost.
const callTimeout = time.Second

func (b *bus) Call(ctx context.Context, to hosts.Host, kind string, body, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	data, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	if err := b.gate.wait(); err != nil {
		return err
	}
	if b.net.partitions.blocks(b.self.DataCentre, to.DataCentre) {
		<-ctx.Done()
		return ctx.Err()
	}
	b.net.mu.Lock()
	peer := b.net.buses[to.Name]
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
		time.Sleep(oneWayDelay(b.self.DataCentre, to.DataCentre))
		data, err := peer.receive(ctx, b, kind, data)
		time.Sleep(oneWayDelay(b.self.DataCentre, to.DataCentre))
		if err == nil && b.net.partitions.blocks(to.DataCentre, b.self.DataCentre) {
			return // The reply is lost.
		}
		done <- result{data, err}
	}()
	select {
	case res := <-done:
		if res.err != nil {
			return res.err
		}
		if err := b.gate.wait(); err != nil {
			return err
		}
		return cbor.Unmarshal(res.data, reply)
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (b *bus) receive(ctx context.Context, from *bus, kind string, data []byte) ([]byte, error) {
	if err := b.gate.wait(); err != nil {
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

// hostList is the platform's host list. It keeps its past versions for readers that lag.
type hostList struct {
	mu          sync.Mutex
	unavailable bool
	changes     []listChange
}

type listChange struct {
	at   time.Time
	list hosts.List
}

func (l *hostList) update(edit func(h []hosts.Host) []hosts.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list hosts.List
	if n := len(l.changes); n > 0 {
		list = l.changes[n-1].list
	}
	updated := hosts.List{Version: list.Version + 1, Hosts: edit(append([]hosts.Host(nil), list.Hosts...))}
	l.changes = append(l.changes, listChange{at: time.Now(), list: updated})
}

// listReader reads the host list for one process, with a fixed lag.
type listReader struct {
	list *hostList
	lag  time.Duration
	gate *gate
}

func (r listReader) Hosts(context.Context) (hosts.List, error) {
	if err := r.gate.wait(); err != nil {
		return hosts.List{}, err
	}
	r.list.mu.Lock()
	defer r.list.mu.Unlock()
	if r.list.unavailable {
		return hosts.List{}, errors.New("host list down")
	}
	current := r.list.changes[0].list
	for _, c := range r.list.changes[1:] {
		if time.Since(c.at) >= r.lag {
			current = c.list
		}
	}
	return current, nil
}

// gatedLog is the log client of one process. It blocks while the process is paused.
type gatedLog struct {
	*memlog.Client
	gate  *gate
	delay *atomic.Int64
}

func (l gatedLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (logsvc.Page, error) {
	time.Sleep(time.Duration(l.delay.Load()))
	if err := l.gate.wait(); err != nil {
		return logsvc.Page{}, err
	}
	return l.Client.Read(ctx, stream, from, limit, wait)
}

func (l gatedLog) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	time.Sleep(time.Duration(l.delay.Load()))
	if err := l.gate.wait(); err != nil {
		return 0, err
	}
	offset, err := l.Client.Append(ctx, stream, records)
	if gateErr := l.gate.wait(); gateErr != nil {
		return 0, gateErr
	}
	return offset, err
}
