package roster

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"chivepost/entry/internal/guard"
	"chivepost/platform/feed"
)

var (
	gossipSent = expvar.NewInt("gossip_sent_bytes")
	gossipBad  = expvar.NewInt("gossip_bad_datagrams_count")

	registrations = expvar.NewInt("host_registrations_count")
)

const (
	// gossipInterval is the time between two rounds of gossip.
	gossipInterval = 400 * time.Millisecond
	// gossipFanout is the number of hosts that receive a datagram in a round. With it a
	// heartbeat reaches 80 hosts in four rounds.
	gossipFanout = 3
	// silentHostRounds is the number of rounds between two attempts to reach a silent
	// host, so that the parts of a deployment reconnect after a network partition.
	silentHostRounds = 3
	// minProcessPause is the delay of a round from which on the process counts as having
	// been paused.
	minProcessPause = 1200 * time.Millisecond
	// minDiscoveryTime is two rounds of gossip, in which a host that has the list of hosts
	// receives the heartbeats of most. maxDiscoveryTime is how long it waits for the list.
	minDiscoveryTime = 900 * time.Millisecond
	maxDiscoveryTime = 2 * time.Second
	// storeTimeout limits a call to the store.
	storeTimeout = 1500 * time.Millisecond
	// listInterval and listRetryInterval are the times between two reads of the list of
	// hosts, after a success and after a failure.
	listInterval      = 15 * time.Second
	listRetryInterval = 700 * time.Millisecond
	// registerSpread is the time over which the hosts write their records again after a restore
	// of the store: with 370 hosts it takes 37 of the 1,200 writes a second that the store bears,
	// beside those of all targets, which write their entries again at the same time.
	registerSpread = 10 * time.Second
	// eraCheckInterval is how often a host checks whether the store was restored.
	eraCheckInterval = 500 * time.Millisecond
	// deregisterTimeout limits the removal of this host's record when it stops.
	deregisterTimeout = 500 * time.Millisecond
	// maxDatagramBytes is the size of the largest datagram accepted.
	maxDatagramBytes = 64 << 10
	// hostsPerDatagram is the maximum number of hosts in one datagram that answers a
	// request for hosts.
	hostsPerDatagram = 12
)

// Lister reads the list of hosts from the platform's store.
type Lister interface {
	Newest(ctx context.Context) ([]feed.HostChange, int64, error)
}

// RegisterFunc writes this host's record to the store. A nil value deletes the record.
type RegisterFunc func(ctx context.Context, value []byte) error

// Options configures a Controller.
type Options struct {
	Self  Host
	Seeds []string // gossip addresses to contact while hardly any other host is reachable
	// Era, unless nil, returns the highest era of the store that is known, or 0.
	Era func() feed.Era
}

// Controller keeps the roster up to date until Close. It is safe for concurrent use.
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

	handlers [256]atomic.Pointer[func(data []byte, from string)] // by kind of datagram

	mu          sync.Mutex
	hasReadList bool // the list of hosts has been read at least once
	state       *state
	loggedAlive map[string]bool // hosts that were alive when last logged
}

// New opens the datagram socket and starts the gossip. offset and load return the
// operator offset and the load that this host reports in its heartbeats.
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
		offset: offset, load: load, started: time.Now(), state: newState(opts.Self), loggedAlive: map[string]bool{},
	}
	c.wait.Go(func() { guard.Keep(ctx, logger, "gossip received", func() { c.receive(ctx) }) })
	c.wait.Go(func() { guard.Keep(ctx, logger, "gossip sent", func() { c.gossip(ctx) }) })
	c.wait.Go(func() { guard.Keep(ctx, logger, "host list", func() { c.syncStore(ctx, list) }) })
	return c, nil
}

// syncStore writes this host's record to the store and reads the list of hosts periodically.
// After a restore of the store it does both again: the copy may lack the record.
func (c *Controller) syncStore(ctx context.Context, list Lister) {
	value, err := cbor.Marshal(c.opts.Self)
	if err != nil {
		c.logger.Error(err, "failed to encode host record")
		return
	}
	registered, hasList := false, false
	var registerAt time.Time
	var era feed.Era // in which the record was written, or will be
	for ctx.Err() == nil {
		next := time.Now().Add(listInterval)
		if !registered && !time.Now().Before(registerAt) {
			call, cancel := context.WithTimeout(ctx, storeTimeout)
			call, writtenEra := feed.WithEra(call)
			err := c.register(call, value)
			cancel()
			if registered = err == nil; !registered {
				next = time.Now().Add(listRetryInterval)
				c.logger.Error(err, "failed to register host", "retry_in", listRetryInterval.String())
			} else {
				registrations.Add(1)
				if *writtenEra != 0 {
					era = *writtenEra
				}
			}
		}
		// Later, those that read the store for others keep up with the list. A host that
		// gossips with them learns of new hosts from them.
		if !hasList || c.readsStore() {
			call, cancel := context.WithTimeout(ctx, storeTimeout)
			changes, _, err := list.Newest(call)
			cancel()
			if err != nil {
				next = time.Now().Add(listRetryInterval)
			} else {
				c.applyList(changes)
				hasList = true
			}
		}
		if !registered && registerAt.After(time.Now()) && registerAt.Before(next) {
			next = registerAt
		}
		if known := c.awaitNewEra(ctx, next, era); known != era {
			if known.IsAfter(era) {
				registered, registerAt = false, time.Now().Add(rand.N(registerSpread))
				c.logger.Info("store restored from a copy, registering again", "era", known.Number(), "in", time.Until(registerAt).String())
			}
			era = known
		}
	}
}

// awaitNewEra waits until a time, or until the store is in a later era than the given one. It
// returns the latest era known.
func (c *Controller) awaitNewEra(ctx context.Context, until time.Time, era feed.Era) feed.Era {
	for ctx.Err() == nil && time.Now().Before(until) {
		select {
		case <-ctx.Done():
		case <-time.After(min(time.Until(until), eraCheckInterval)):
		}
		if c.opts.Era != nil && c.opts.Era() > era {
			return c.opts.Era()
		}
	}
	return era
}

func (c *Controller) readsStore() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.readsStore(time.Now())
}

// applyList applies the list of hosts read from the store.
func (c *Controller) applyList(changes []feed.HostChange) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasReadList = true
	for _, ch := range changes {
		if ch.Value == nil {
			c.state.markDeregistered(ch.Name)
			continue
		}
		var h Host
		if err := cbor.Unmarshal(ch.Value, &h); err != nil {
			c.logger.Error(err, "host record rejected", "host", ch.Name)
			continue
		}
		c.state.addHost(h, now)
	}
}

// gossip sends a datagram to some hosts in each round until ctx ends.
func (c *Controller) gossip(ctx context.Context) {
	last := time.Now()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(gossipInterval):
		}
		now := time.Now()
		datagrams := c.nextRound(round, now, now.Sub(last)-gossipInterval)
		last = now
		for _, d := range datagrams {
			c.send(d.message, d.to)
		}
	}
}

// nextRound returns the datagrams of a round. gap is how much later than due the round is.
func (c *Controller) nextRound(round int, now time.Time, gap time.Duration) []datagram {
	c.mu.Lock()
	defer c.mu.Unlock()
	if gap > minProcessPause {
		c.state.addPause(gap)
		c.logger.Info("process was paused", "gap", gap.String())
	}
	c.state.heartbeat.Offset = c.offset()
	c.state.heartbeat.Load = uint16(min(max(c.load(), 0), maxLoad))
	isSilentRound := round%silentHostRounds == 0
	datagrams := c.state.nextRound(gossipFanout, isSilentRound, now)
	recipients := 0
	for _, d := range datagrams {
		recipients += len(d.to)
	}
	if len(c.state.members) == 0 || isSilentRound && recipients <= 1 {
		datagrams = append(datagrams, datagram{c.state.messageTo(c.state.self.Region, now), c.opts.Seeds})
	}
	c.logChanges(now)
	return datagrams
}

// logChanges logs the hosts whose heartbeats have started or stopped, or that are
// leaving. c.mu must be held.
func (c *Controller) logChanges(now time.Time) {
	seen := map[string]bool{}
	for _, m := range c.state.alivePeers(now) {
		seen[m.host.Name] = true
		if !c.loggedAlive[m.host.Name] {
			c.logger.Info("host up", "host", m.host.Name, "incarnation", m.host.Incarnation)
		}
	}
	for name := range c.loggedAlive {
		if !seen[name] {
			m := c.state.members[hostID(name)]
			c.logger.Info("host down", "host", name, "silent_for", now.Sub(m.lastHeartbeat).String(), "is_leaving", m.heartbeat.IsLeaving)
		}
	}
	c.loggedAlive = seen
}

func (c *Controller) send(msg message, to []string) {
	data, err := cbor.Marshal(msg)
	if err != nil {
		c.logger.Error(err, "failed to encode gossip message")
		return
	}
	c.sendData(data, to)
}

func (c *Controller) sendData(data []byte, to []string) {
	for _, address := range to {
		a, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			gossipBad.Add(1)
			continue
		}
		if _, err := c.socket.WriteToUDP(data, a); err == nil {
			gossipSent.Add(int64(len(data)))
		} // Failing to send a datagram has the same effect as losing it.
	}
}

// receive handles datagrams until ctx ends.
func (c *Controller) receive(ctx context.Context) {
	buf := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, from, err := c.socket.ReadFromUDP(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		_ = guard.Run(c.logger, "datagram", func() { c.handle(buf[:n], from.String()) }) // Run logs the error
	}
}

// handle handles one datagram.
func (c *Controller) handle(data []byte, from string) {
	if len(data) > 0 {
		if handle := c.handlers[data[0]].Load(); handle != nil {
			(*handle)(data[1:], from)
			return
		}
	}
	var msg message
	if err := cbor.Unmarshal(data, &msg); err != nil {
		gossipBad.Add(1)
		return
	}
	self, hosts, unknown := c.merge(msg)
	if unknown {
		c.send(message{Self: self, WantsHosts: true}, []string{from})
	}
	for chunk := range slices.Chunk(hosts, hostsPerDatagram) {
		c.send(message{Self: self, Hosts: chunk}, []string{from})
	}
}

// merge takes over what a message says. It returns this host, the hosts that the sender wants
// and whether the message names unknown ones.
func (c *Controller) merge(msg message) (self Host, hosts []Host, unknown bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	unknown = c.state.merge(msg, now)
	if msg.WantsHosts {
		hosts = c.state.hosts(now)
	}
	return c.state.self, hosts, unknown
}

// Alive returns the other hosts that send heartbeats and aren't leaving, by name.
func (c *Controller) Alive() []Peer {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Peer
	for _, m := range c.state.alivePeers(now) {
		out = append(out, Peer{Host: m.host, Load: int(m.heartbeat.Load), Offset: m.heartbeat.Offset, IsAvoided: m.isAvoided(now)})
	}
	return out
}

// Peer is another host with the data of its last heartbeat.
type Peer struct {
	Host
	Load      int
	Offset    int64 // up to which it has read the operators' records
	IsAvoided bool  // it recently failed to answer a call
}

// Home returns the home of a region, or the home of all regions if region is empty.
// It returns false if this host is the home.
func (c *Controller) Home(region string) (Host, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.home(region, time.Now())
}

// StoreReader returns a host that reads the store for this one. It returns false if
// this host reads the store itself or if all its readers are avoided.
func (c *Controller) StoreReader() (Host, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.state.readers(time.Now())
	if len(list) == 0 {
		return Host{}, false
	}
	return list[int(c.state.heartbeat.ID)%len(list)], true
}

// Rank returns the rank of this host for a key among all hosts by rendezvous hashing.
// Rank 0 is the first.
func (c *Controller) Rank(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.rank(key, time.Now())
}

// HostCount returns the number of hosts among which limits are divided.
func (c *Controller) HostCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.hostCount(time.Now())
}

// Avoid records that a host didn't answer a call, so that it gets none for a while.
func (c *Controller) Avoid(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.state.members[hostID(name)]; m != nil {
		m.avoidUntil = time.Now().Add(avoidDuration)
	}
}

// Self returns this host.
func (c *Controller) Self() Host { return c.opts.Self }

// IsLeaving reports whether this host has announced that it leaves.
func (c *Controller) IsLeaving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.heartbeat.IsLeaving
}

// AnnounceLeave announces to all hosts that this one is leaving.
func (c *Controller) AnnounceLeave() {
	c.mu.Lock()
	msg := c.state.leaveMessage()
	to := c.state.recipients(len(c.state.members), time.Now())
	c.mu.Unlock()
	c.send(msg, to)
}

// IsDiscoveryDone reports whether this host has had enough time to discover the others.
func (c *Controller) IsDiscoveryDone() bool {
	since := time.Since(c.started)
	c.mu.Lock()
	defer c.mu.Unlock()
	return since > maxDiscoveryTime || c.hasReadList && since > minDiscoveryTime
}

// Name returns "roster".
func (c *Controller) Name() string { return "roster" }

// Close stops the gossip and removes this host's record from the store.
func (c *Controller) Close() {
	c.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	if err := c.register(ctx, nil); err != nil {
		c.logger.Error(err, "failed to remove host record")
	}
	_ = c.socket.Close() // Unblocks receive.
	c.wait.Wait()
}
