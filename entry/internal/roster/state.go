// Package roster maintains an entry host's view of the other entry hosts: which hosts
// exist, which send heartbeats, which are leaving, and which host is the home of a
// region. Hosts register once in the platform's store and exchange heartbeats by gossip
// from then on.
package roster

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// deadAfter is the time without a heartbeat after which a host counts as dead: nine
	// rounds of gossip, and half of the time that the directory allows.
	deadAfter = 3500 * time.Millisecond
	// countSilentFor is how long a silent host still counts when limits are divided.
	countSilentFor = 45 * time.Second
	// avoidDuration is how long a peer that didn't answer a call gets no further ones.
	avoidDuration = 2 * time.Second
	// maxRelayDelay is the longest time that other hosts take to relay a heartbeat.
	maxRelayDelay = 1200 * time.Millisecond
	// largeRegionHosts is the number of other hosts in a region from which on few of them
	// send to other regions in a round.
	largeRegionHosts = 8
	// outwardSenders is how many hosts of a large region send one in a round, on average. The
	// hosts of the other regions pass on what they get, so all heartbeats still arrive in time.
	outwardSenders = 16
	// maxLoad is the highest load that a host reports.
	maxLoad = 1 << 15
)

// Host is the record of an entry host. It doesn't change while the process runs.
type Host struct {
	_             struct{} `cbor:",toarray"`
	Name          string
	Address       string // for callers
	PeerAddress   string // for calls of other hosts
	GossipAddress string // for datagrams
	DataCentre    string
	Region        string
	Incarnation   int64 // increases with each start of the process
	MilliCPU      int   // CPU share in thousandths of a core
}

// ID identifies the host in heartbeats.
func (h Host) ID() uint32 { return hostID(h.Name) }

// heartbeat is the state of a host that is gossiped in each round.
type heartbeat struct {
	_           struct{} `cbor:",toarray"`
	ID          uint32
	Incarnation int64
	Count       uint32
	IsLeaving   bool
	Offset      int64 // up to which it has read the operators' records
	Load        uint16
}

// message is one datagram.
type message struct {
	_          struct{} `cbor:",toarray"`
	Self       Host
	Heartbeats []heartbeat
	Hosts      []Host // answer to WantsHosts
	WantsHosts bool   // the sender received heartbeats of unknown hosts
}

// member is another host with its last heartbeat and the outcome of recent calls.
type member struct {
	host           Host
	heartbeat      heartbeat
	lastHeartbeat  time.Time // when heartbeat.Count last increased; zero if never
	avoidUntil     time.Time // no calls are made until then; zero if never avoided
	isDeregistered bool      // it has removed its record from the store
}

// hostID returns the id that identifies a host in heartbeats.
func hostID(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // hash.Hash never returns an error
	return h.Sum32()
}

// state is the roster without its network and store access. It is not safe for
// concurrent use.
type state struct {
	self      Host
	members   map[uint32]*member // without self
	heartbeat heartbeat          // of self
}

func newState(self Host) *state {
	return &state{self: self, members: map[uint32]*member{}, heartbeat: heartbeat{ID: hostID(self.Name), Incarnation: self.Incarnation}}
}

// addHost adds a host, or replaces it if h is a new incarnation.
func (s *state) addHost(h Host, now time.Time) {
	id := hostID(h.Name)
	if h.Name == s.self.Name || h.Name == "" {
		return
	}
	m := s.members[id]
	if m == nil {
		s.members[id] = &member{host: h}
		return
	}
	if h.Incarnation > m.host.Incarnation || h.Incarnation != m.host.Incarnation && !m.hasRecentHeartbeat(now) {
		s.members[id] = &member{host: h}
	}
}

// markDeregistered records that a host has removed its record from the store.
func (s *state) markDeregistered(name string) {
	if m := s.members[hostID(name)]; m != nil {
		m.isDeregistered = true
	}
}

// hasRecentHeartbeat reports whether the host's last heartbeat is recent enough for the
// host to count as running.
func (m *member) hasRecentHeartbeat(now time.Time) bool {
	return !m.lastHeartbeat.IsZero() && now.Sub(m.lastHeartbeat) < deadAfter
}

// isAvoided reports whether a host that didn't answer a call gets no further ones. It
// is avoided for avoidDuration, and then until a heartbeat arrives that it must have
// sent after the call. Heartbeats that were being relayed when it fell silent arrive
// within maxRelayDelay.
func (m *member) isAvoided(now time.Time) bool {
	if m.avoidUntil.IsZero() {
		return false
	}
	return now.Before(m.avoidUntil) || m.lastHeartbeat.Before(m.avoidUntil.Add(maxRelayDelay-avoidDuration))
}

func (m *member) isAlive(now time.Time) bool {
	return m.hasRecentHeartbeat(now) && !m.heartbeat.IsLeaving
}

// merge applies a datagram and reports whether it has heartbeats of unknown hosts.
func (s *state) merge(msg message, now time.Time) (unknown bool) {
	s.addHost(msg.Self, now)
	for _, h := range msg.Hosts {
		s.addHost(h, now)
	}
	for _, hb := range msg.Heartbeats {
		if hb.ID == s.heartbeat.ID {
			continue
		}
		m := s.members[hb.ID]
		if m == nil {
			unknown = true
			continue
		}
		if hb.Incarnation != m.host.Incarnation {
			// A heartbeat of a new incarnation is ignored until its host record is known.
			unknown = unknown || hb.Incarnation > m.host.Incarnation
			continue
		}
		if hb.Count > m.heartbeat.Count {
			m.heartbeat, m.lastHeartbeat = hb, now
		}
	}
	return unknown
}

// datagram is a message with the gossip addresses that get it.
type datagram struct {
	message message
	to      []string
}

// nextRound counts this host's heartbeat up and returns the datagrams of the next round: to n
// random hosts that send heartbeats, and to a silent one if requested. In a large region they
// are of this region, and few hosts send a further one to another, because traffic between
// regions is billed and a datagram has nearly all heartbeats. The same few try silent hosts.
func (s *state) nextRound(n int, silent bool, now time.Time) []datagram {
	s.heartbeat.Count++
	sameRegion, otherRegions, silentHosts := s.reachable(now)
	isLarge := len(sameRegion) >= largeRegionHosts && n < len(sameRegion)
	sendsOutward := !isLarge || rand.IntN(len(sameRegion)+1) < outwardSenders
	var chosen []*member
	if isLarge {
		chosen = sameRegion[:n]
		if sendsOutward {
			chosen = slices.Concat(chosen, otherRegions[:min(1, len(otherRegions))])
		}
	} else {
		chosen = slices.Concat(sameRegion, otherRegions)
		shuffle(chosen)
		chosen = chosen[:min(n, len(chosen))]
	}
	if (silent && sendsOutward || len(chosen) == 0) && len(silentHosts) > 0 {
		chosen = append(chosen, silentHosts[rand.IntN(len(silentHosts))])
	}
	byRegion := map[string][]string{}
	for _, m := range chosen {
		byRegion[m.host.Region] = append(byRegion[m.host.Region], m.host.GossipAddress)
	}
	out := make([]datagram, 0, len(byRegion))
	for region, to := range byRegion {
		out = append(out, datagram{s.messageTo(region, now), to})
	}
	return out
}

// messageTo returns the message for hosts of a region. Those of another large region know the
// heartbeats of their own from each other.
func (s *state) messageTo(region string, now time.Time) message {
	msg := message{Self: s.self, Heartbeats: []heartbeat{s.heartbeat}}
	var theirs []heartbeat
	for _, m := range s.members {
		switch {
		case !m.hasRecentHeartbeat(now):
		case m.host.Region == region && region != s.self.Region:
			theirs = append(theirs, m.heartbeat)
		default:
			msg.Heartbeats = append(msg.Heartbeats, m.heartbeat)
		}
	}
	if len(theirs) <= largeRegionHosts {
		msg.Heartbeats = append(msg.Heartbeats, theirs...)
	}
	return msg
}

// leaveMessage counts this host's heartbeat up and returns the message that says that it
// leaves.
func (s *state) leaveMessage() message {
	s.heartbeat.IsLeaving = true
	s.heartbeat.Count++
	return message{Self: s.self, Heartbeats: []heartbeat{s.heartbeat}}
}

// reachable returns the other hosts, in random order: those that send heartbeats, by region,
// and silent ones that are registered.
func (s *state) reachable(now time.Time) (sameRegion, otherRegions, silent []*member) {
	for _, m := range s.members {
		switch {
		case !m.hasRecentHeartbeat(now) && !m.isDeregistered:
			silent = append(silent, m)
		case !m.hasRecentHeartbeat(now):
		case m.host.Region == s.self.Region:
			sameRegion = append(sameRegion, m)
		default:
			otherRegions = append(otherRegions, m)
		}
	}
	shuffle(sameRegion)
	shuffle(otherRegions)
	return sameRegion, otherRegions, silent
}

// recipients returns the gossip addresses of up to n random hosts that send heartbeats. In a
// large region all but one of them are of this region.
func (s *state) recipients(n int, now time.Time) []string {
	sameRegion, otherRegions, silent := s.reachable(now)
	chosen := slices.Concat(sameRegion, otherRegions)
	if len(sameRegion) >= largeRegionHosts && n < len(sameRegion) {
		chosen = slices.Concat(sameRegion[:n-1], otherRegions[:min(1, len(otherRegions))])
	} else {
		shuffle(chosen)
		chosen = chosen[:min(n, len(chosen))]
	}
	if len(chosen) == 0 && len(silent) > 0 {
		chosen = silent[:1]
	}
	return addresses(chosen)
}

func addresses(members []*member) []string {
	out := make([]string, 0, len(members))
	for _, m := range members {
		out = append(out, m.host.GossipAddress)
	}
	return out
}

func shuffle(list []*member) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// addPause adds the time for which this process didn't run to lastHeartbeat of all hosts,
// so that none of them counts as silent because of it.
func (s *state) addPause(gap time.Duration) {
	for _, m := range s.members {
		if !m.lastHeartbeat.IsZero() {
			m.lastHeartbeat = m.lastHeartbeat.Add(gap)
		}
	}
}

// hosts returns this host and those that send heartbeats, to answer WantsHosts.
func (s *state) hosts(now time.Time) []Host {
	out := []Host{s.self}
	for _, m := range s.members {
		if m.hasRecentHeartbeat(now) {
			out = append(out, m.host)
		}
	}
	return out
}

// alivePeers returns the other hosts that send heartbeats and aren't leaving, sorted by
// name.
func (s *state) alivePeers(now time.Time) []*member {
	var out []*member
	for _, m := range s.members {
		if m.isAlive(now) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *member) int { return strings.Compare(a.host.Name, b.host.Name) })
	return out
}

// hostCount returns the number of hosts among which limits are divided: this host,
// those that recently sent heartbeats, and those that are registered but never sent
// one, since they may be running behind a network partition.
func (s *state) hostCount(now time.Time) int {
	n := 1
	for _, m := range s.members {
		if m.isDeregistered && !m.hasRecentHeartbeat(now) {
			continue
		}
		if m.lastHeartbeat.IsZero() || now.Sub(m.lastHeartbeat) < countSilentFor {
			n++
		}
	}
	return n
}

// rendezvousScore returns the score of a host for a key. Hosts are ranked by score,
// the highest first.
func rendezvousScore(key, host string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key)) // hash.Hash never returns an error
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(host))
	x := h.Sum64()
	// The low bits of the FNV hash of short input vary little, so mix the bits.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// minHomeCPURatio is the minimum CPU share of a home relative to the host with the
// largest share, since a home does work for all other hosts.
const minHomeCPURatio = 0.75

// home returns the home of a region: the longest-running host of the region among
// those that are alive, not avoided and have enough CPU. It returns false if this host
// is the home. A restarted host doesn't become home again, so the home changes only
// when it must. If the region is empty or has no candidates, all hosts are candidates.
func (s *state) home(region string, now time.Time) (Host, bool) {
	var candidates []Host
	for _, m := range s.members {
		if m.isAlive(now) && !m.isAvoided(now) {
			candidates = append(candidates, m.host)
		}
	}
	if !s.heartbeat.IsLeaving || len(candidates) == 0 {
		candidates = append(candidates, s.self)
	}
	if sameRegion := slices.DeleteFunc(slices.Clone(candidates), func(h Host) bool { return h.Region != region }); len(sameRegion) > 0 {
		candidates = sameRegion
	}
	strongest := 0
	for _, h := range candidates {
		strongest = max(strongest, h.MilliCPU)
	}
	candidates = slices.DeleteFunc(candidates, func(h Host) bool { return float64(h.MilliCPU) < minHomeCPURatio*float64(strongest) })
	best := slices.MinFunc(candidates, func(a, b Host) int {
		return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), strings.Compare(a.Name, b.Name))
	})
	return best, best.Name != s.self.Name
}

const (
	// readersPerRegion is the number of hosts in a region that read the platform's store
	// for the others. One of them may fail and another be slow. In a region with fewer than
	// hostsForAllReaders hosts there is one less: the few others read for themselves if both
	// fail.
	readersPerRegion   = 3
	hostsForAllReaders = 12
	// minHostsForReaders is the number of hosts in a region from which on only some of
	// them read the store.
	minHostsForReaders = 4
)

// readers returns the hosts that read the store for this one, except those that are
// avoided. It returns none if this host reads the store itself.
func (s *state) readers(now time.Time) []Host {
	sameRegion := []Host{s.self}
	for _, m := range s.members {
		if m.isAlive(now) && m.host.Region == s.self.Region {
			sameRegion = append(sameRegion, m.host)
		}
	}
	if len(sameRegion) < minHostsForReaders {
		return nil
	}
	slices.SortFunc(sameRegion, func(a, b Host) int {
		return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), strings.Compare(a.Name, b.Name))
	})
	n := readersPerRegion
	if len(sameRegion) < hostsForAllReaders {
		n--
	}
	sameRegion = sameRegion[:n]
	if slices.ContainsFunc(sameRegion, func(h Host) bool { return h.Name == s.self.Name }) {
		return nil
	}
	return slices.DeleteFunc(sameRegion, func(h Host) bool {
		m := s.members[hostID(h.Name)]
		return m != nil && m.isAvoided(now)
	})
}

// readsStore reports whether this host reads the store itself.
func (s *state) readsStore(now time.Time) bool { return len(s.readers(now)) == 0 }

// rank returns the number of other hosts with a higher score for the key. Dead hosts
// don't count; hosts that never sent a heartbeat do.
func (s *state) rank(key string, now time.Time) int {
	own, n := rendezvousScore(key, s.self.Name), 0
	for _, m := range s.members {
		if m.isDeregistered && !m.hasRecentHeartbeat(now) || !m.lastHeartbeat.IsZero() && now.Sub(m.lastHeartbeat) >= deadAfter {
			continue
		}
		if rendezvousScore(key, m.host.Name) > own {
			n++
		}
	}
	return n
}
