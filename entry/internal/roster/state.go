// Package roster keeps an entry host's view of the other entry hosts: who is
// there, who is heard, who is leaving, and which host is home of what. Hosts
// write themselves into the platform's store once and gossip from then on.
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
	// deadAfter is the silence after which a host is taken for dead: nine rounds of
	// gossip, and half of what the directory allows.
	deadAfter = 3500 * time.Millisecond
	// countFor is how long a silent host still counts where limits are shared out.
	countFor = 45 * time.Second
	// avoidFor is how long a peer that didn't answer a call gets no further ones.
	avoidFor = 2 * time.Second
	// freshAfter is how long beats may be on their way through other hosts.
	freshAfter = 1200 * time.Millisecond
	// largeRegion is the number of other hosts in a region from which on one datagram
	// of a round goes to another region: enough hosts send one for all to hear in time.
	largeRegion = 8
	// maxLoad bounds the load that a host tells.
	maxLoad = 1 << 15
)

// Host is what an entry host says of itself once.
type Host struct {
	_             struct{} `cbor:",toarray"`
	Name          string
	Address       string // address for callers
	PeerAddress   string // address for calls of other hosts
	GossipAddress string // address for datagrams
	DataCentre    string
	Region        string
	Incarnation   int64 // grows with each start of the process
	MilliCPU      int   // processor share, thousandths of a core
}

// beat is what is told of a host in each round.
type beat struct {
	_           struct{} `cbor:",toarray"`
	ID          uint32
	Incarnation int64
	Count       uint32
	IsLeaving   bool
	Offset      int64 // up to which it knows operators' records
	Load        uint16
}

// message is one datagram.
type message struct {
	_     struct{} `cbor:",toarray"`
	Self  Host
	Beats []beat
	Hosts []Host // for a receiver that asked
	Wants bool   // the sender heard of hosts that it doesn't know
}

type member struct {
	host   Host
	beat   beat
	heard  time.Time // when the count last grew; zero: never
	avoid  time.Time // until when calls go elsewhere
	isGone bool      // it has taken itself out of the store
}

// idOf returns the short name of a host in beats.
func idOf(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // a hash doesn't fail
	return h.Sum32()
}

// state is the part of the roster that needs no network.
type state struct {
	self    Host
	members map[uint32]*member // without self
	beat    beat               // of self
}

func newState(self Host) *state {
	return &state{self: self, members: map[uint32]*member{}, beat: beat{ID: idOf(self.Name), Incarnation: self.Incarnation}}
}

// know adds a host or a new incarnation of one.
func (s *state) know(h Host, now time.Time) {
	id := idOf(h.Name)
	if h.Name == s.self.Name || h.Name == "" {
		return
	}
	m := s.members[id]
	if m == nil {
		s.members[id] = &member{host: h}
		return
	}
	if h.Incarnation > m.host.Incarnation || h.Incarnation != m.host.Incarnation && !m.isHeard(now) {
		s.members[id] = &member{host: h}
	}
}

// leave notes that a host has taken itself out of the store.
func (s *state) leave(name string) {
	if m := s.members[idOf(name)]; m != nil {
		m.isGone = true
	}
}

func (m *member) isHeard(now time.Time) bool {
	return !m.heard.IsZero() && now.Sub(m.heard) < deadAfter
}

// isAvoided reports whether a host that didn't answer a call gets no further ones:
// for a while, and then until news of it are younger than the call. Beats that were
// on their way as it fell silent come within freshAfter.
func (m *member) isAvoided(now time.Time) bool {
	if m.avoid.IsZero() {
		return false
	}
	return now.Before(m.avoid) || m.heard.Before(m.avoid.Add(freshAfter-avoidFor))
}

func (m *member) isAlive(now time.Time) bool { return m.isHeard(now) && !m.beat.IsLeaving }

// take merges a datagram and reports whether it speaks of unknown hosts.
func (s *state) take(msg message, now time.Time) (unknown bool) {
	s.know(msg.Self, now)
	for _, h := range msg.Hosts {
		s.know(h, now)
	}
	for _, b := range msg.Beats {
		if b.ID == s.beat.ID {
			continue
		}
		m := s.members[b.ID]
		if m == nil {
			unknown = true
			continue
		}
		if b.Incarnation != m.host.Incarnation {
			// Beats of another incarnation count once its host is known.
			unknown = unknown || b.Incarnation > m.host.Incarnation
			continue
		}
		if b.Count > m.beat.Count {
			m.beat, m.heard = b, now
		}
	}
	return unknown
}

// next returns the datagram of the next round.
func (s *state) next(now time.Time) message {
	s.beat.Count++
	msg := message{Self: s.self, Beats: []beat{s.beat}}
	for _, m := range s.members {
		if m.isHeard(now) {
			msg.Beats = append(msg.Beats, m.beat)
		}
	}
	return msg
}

// partners returns up to n heard hosts at random, and a silent one if asked for.
// In large regions all but one are of the own one: links between regions are billed.
func (s *state) partners(n int, silent bool, now time.Time) []string {
	var near, far, quiet []string
	for _, m := range s.members {
		switch {
		case !m.isHeard(now) && !m.isGone:
			quiet = append(quiet, m.host.GossipAddress)
		case !m.isHeard(now):
		case m.host.Region == s.self.Region:
			near = append(near, m.host.GossipAddress)
		default:
			far = append(far, m.host.GossipAddress)
		}
	}
	shuffle(near)
	shuffle(far)
	var out []string
	if len(near) >= largeRegion && n < len(near) {
		out = near[:n-1]
		out = append(out, far[:min(1, len(far))]...)
	} else {
		out = slices.Concat(near, far)
		shuffle(out)
		out = out[:min(n, len(out))]
	}
	if (silent || len(out) == 0) && len(quiet) > 0 {
		out = append(out, quiet[rand.IntN(len(quiet))])
	}
	return out
}

func shuffle(list []string) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// thaw moves what was heard on by the time for which this process didn't run.
func (s *state) thaw(gap time.Duration) {
	for _, m := range s.members {
		if !m.heard.IsZero() {
			m.heard = m.heard.Add(gap)
		}
	}
}

// hosts returns all hosts known, for a peer that asks.
func (s *state) hosts(now time.Time) []Host {
	out := []Host{s.self}
	for _, m := range s.members {
		if m.isHeard(now) {
			out = append(out, m.host)
		}
	}
	return out
}

// alive returns the hosts that are heard and not leaving, by name, without self.
func (s *state) alive(now time.Time) []*member {
	var out []*member
	for _, m := range s.members {
		if m.isAlive(now) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *member) int { return strings.Compare(a.host.Name, b.host.Name) })
	return out
}

// count returns how many hosts share limits: this one, those heard of late and
// those that are registered and were never heard, which may be cut off.
func (s *state) count(now time.Time) int {
	n := 1
	for _, m := range s.members {
		if m.isGone && !m.isHeard(now) {
			continue
		}
		if m.heard.IsZero() || now.Sub(m.heard) < countFor {
			n++
		}
	}
	return n
}

// score ranks hosts for a key: the highest is its home.
func score(key, host string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key)) // a hash doesn't fail
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(host))
	x := h.Sum64()
	// The low bits of a short FNV hash vary little; mix them.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// strongPart is the part of the strongest host's processor share that a host must
// have to be a home: homes do work for all others.
const strongPart = 0.75

// home returns the home of a region: the host that has run for longest among those
// of the region that are alive, not to be avoided and strong; ok is false if it is
// this host. A host that has started again doesn't take work back, so the home
// changes only when it must. Without hosts in the region, and for no region, all
// are candidates.
func (s *state) home(region string, now time.Time) (Host, bool) {
	var fit []Host
	for _, m := range s.members {
		if m.isAlive(now) && !m.isAvoided(now) {
			fit = append(fit, m.host)
		}
	}
	if !s.beat.IsLeaving || len(fit) == 0 {
		fit = append(fit, s.self)
	}
	if near := slices.DeleteFunc(slices.Clone(fit), func(h Host) bool { return h.Region != region }); len(near) > 0 {
		fit = near
	}
	strongest := 0
	for _, h := range fit {
		strongest = max(strongest, h.MilliCPU)
	}
	fit = slices.DeleteFunc(fit, func(h Host) bool { return float64(h.MilliCPU) < strongPart*float64(strongest) })
	best := slices.MinFunc(fit, func(a, b Host) int {
		return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), strings.Compare(a.Name, b.Name))
	})
	return best, best.Name != s.self.Name
}

const (
	// readersPerRegion is how many hosts of a region read the platform's store for
	// the others: one may be lost and another slow.
	readersPerRegion = 3
	// readersFrom is the number of hosts in a region from which on only some read.
	readersFrom = 7
)

// readers returns the hosts that read the store for this one; none if it reads
// for itself.
func (s *state) readers(now time.Time) []Host {
	near := []Host{s.self}
	for _, m := range s.members {
		if m.isAlive(now) && m.host.Region == s.self.Region {
			near = append(near, m.host)
		}
	}
	if len(near) < readersFrom {
		return nil
	}
	slices.SortFunc(near, func(a, b Host) int {
		return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), strings.Compare(a.Name, b.Name))
	})
	near = near[:readersPerRegion]
	if slices.ContainsFunc(near, func(h Host) bool { return h.Name == s.self.Name }) {
		return nil
	}
	return slices.DeleteFunc(near, func(h Host) bool {
		m := s.members[idOf(h.Name)]
		return m != nil && m.isAvoided(now)
	})
}

// rank returns the place of this host for a key among all hosts that count; 0
// is the first.
func (s *state) rank(key string, now time.Time) int {
	own, n := score(key, s.self.Name), 0
	for _, m := range s.members {
		if m.isGone && !m.isHeard(now) || !m.heard.IsZero() && now.Sub(m.heard) >= deadAfter {
			continue
		}
		if score(key, m.host.Name) > own {
			n++
		}
	}
	return n
}
