package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

var start = time.Now()

func host(n int, region string) Host {
	return Host{Name: fmt.Sprintf("h%d", n), GossipAddress: fmt.Sprintf("10.0.0.%d:1", n), Region: region, Incarnation: int64(1000 + n), MilliCPU: 400}
}

// fleet is hosts in virtual time, with links that can be cut.
type fleet struct {
	states map[string]*state
	down   map[string]bool
	cut    func(from, to string) bool
	now    time.Time
}

func newFleet(n int) *fleet {
	f := &fleet{states: map[string]*state{}, down: map[string]bool{}, cut: func(string, string) bool { return false }, now: start}
	for i := range n {
		h := host(i, fmt.Sprintf("r%d", i%3))
		f.states[h.GossipAddress] = newState(h)
	}
	for _, s := range f.states {
		for _, o := range f.states {
			s.know(o.self, f.now)
		}
	}
	return f
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(roundEvery) {
		round := int(f.now.Sub(start) / roundEvery)
		for from, s := range f.states {
			if f.down[from] {
				continue
			}
			msg := s.next(f.now)
			for _, to := range s.partners(fanOut, round%silentEach == 0, f.now) {
				if o := f.states[to]; o != nil && !f.down[to] && !f.cut(from, to) {
					o.take(msg, f.now)
				}
			}
		}
	}
}

func (f *fleet) alive(at string) int { return len(f.states[at].alive(f.now)) }

func TestHostsHearOfEachOther(t *testing.T) {
	for _, n := range []int{2, 9, 73} {
		f := newFleet(n)
		f.run(6 * time.Second)
		for at := range f.states {
			if got := f.alive(at); got != n-1 {
				t.Errorf("%d hosts: %s hears %d others, want %d", n, at, got, n-1)
			}
		}
	}
}

// Regions of two dozen hosts hear of each other in time although only one of three
// datagrams goes between them, and one of ten is lost.
func TestOneDatagramOfARoundLeavesALargeRegion(t *testing.T) {
	const hosts = 73
	f := newFleet(hosts)
	f.run(6 * time.Second)
	sent, far := 0, 0
	f.cut = func(from, to string) bool {
		sent++
		if f.states[from].self.Region != f.states[to].self.Region {
			far++
		}
		return sent%10 == 0 // lost
	}
	for range 100 {
		f.run(roundEvery)
		for at, s := range f.states {
			for _, m := range s.members {
				if silent := f.now.Sub(m.heard); silent >= deadAfter {
					t.Fatalf("%s has not heard %s for %s", at, m.host.Name, silent)
				}
			}
		}
	}
	if most := sent/3 + hosts; far == 0 || far > most {
		t.Errorf("%d of %d datagrams go to other regions, want 1 to %d", far, sent, most)
	}
}

// A host that dies is out within half of the seven seconds that the directory has.
func TestDeadHostIsOutInTime(t *testing.T) {
	f := newFleet(9)
	f.run(4 * time.Second)
	f.down["10.0.0.3:1"] = true
	f.run(deadAfter + 3*roundEvery)
	for at := range f.states {
		if got := f.alive(at); at != "10.0.0.3:1" && got != 7 {
			t.Errorf("%s hears %d others, want 7", at, got)
		}
	}
}

func TestPartsOfAFleetFindEachOtherAfterACut(t *testing.T) {
	f := newFleet(9)
	f.run(4 * time.Second)
	side := func(a string) bool { return a < "10.0.0.3" }
	f.cut = func(from, to string) bool { return side(from) != side(to) }
	f.run(8 * time.Second)
	if got := f.alive("10.0.0.0:1"); got != 2 {
		t.Errorf("during the cut the small part hears %d others, want 2", got)
	}
	f.cut = func(string, string) bool { return false }
	f.run(6 * time.Second)
	for at := range f.states {
		if got := f.alive(at); got != 8 {
			t.Errorf("%s hears %d others after the cut, want 8", at, got)
		}
	}
}

func TestHomeIsTheSameForAllAndChangesOnlyWhenItMust(t *testing.T) {
	f := newFleet(9)
	f.run(4 * time.Second)
	home := func(at, region string) string {
		h, other := f.states[at].home(region, f.now)
		if !other && at != h.GossipAddress {
			t.Errorf("%s takes %s for itself", at, h.Name)
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
	again := host(0, "r0")
	again.Incarnation = 9000
	f.states[again.GossipAddress] = newState(again)
	for _, o := range f.states {
		f.states[again.GossipAddress].know(o.self, f.now)
	}
	f.run(3 * time.Second)
	for at := range f.states {
		if got := home(at, ""); got != "h1" {
			t.Errorf("home at %s after h0 has started again: %s, want h1", at, got)
		}
	}
}

func TestHomeLeavesOutWeakLeavingAndSilentHosts(t *testing.T) {
	f := newFleet(9)
	f.run(4 * time.Second)
	s := f.states["10.0.0.8:1"]
	s.members[idOf("h0")].avoid = f.now.Add(time.Second)
	s.members[idOf("h1")].host.MilliCPU = 100
	s.members[idOf("h2")].beat.IsLeaving = true
	if h, _ := s.home("", f.now); h.Name != "h3" {
		t.Errorf("home %s, want h3", h.Name)
	}
}

// Limits are shared among hosts that may be there, heard or not.
func TestCountKeepsSilentHostsForAWhile(t *testing.T) {
	f := newFleet(9)
	f.run(4 * time.Second)
	s := f.states["10.0.0.0:1"]
	if got := s.count(f.now.Add(20 * time.Second)); got != 9 {
		t.Errorf("20 s after all fell silent: %d hosts, want 9", got)
	}
	if got := s.count(f.now.Add(countFor + 10*time.Second)); got != 1 {
		t.Errorf("long after all fell silent: %d hosts, want 1", got)
	}
}

func TestThawDoesNotMakeOthersSilent(t *testing.T) {
	f := newFleet(3)
	f.run(4 * time.Second)
	s := f.states["10.0.0.0:1"]
	s.thaw(10 * time.Second)
	if got := len(s.alive(f.now.Add(10 * time.Second))); got != 2 {
		t.Errorf("after standing still for 10 s a host hears %d others, want 2", got)
	}
}

func FuzzMessage(f *testing.F) {
	s := newState(host(0, "r"))
	good, _ := cbor.Marshal(s.next(start))
	f.Add(good)
	f.Add([]byte{0x84, 0x01})
	f.Fuzz(func(_ *testing.T, data []byte) {
		var msg message
		if cbor.Unmarshal(data, &msg) == nil {
			newState(host(1, "r")).take(msg, start)
		}
	})
}

// Pattern: frozen home. A host that didn't answer and hasn't been heard since gets
// no further calls, though it isn't silent for long enough to be dead.
func TestFrozenHomeIsNotAskedAgain(t *testing.T) {
	f := newFleet(9)
	f.run(4 * time.Second)
	s := f.states["10.0.0.8:1"]
	f.down["10.0.0.0:1"] = true
	f.run(roundEvery)
	s.members[idOf("h0")].avoid = f.now.Add(avoidFor)
	f.run(avoidFor + roundEvery)
	if h, _ := s.home("", f.now); h.Name != "h1" {
		t.Errorf("home %s while h0 is frozen, want h1", h.Name)
	}
	f.down["10.0.0.0:1"] = false
	f.run(2 * time.Second)
	if h, _ := s.home("", f.now); h.Name != "h0" {
		t.Errorf("home %s after h0 runs again, want h0", h.Name)
	}
}
