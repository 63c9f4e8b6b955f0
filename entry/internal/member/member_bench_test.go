package member

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"chivepost/share/hosts"
)

// hostCounts are the benchmarked numbers of hosts: nine as of today, ten times that,
// and the 370 designed for, with engines in proportion.
var hostCounts = []int{9, 90, 370}

// sizedList returns a host list of n entry hosts in 11 data centres and 3.5 engines for each.
func sizedList(n int) hosts.List {
	l := hosts.List{Version: 1000}
	place := func(i int) (string, string) {
		return fmt.Sprintf("centre-%02d", i%11), fmt.Sprintf("region-%d", i%11%3)
	}
	for i := range n {
		dc, region := place(i)
		l.Hosts = append(l.Hosts, hosts.Host{
			Name: fmt.Sprintf("%s-entry-%03d", dc, i), Address: fmt.Sprintf("10.%d.0.%d:443", i%11, i%250),
			PeerAddress: fmt.Sprintf("10.%d.0.%d:7443", i%11, i%250), DataCentre: dc, Region: region,
			Role: hosts.RoleEntry, State: hosts.StateLive,
		})
	}
	for i := range n * 7 / 2 {
		dc, region := place(i)
		l.Hosts = append(l.Hosts, hosts.Host{
			Name: fmt.Sprintf("model-%02d-engine-%04d", i%6, i), Address: fmt.Sprintf("10.%d.%d.%d:8000", i%11, i/250, i%250),
			DataCentre: dc, Region: region, Role: hosts.RoleTarget, State: hosts.StateLive,
		})
	}
	return l
}

// idlePeers serves a constant host list and never answers heartbeats.
type idlePeers struct{ list hosts.List }

func (q idlePeers) Hosts(context.Context) (hosts.List, error) { return q.list, nil }

func (idlePeers) SendHeartbeat(ctx context.Context, _ hosts.Host, _ Heartbeat) (Heartbeat, error) {
	<-ctx.Done()
	return Heartbeat{}, ctx.Err()
}

// newIdleController returns the controller of host i of a list. It sends no
// heartbeats during the benchmark.
func newIdleController(list hosts.List, i int) *Controller {
	c := New(Options{Self: list.Hosts[i], Incarnation: 1, HeartbeatInterval: time.Hour, PollInterval: time.Second, Seed: uint64(i) + 1},
		idlePeers{list}, idlePeers{}, func() Heartbeat { return Heartbeat{State: StateServing, ConfigVersion: 1} }, logr.Discard())
	for c.ListVersion() < 0 {
		time.Sleep(time.Millisecond)
	}
	return c
}

// BenchmarkHandleBeat measures the handling of one received heartbeat.
func BenchmarkHandleBeat(b *testing.B) {
	for _, n := range hostCounts {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			list := sizedList(n)
			c := newIdleController(list, 0)
			defer c.Close()
			heartbeat := Heartbeat{Incarnation: 1, State: StateServing, Interval: time.Second, ListVersion: 1000}
			for _, h := range list.Hosts[1:n] {
				heartbeat.Host = h.Name
				c.HandleHeartbeat(heartbeat) // The first heartbeat of a host changes its state, which costs more.
			}
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i = i%(n-1) + 1
				heartbeat.Host = list.Hosts[i].Name
				c.HandleHeartbeat(heartbeat)
			}
		})
	}
}

// BenchmarkRound measures choosing the peers of one round of heartbeats.
func BenchmarkRound(b *testing.B) {
	for _, n := range hostCounts {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			c := newIdleController(sizedList(n), 0)
			defer c.Close()
			b.ReportAllocs()
			for b.Loop() {
				c.nextPeers(false)
			}
		})
	}
}

// BenchmarkHome measures one look-up of a group's home.
func BenchmarkHome(b *testing.B) {
	for _, n := range hostCounts {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			c := newIdleController(sizedList(n), 0)
			defer c.Close()
			b.ReportAllocs()
			for b.Loop() {
				c.Home("model-03/centre-05/0", "centre-05", "region-2")
			}
		})
	}
}

// BenchmarkReadList measures one poll of the host list: its size and its decoding,
// which is done even if nothing has changed.
func BenchmarkReadList(b *testing.B) {
	for _, n := range hostCounts {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			data, err := json.Marshal(sizedList(n))
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				var l hosts.List
				if err := json.Unmarshal(data, &l); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "encoded_bytes")
		})
	}
}

// BenchmarkSetView measures applying a changed host list after it was read.
func BenchmarkSetView(b *testing.B) {
	for _, n := range hostCounts {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			list := sizedList(n)
			c := newIdleController(list, 0)
			defer c.Close()
			b.ReportAllocs()
			for b.Loop() {
				v := newView(list)
				c.mu.Lock()
				c.setView(v, time.Now())
				c.refresh(time.Now())
				c.mu.Unlock()
			}
		})
	}
}

// BenchmarkSpread counts the rounds of heartbeats until a version known to one host is
// known to all, with the controllers' own choice of peers. It also reports the share
// of its peers that a host has exchanged heartbeats with after 5, 6, 8 and 20 rounds,
// which take 2.5 s, 3 s, 4 s and 10 s at the default interval.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{9, 45, 60, 75, 90, 185, 370} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			list := sizedList(n)
			nodes := make([]*Controller, n)
			index := map[string]int{}
			for i := range nodes {
				nodes[i] = newIdleController(list, i)
				defer nodes[i].Close()
				index[list.Hosts[i].Name] = i
			}
			random := rand.New(rand.NewPCG(1, 1))
			var known, rounds float64
			shares := map[int]float64{}
			marks := []int{5, 6, 8, 20}
			for b.Loop() {
				has, heard := make([]bool, n), make([]map[int]bool, n)
				for i := range heard {
					heard[i] = map[int]bool{}
				}
				has[random.IntN(n)] = true
				count, spread := 1, 0
				for round := 1; round <= 20; round++ {
					for _, i := range random.Perm(n) {
						for _, h := range nodes[i].nextPeers(false) {
							k := index[h.Name]
							heard[i][k], heard[k][i] = true, true
							if has[i] != has[k] {
								has[i], has[k] = true, true
								count++
							}
						}
					}
					if spread == 0 && count == n {
						spread = round
					}
					for _, m := range marks {
						if m == round {
							sum := 0
							for i := range heard {
								sum += len(heard[i])
							}
							shares[m] += float64(sum) / float64(n*(n-1))
						}
					}
				}
				known += float64(spread)
				rounds++
			}
			b.ReportMetric(known/rounds, "rounds_until_known")
			for _, m := range marks {
				b.ReportMetric(shares[m]/rounds, fmt.Sprintf("heard_in_%d", m))
			}
		})
	}
}

// BenchmarkEntries measures the copy of all entry hosts that each look-up of
// addresses makes.
func BenchmarkEntries(b *testing.B) {
	for _, n := range hostCounts {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			c := newIdleController(sizedList(n), 0)
			defer c.Close()
			b.ReportAllocs()
			for b.Loop() {
				c.Entries()
			}
		})
	}
}
