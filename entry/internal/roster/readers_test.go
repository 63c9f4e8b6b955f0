package roster

import (
	"fmt"
	"testing"
	"time"
)

// readers returns how many live hosts of each region read the store themselves.
func (f *fleet) readers() map[string]int {
	out := map[string]int{}
	for address, s := range f.states {
		if !f.down[address] && s.readsStore(f.now) {
			out[s.self.Region]++
		}
	}
	return out
}

// The calls of the store must not grow with the hosts. In regions of four to six hosts each
// one once read for itself.
func TestFewHostsOfARegionReadTheStore(t *testing.T) {
	for _, test := range []struct{ hosts, want int }{{9, 3}, {12, 2}, {18, 2}, {33, 2}, {36, 3}, {120, 3}} {
		t.Run(fmt.Sprintf("%d hosts", test.hosts), func(t *testing.T) {
			f := newFleet(test.hosts)
			f.run(6 * time.Second)
			for region, n := range f.readers() {
				if n != test.want {
					t.Errorf("region %s: %d hosts read the store, want %d", region, n, test.want)
				}
			}
		})
	}
}

// A follower avoids a reader that doesn't answer, and reads for itself once it avoids all.
// When the readers are gone others take their place.
func TestReadersAreReplaced(t *testing.T) {
	f := newFleet(18)
	f.run(6 * time.Second)
	var follower *state
	for _, s := range f.states {
		if !s.readsStore(f.now) {
			follower = s
			break
		}
	}
	list := follower.readers(f.now)
	if len(list) != 2 {
		t.Fatalf("the follower has %d readers, want 2", len(list))
	}
	for i, h := range list {
		follower.members[hostID(h.Name)].avoidUntil = f.now.Add(avoidDuration)
		if reads := follower.readsStore(f.now); reads != (i == 1) {
			t.Errorf("%d readers avoided: reads for itself %v, want %v", i+1, reads, i == 1)
		}
	}
	for _, h := range list {
		f.down[h.GossipAddress] = true
	}
	f.run(deadAfter + 4*time.Second)
	if got := f.readers()[follower.self.Region]; got != 2 {
		t.Errorf("%d hosts of the region read the store after its readers are gone, want 2", got)
	}
}
