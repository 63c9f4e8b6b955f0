package roster

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

var start = time.Now()

func host(n int, region string) Host {
	return Host{Name: fmt.Sprintf("h%d", n), GossipAddress: fmt.Sprintf("10.0.0.%d:1", n), Region: region, Incarnation: int64(1000 + n), MilliCPU: 400}
}

// fleet simulates hosts in virtual time, with connections that can be cut. As in
// Controller.receive, a host that gets heartbeats of unknown hosts asks their sender for
// the host records.
type fleet struct {
	states map[string]*state
	down   map[string]bool
	cut    func(from, to string) bool
	now    time.Time

	outwardBytes              int // of datagrams to other regions
	selfBytes, heartbeatBytes int // of a message; zero: not yet known
}

func newFleet(n int) *fleet {
	f := &fleet{states: map[string]*state{}, down: map[string]bool{}, cut: func(string, string) bool { return false }, now: start}
	for i := range n {
		h := host(i, fmt.Sprintf("r%d", i%3))
		f.states[h.GossipAddress] = newState(h)
	}
	for _, s := range f.states {
		for _, o := range f.states {
			s.addHost(o.self, f.now)
		}
	}
	return f
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(gossipInterval) {
		round := int(f.now.Sub(start) / gossipInterval)
		for from, s := range f.states {
			if f.down[from] {
				continue
			}
			for _, d := range s.nextRound(gossipFanout, round%silentHostRounds == 0, f.now) {
				for _, to := range d.to {
					f.deliver(from, to, d.message)
				}
			}
		}
	}
}

func (f *fleet) deliver(from, to string, msg message) {
	s, o := f.states[from], f.states[to]
	if o == nil {
		return
	}
	if s.self.Region != o.self.Region {
		f.outwardBytes += f.size(msg)
	}
	if f.down[to] || f.cut(from, to) {
		return
	}
	if unknown := o.merge(msg, f.now); unknown && !f.cut(to, from) {
		s.merge(message{Self: o.self, WantsHosts: true}, f.now)
		o.merge(message{Self: s.self, Hosts: s.hosts(f.now)}, f.now)
	}
}

// size returns about the bytes of a message.
func (f *fleet) size(msg message) int {
	if f.heartbeatBytes == 0 {
		one, _ := cbor.Marshal(message{Self: msg.Self, Heartbeats: msg.Heartbeats[:1]})
		two, _ := cbor.Marshal(message{Self: msg.Self, Heartbeats: slices.Concat(msg.Heartbeats[:1], msg.Heartbeats[:1])})
		f.selfBytes, f.heartbeatBytes = 2*len(one)-len(two), len(two)-len(one)
	}
	return f.selfBytes + len(msg.Heartbeats)*f.heartbeatBytes
}

func (f *fleet) alivePeers(at string) int { return len(f.states[at].alivePeers(f.now)) }

func TestHostsDiscoverEachOther(t *testing.T) {
	for _, n := range []int{2, 9, 73} {
		f := newFleet(n)
		f.run(6 * time.Second)
		for at := range f.states {
			if got := f.alivePeers(at); got != n-1 {
				t.Errorf("%d hosts: %s has %d alive peers, want %d", n, at, got, n-1)
			}
		}
	}
}

// Hosts in regions of two dozen hosts receive each other's heartbeats in time although
// only one of three datagrams crosses regions and one of ten is lost.
func TestOneDatagramOfARoundLeavesALargeRegion(t *testing.T) {
	const hosts = 73
	f := newFleet(hosts)
	f.run(6 * time.Second)
	sent, otherRegions := 0, 0
	f.cut = func(from, to string) bool {
		sent++
		if f.states[from].self.Region != f.states[to].self.Region {
			otherRegions++
		}
		return sent%10 == 0 // Lose every tenth datagram.
	}
	for range 100 {
		f.run(gossipInterval)
		for at, s := range f.states {
			for _, m := range s.members {
				if silent := f.now.Sub(m.lastHeartbeat); silent >= deadAfter {
					t.Fatalf("%s has received no heartbeat of %s for %s", at, m.host.Name, silent)
				}
			}
		}
	}
	if most := sent/3 + hosts; otherRegions == 0 || otherRegions > most {
		t.Errorf("%d of %d datagrams go to other regions, want 1 to %d", otherRegions, sent, most)
	}
}

// With 295 hosts in three regions each datagram had all heartbeats and each host sent one to
// another region in each round, which was most of what went between regions on a quiet day.
// Hosts may spend 2 KB a second on control.
func TestGossipBetweenLargeRegionsIsBounded(t *testing.T) {
	const hosts, rounds, lostHost = 295, 15, "10.0.0.4:1"
	f := newFleet(hosts)
	f.run(10 * time.Second)
	f.outwardBytes = 0
	sent := 0
	f.cut = func(string, string) bool {
		sent++
		return sent%10 == 0 // Lose every tenth datagram.
	}
	for range rounds {
		f.run(gossipInterval)
		for at, s := range f.states {
			for _, m := range s.members {
				if silent := f.now.Sub(m.lastHeartbeat); silent >= deadAfter {
					t.Fatalf("%s has received no heartbeat of %s for %s", at, m.host.Name, silent)
				}
			}
		}
	}
	perSecond := float64(f.outwardBytes) / hosts / (rounds * gossipInterval.Seconds())
	if perSecond > 2048 {
		t.Errorf("a host sends %.0f bytes a second to other regions, want at most 2048", perSecond)
	}
	// A host that dies must be out of the directory within seven seconds, in all regions, and
	// attempts to reach it must not cost more than all the rest.
	f.down[lostHost] = true
	f.run(7 * time.Second)
	for at := range f.states {
		if got := f.alivePeers(at); at != lostHost && got != hosts-2 {
			t.Fatalf("%s has %d alive peers 7 s after one died, want %d", at, got, hosts-2)
		}
	}
	f.outwardBytes = 0
	for range rounds {
		f.run(gossipInterval)
	}
	if perSecond := float64(f.outwardBytes) / hosts / (rounds * gossipInterval.Seconds()); perSecond > 2048 {
		t.Errorf("with a dead host a host sends %.0f bytes a second to other regions, want at most 2048", perSecond)
	}
}

// A host that stops tells each other host. Each of these datagrams once had all heartbeats.
func TestMessageOfALeavingHostIsSmall(t *testing.T) {
	f := newFleet(73)
	f.run(6 * time.Second)
	s := f.states["10.0.0.3:1"]
	msg, to := s.leaveMessage(), s.recipients(len(s.members), f.now)
	if len(to) != 72 || len(msg.Heartbeats) != 1 {
		t.Errorf("%d heartbeats to %d hosts, want 1 to 72", len(msg.Heartbeats), len(to))
	}
	for _, address := range to {
		f.deliver(s.self.GossipAddress, address, msg)
	}
	for at := range f.states {
		if got := f.alivePeers(at); at != s.self.GossipAddress && got != 71 {
			t.Errorf("%s has %d alive peers, want 71", at, got)
		}
	}
}

// Regions that were parted find each other again although few hosts send to others.
func TestPartedLargeRegionsReconnect(t *testing.T) {
	const hosts = 90
	f := newFleet(hosts)
	f.run(6 * time.Second)
	f.cut = func(from, to string) bool { return f.states[from].self.Region != f.states[to].self.Region }
	f.run(20 * time.Second)
	for at := range f.states {
		if got := f.alivePeers(at); got != hosts/3-1 {
			t.Fatalf("with regions parted %s has %d alive peers, want %d", at, got, hosts/3-1)
		}
	}
	f.cut = func(string, string) bool { return false }
	f.run(6 * time.Second)
	for at := range f.states {
		if got := f.alivePeers(at); got != hosts-1 {
			t.Errorf("after the partition %s has %d alive peers, want %d", at, got, hosts-1)
		}
	}
}

// The directory has seven seconds to drop a dead host; the roster may use half of them.
func TestDeadHostIsRemovedInTime(t *testing.T) {
	f := newFleet(9)
	f.run(4 * time.Second)
	f.down["10.0.0.3:1"] = true
	f.run(deadAfter + 3*gossipInterval)
	for at := range f.states {
		if got := f.alivePeers(at); at != "10.0.0.3:1" && got != 7 {
			t.Errorf("%s has %d alive peers, want 7", at, got)
		}
	}
}

func TestPartitionedHostsReconnect(t *testing.T) {
	f := newFleet(9)
	f.run(4 * time.Second)
	side := func(a string) bool { return a < "10.0.0.3" }
	f.cut = func(from, to string) bool { return side(from) != side(to) }
	f.run(8 * time.Second)
	if got := f.alivePeers("10.0.0.0:1"); got != 2 {
		t.Errorf("during the partition a host of the smaller part has %d alive peers, want 2", got)
	}
	f.cut = func(string, string) bool { return false }
	f.run(6 * time.Second)
	for at := range f.states {
		if got := f.alivePeers(at); got != 8 {
			t.Errorf("after the partition %s has %d alive peers, want 8", at, got)
		}
	}
}

func TestHomeIsTheSameForAllAndChangesOnlyWhenItMust(t *testing.T) {
	f := newFleet(9)
	f.run(4 * time.Second)
	home := func(at, region string) string {
		h, other := f.states[at].home(region, f.now)
		if !other && at != h.GossipAddress {
			t.Errorf("%s reports itself as home, but the home is %s", at, h.Name)
		}
		return h.Name
	}
	for at := range f.states {
		if got := home(at, ""); got != "h0" {
			t.Errorf("home at %s: %s, want h0, which has run for longest", at, got)
		}
		if got := home(at, "r1"); got != "h1" {
			t.Errorf("home of r1 at %s: %s, want h1", at, got)
		}
	}
	restarted := host(0, "r0")
	restarted.Incarnation = 9000
	f.states[restarted.GossipAddress] = newState(restarted)
	for _, o := range f.states {
		f.states[restarted.GossipAddress].addHost(o.self, f.now)
	}
	f.run(3 * time.Second)
	for at := range f.states {
		if got := home(at, ""); got != "h1" {
			t.Errorf("home at %s after h0 restarted: %s, want h1", at, got)
		}
	}
}

func TestHomeExcludesAvoidedWeakAndLeavingHosts(t *testing.T) {
	f := newFleet(9)
	f.run(4 * time.Second)
	s := f.states["10.0.0.8:1"]
	s.members[hostID("h0")].avoidUntil = f.now.Add(time.Second)
	s.members[hostID("h1")].host.MilliCPU = 100
	s.members[hostID("h2")].heartbeat.IsLeaving = true
	if h, _ := s.home("", f.now); h.Name != "h3" {
		t.Errorf("home %s, want h3", h.Name)
	}
}

// Limits are divided among all hosts that may be running, including silent ones.
func TestHostCountIncludesRecentlySilentHosts(t *testing.T) {
	f := newFleet(9)
	f.run(4 * time.Second)
	s := f.states["10.0.0.0:1"]
	if got := s.hostCount(f.now.Add(20 * time.Second)); got != 9 {
		t.Errorf("20 s after all others fell silent: %d hosts, want 9", got)
	}
	if got := s.hostCount(f.now.Add(countSilentFor + 10*time.Second)); got != 1 {
		t.Errorf("long after all others fell silent: %d hosts, want 1", got)
	}
}

func TestProcessPauseDoesNotMakeOthersSilent(t *testing.T) {
	f := newFleet(3)
	f.run(4 * time.Second)
	s := f.states["10.0.0.0:1"]
	s.addPause(10 * time.Second)
	if got := len(s.alivePeers(f.now.Add(10 * time.Second))); got != 2 {
		t.Errorf("after a pause of 10 s a host has %d alive peers, want 2", got)
	}
}

func FuzzMessage(f *testing.F) {
	s := newState(host(0, "r"))
	good, _ := cbor.Marshal(s.messageTo("r", start))
	f.Add(good)
	f.Add([]byte{0x84, 0x01})
	f.Fuzz(func(_ *testing.T, data []byte) {
		var msg message
		if cbor.Unmarshal(data, &msg) == nil {
			newState(host(1, "r")).merge(msg, start)
		}
	})
}

// A home whose process is frozen doesn't answer calls. It must get no further calls
// until it sends heartbeats again, although it is not yet silent for long enough to
// count as dead.
func TestFrozenHomeIsNotAskedAgain(t *testing.T) {
	f := newFleet(9)
	f.run(4 * time.Second)
	s := f.states["10.0.0.8:1"]
	f.down["10.0.0.0:1"] = true
	f.run(gossipInterval)
	s.members[hostID("h0")].avoidUntil = f.now.Add(avoidDuration)
	f.run(avoidDuration + gossipInterval)
	if h, _ := s.home("", f.now); h.Name != "h1" {
		t.Errorf("home %s while h0 is frozen, want h1", h.Name)
	}
	f.down["10.0.0.0:1"] = false
	f.run(2 * time.Second)
	if h, _ := s.home("", f.now); h.Name != "h0" {
		t.Errorf("home %s after h0 runs again, want h0", h.Name)
	}
}
