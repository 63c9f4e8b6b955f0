package roster

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"chivepost/platform/feed"
)

var (
	gossipSent = expvar.NewInt("gossip_sent_bytes")
	gossipBad  = expvar.NewInt("gossip_bad_datagrams_count")
)

const (
	// roundEvery is the time between two rounds of gossip.
	roundEvery = 400 * time.Millisecond
	// fanOut is the number of hosts told in a round: news reach 80 hosts in four rounds.
	fanOut = 3
	// silentEach is how many rounds pass between attempts to reach a silent host, so
	// that two parts of a deployment find each other after a cut.
	silentEach = 3
	// thawGap is the delay of a round from which on this process is taken to have stood still.
	thawGap = 1200 * time.Millisecond
	// settleLeast is two rounds of gossip, in which a host that knows the others hears
	// of most; settleMost is how long it waits for the list of hosts.
	settleLeast = 900 * time.Millisecond
	settleMost  = 2 * time.Second
	// listTime bounds a call to the store.
	listTime = 1500 * time.Millisecond
	// listEvery and listRetry are the pauses between readings of the list of hosts.
	listEvery = 15 * time.Second
	listRetry = 700 * time.Millisecond
	// leaveTime bounds the removal of this host's record as it stops.
	leaveTime = 500 * time.Millisecond
	// maxDatagram is the largest datagram read.
	maxDatagram = 64 << 10
	// hostsPerDatagram bounds the answer to a host that asks for others.
	hostsPerDatagram = 12
)

// Lister reads the list of hosts in the platform's store.
type Lister interface {
	Newest(ctx context.Context) ([]feed.HostChange, int64, error)
}

// RegisterFunc writes this host's record; without a value it is taken out.
type RegisterFunc func(ctx context.Context, value []byte) error

// Options sets up a Controller.
type Options struct {
	Self  Host
	Seeds []string // gossip addresses of hosts that may be there
}

// Controller keeps the roster up to date until Close.
type Controller struct {
	opts     Options
	logger   logr.Logger
	register RegisterFunc
	socket   *net.UDPConn
	cancel   context.CancelFunc
	wait     sync.WaitGroup
	offset   func() int64
	load     func() int

	started time.Time

	mu      sync.Mutex
	hasList bool // the list of hosts was read
	state   *state
	live    map[string]bool // as last logged
}

// New opens the datagram socket and starts the rounds. offset and load return
// what this host tells of itself.
func New(opts Options, list Lister, register RegisterFunc, offset func() int64, load func() int, logger logr.Logger) (*Controller, error) {
	address, err := net.ResolveUDPAddr("udp4", opts.Self.GossipAddress)
	if err != nil {
		return nil, fmt.Errorf("gossip address: %w", err)
	}
	socket, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("open gossip socket: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{
		opts: opts, logger: logger, register: register, socket: socket, cancel: cancel,
		offset: offset, load: load, started: time.Now(), state: newState(opts.Self), live: map[string]bool{},
	}
	c.wait.Go(func() { c.receive(ctx) })
	c.wait.Go(func() { c.rounds(ctx) })
	c.wait.Go(func() { c.enrol(ctx, list) })
	return c, nil
}

// enrol writes this host into the store and reads who else is there.
func (c *Controller) enrol(ctx context.Context, list Lister) {
	value, err := cbor.Marshal(c.opts.Self)
	if err != nil {
		c.logger.Error(err, "host record not encoded")
		return
	}
	registered := false
	for ctx.Err() == nil {
		pause := listEvery
		if !registered {
			call, cancel := context.WithTimeout(ctx, listTime)
			err := c.register(call, value)
			cancel()
			if registered = err == nil; !registered {
				pause = listRetry
				c.logger.Error(err, "host not registered", "retry_in", pause.String())
			}
		}
		call, cancel := context.WithTimeout(ctx, listTime)
		changes, _, err := list.Newest(call)
		cancel()
		if err != nil {
			pause = listRetry
		} else {
			c.takeList(changes)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (c *Controller) takeList(changes []feed.HostChange) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasList = true
	for _, ch := range changes {
		if ch.Value == nil {
			c.state.leave(ch.Name)
			continue
		}
		var h Host
		if err := cbor.Unmarshal(ch.Value, &h); err != nil {
			c.logger.Error(err, "host record rejected", "host", ch.Name)
			continue
		}
		c.state.know(h, now)
	}
}

func (c *Controller) rounds(ctx context.Context) {
	last := time.Now()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(roundEvery):
		}
		now := time.Now()
		c.mu.Lock()
		if gap := now.Sub(last) - roundEvery; gap > thawGap {
			c.state.thaw(gap)
			c.logger.Info("process stood still", "gap", gap.String())
		}
		c.state.beat.Offset = c.offset()
		c.state.beat.Load = uint16(min(max(c.load(), 0), maxLoad))
		to := c.state.partners(fanOut, round%silentEach == 0, now)
		msg := c.state.next(now)
		if len(c.state.members) == 0 || round%silentEach == 0 && len(to) <= 1 {
			to = append(to, c.opts.Seeds...)
		}
		c.logLive(now)
		c.mu.Unlock()
		last = now
		c.send(msg, to)
	}
}

// logLive logs which hosts have come and gone.
func (c *Controller) logLive(now time.Time) {
	seen := map[string]bool{}
	for _, m := range c.state.alive(now) {
		seen[m.host.Name] = true
		if !c.live[m.host.Name] {
			c.logger.Info("host heard", "host", m.host.Name, "incarnation", m.host.Incarnation)
		}
	}
	for name := range c.live {
		if !seen[name] {
			m := c.state.members[idOf(name)]
			c.logger.Info("host gone", "host", name, "silent_for", now.Sub(m.heard).String(), "is_leaving", m.beat.IsLeaving)
		}
	}
	c.live = seen
}

func (c *Controller) send(msg message, to []string) {
	data, err := cbor.Marshal(msg)
	if err != nil {
		c.logger.Error(err, "gossip not encoded")
		return
	}
	for _, address := range to {
		a, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			gossipBad.Add(1)
			continue
		}
		if _, err := c.socket.WriteToUDP(data, a); err == nil {
			gossipSent.Add(int64(len(data)))
		} // a datagram that isn't sent is like one that is lost
	}
}

func (c *Controller) receive(ctx context.Context) {
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, from, err := c.socket.ReadFromUDP(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		var msg message
		if err := cbor.Unmarshal(buf[:n], &msg); err != nil {
			gossipBad.Add(1)
			continue
		}
		now := time.Now()
		c.mu.Lock()
		unknown := c.state.take(msg, now)
		var hosts []Host
		if msg.Wants {
			hosts = c.state.hosts(now)
		}
		self := c.state.self
		c.mu.Unlock()
		if unknown {
			c.send(message{Self: self, Wants: true}, []string{from.String()})
		}
		for chunk := range slices.Chunk(hosts, hostsPerDatagram) {
			c.send(message{Self: self, Hosts: chunk}, []string{from.String()})
		}
	}
}

// Alive returns the other hosts that are heard and not leaving, with their load.
func (c *Controller) Alive() []Peer {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Peer
	for _, m := range c.state.alive(now) {
		out = append(out, Peer{Host: m.host, Load: int(m.beat.Load), Offset: m.beat.Offset, IsAvoided: m.isAvoided(now)})
	}
	return out
}

// Peer is another host as it is seen now.
type Peer struct {
	Host
	Load      int
	Offset    int64
	IsAvoided bool // it didn't answer a call of late
}

// Home returns the home of a region, or of all for the empty one; ok is false if
// it is this host.
func (c *Controller) Home(region string) (Host, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.home(region, time.Now())
}

// StoreReader returns a host that reads the store for this one; false if it reads for
// itself, or if none of them answers.
func (c *Controller) StoreReader() (Host, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.state.readers(time.Now())
	if len(list) == 0 {
		return Host{}, false
	}
	return list[int(c.state.beat.ID)%len(list)], true
}

// Rank returns the place of this host for a key among all hosts; 0 is the first.
func (c *Controller) Rank(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.rank(key, time.Now())
}

// HostCount returns how many hosts share limits.
func (c *Controller) HostCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.count(time.Now())
}

// Avoid notes that a host didn't answer a call.
func (c *Controller) Avoid(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.state.members[idOf(name)]; m != nil {
		m.avoid = time.Now().Add(avoidFor)
	}
}

// Self returns this host.
func (c *Controller) Self() Host { return c.opts.Self }

// IsLeaving reports whether this host is on its way out.
func (c *Controller) IsLeaving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.beat.IsLeaving
}

// AnnounceLeave tells all hosts that this one is on its way out.
func (c *Controller) AnnounceLeave() {
	now := time.Now()
	c.mu.Lock()
	c.state.beat.IsLeaving = true
	msg := c.state.next(now)
	to := c.state.partners(len(c.state.members), false, now)
	c.mu.Unlock()
	c.send(msg, to)
}

// IsSettled reports whether this host has had the time to hear of the others.
func (c *Controller) IsSettled() bool {
	since := time.Since(c.started)
	c.mu.Lock()
	defer c.mu.Unlock()
	return since > settleMost || c.hasList && since > settleLeast
}

// Name implements a controller's name.
func (c *Controller) Name() string { return "roster" }

// Close takes this host out of the store and ends the rounds.
func (c *Controller) Close() {
	c.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), leaveTime)
	defer cancel()
	if err := c.register(ctx, nil); err != nil {
		c.logger.Error(err, "host record not removed")
	}
	_ = c.socket.Close() // ends the receiver
	c.wait.Wait()
}
