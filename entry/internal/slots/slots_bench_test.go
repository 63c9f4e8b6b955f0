package slots

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"chivepost/share/bundle"
	"chivepost/share/hosts"
	"chivepost/share/target"
	"chivepost/share/units"
)

// sizes are the benchmarked numbers of engines and data centres: a deployment of
// today, ten times that, and the size designed for. There are 6 pools, one per model.
var sizes = []struct{ engines, centres int }{{10, 3}, {130, 3}, {1300, 11}}

func sizedBundle(b *testing.B, engines, centres int) *bundle.Bundle {
	const pools = 6
	var d bundle.Doc
	for i := range pools {
		d.Pools = append(d.Pools, bundle.PoolDoc{
			Name: fmt.Sprintf("model-%02d", i), Kind: bundle.KindEngine, Retryable: true, Limit: 48, ColdLimit: 2,
		})
	}
	for i := range engines {
		dc := i / pools % centres
		d.Targets = append(d.Targets, bundle.TargetDoc{
			Name: fmt.Sprintf("model-%02d-engine-%04d", i%pools, i), Pool: fmt.Sprintf("model-%02d", i%pools),
			DataCentre: fmt.Sprintf("centre-%02d", dc), Region: fmt.Sprintf("region-%d", dc%3),
			Address: fmt.Sprintf("10.%d.%d.%d:8000", dc, i/250, i%250),
		})
	}
	made, err := bundle.New(d)
	if err != nil {
		b.Fatal(err)
	}
	return made
}

// fixedHome is a Membership whose host has been home of the groups selected by
// isHome for an hour.
type fixedHome struct{ isHome func(key string) bool }

func (fixedHome) Home(string, string, string) (hosts.Host, bool) {
	return hosts.Host{Name: "centre-00-entry-000"}, true
}

func (m fixedHome) HomeDuration(key, _, _ string) (time.Duration, bool) {
	return time.Hour, m.isHome(key)
}
func (fixedHome) IsFresh() bool                  { return true }
func (fixedHome) TargetState(string) hosts.State { return hosts.StateLive }

func always(string) bool { return true }

// sizedHolder returns a holder with two slots, one of them in use, of four in five
// targets of the nearest data centre. Its requests for them aren't due.
func sizedHolder(b *testing.B, engines, centres int) (*holder, *layout) {
	h := newHolder(Options{Host: "centre-00-entry-001", DataCentre: "centre-00", Region: "region-0"}.withDefaults(), fixedHome{always})
	l := newLayout(sizedBundle(b, engines, centres), 32)
	h.setLayout(l)
	for _, g := range l.groups {
		hg := h.groups[g.key]
		hg.answered = true
		if g.dataCentre != "centre-00" {
			continue
		}
		hg.sentAt, hg.want = time.Now().Add(time.Hour), 1<<20
		for i, doc := range g.targets {
			if t := h.targets[doc.Name]; i%5 != 0 {
				t.slots, t.inUse, t.leaseEnd, t.fence, t.state = 2, 1, time.Now().Add(time.Hour), 1<<30, target.StateWarm
			}
		}
	}
	return h, l
}

// BenchmarkLayout measures the work of the holder and the home on a change of
// configuration.
func BenchmarkLayout(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("engines=%d", n.engines), func(b *testing.B) {
			h, l := sizedHolder(b, n.engines, n.centres)
			at := newHome(h.opts, fixedHome{always})
			b.ReportAllocs()
			for b.Loop() {
				l = newLayout(l.bundle, 32)
				h.setLayout(l)
				at.setLayout(l, time.Now())
			}
		})
	}
}

// BenchmarkDue measures one pass of the request loop. Each change of demand, each
// end of a call and each answer wakes the loop.
func BenchmarkDue(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("engines=%d", n.engines), func(b *testing.B) {
			h, l := sizedHolder(b, n.engines, n.centres)
			b.ReportAllocs()
			for b.Loop() {
				h.dueRequests(l)
			}
		})
	}
}

// BenchmarkView measures building the view of one pool after a slot has changed.
func BenchmarkView(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("engines=%d", n.engines), func(b *testing.B) {
			h, l := sizedHolder(b, n.engines, n.centres)
			c := &Controller{holder: h, current: func() *bundle.Bundle { return l.bundle }}
			c.cachedLayout.Store(l)
			b.ReportAllocs()
			for b.Loop() {
				h.version++
				c.View("model-03")
			}
		})
	}
}

// BenchmarkTick measures one tick, which a home runs every 100 ms, with 6 groups.
func BenchmarkTick(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("engines=%d", n.engines), func(b *testing.B) {
			l := newLayout(sizedBundle(b, n.engines, n.centres), 32)
			at := newHome(Options{}.withDefaults(), fixedHome{func(key string) bool { return l.groups[key].dataCentre == "centre-00" }})
			b.ReportAllocs()
			for b.Loop() {
				at.tick(l)
			}
		})
	}
}

// BenchmarkAsk measures the home's handling of one request for a group of 20 engines
// and the sizes of request and grant.
func BenchmarkAsk(b *testing.B) {
	for _, holders := range []int{9, 34, 370} {
		b.Run(fmt.Sprintf("holders=%d", holders), func(b *testing.B) {
			l := newLayout(sizedBundle(b, 120, 1), 32)
			at := newHome(Options{}.withDefaults(), fixedHome{always})
			at.setLayout(l, time.Now())
			g := l.groups["model-03/centre-00/0"]
			for _, doc := range g.targets {
				t := at.targets[doc.Name]
				t.phase, t.limit, t.firstSeen = warm, 48, time.Now().Add(-time.Hour)
			}
			req := Request{Group: g.key, Want: 17}
			for i, doc := range g.targets {
				if i%5 != 0 {
					req.Targets = append(req.Targets, TargetRequest{Name: doc.Name, Keep: 1, InUse: 1, Fence: 1 << 30, Succeeded: 1, LatencySumMs: 900})
				}
			}
			var grant Grant
			b.ReportAllocs()
			for b.Loop() {
				req.Seq++
				grant = at.handleRequest(holderID{fmt.Sprintf("centre-00-entry-%03d", req.Seq%uint64(holders)), 1}, req, l)
			}
			b.ReportMetric(encodedSize(req), "ask_bytes")
			b.ReportMetric(encodedSize(grant), "give_bytes")
		})
	}
}

func encodedSize(v any) float64 {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return float64(len(data))
}

// countingPeers passes requests to a home in the same process and counts them.
type countingPeers struct {
	home        *Controller
	asks, bytes atomic.Int64
}

func (w *countingPeers) Request(_ context.Context, _ hosts.Host, req Request) (Grant, error) {
	grant := w.home.HandleRequest("centre-00-entry-001", 1, req)
	w.asks.Add(1)
	w.bytes.Add(int64(encodedSize(req) + encodedSize(grant)))
	return grant, nil
}

func (*countingPeers) Revoke(context.Context, string, Revoke) error         { return nil }
func (*countingPeers) Handover(context.Context, hosts.Host, Handover) error { return nil }

// alwaysWarm is a Loader whose reports all say warm.
type alwaysWarm struct{}

func (alwaysWarm) LoadReport(context.Context, string) (target.LoadReport, error) {
	return target.LoadReport{State: target.StateWarm, Boot: "b", Limit: 48, ColdLimit: 2}, nil
}

// BenchmarkAskRate measures, in real time, the rate of requests of one holder for one
// pool of 20 engines. Calls arrive at random at the given rate and take 0.9 s on
// average.
func BenchmarkAskRate(b *testing.B) {
	const took = 900 * time.Millisecond
	for _, calls := range []int{2, 18, 100} {
		b.Run(fmt.Sprintf("calls=%d", calls), func(b *testing.B) {
			made := sizedBundle(b, 120, 1)
			current := func() *bundle.Bundle { return made }
			opts := Options{Host: "centre-00-entry-000", DataCentre: "centre-00", Region: "region-0", Lease: 2 * time.Second, ListLag: 1, MaxViewAge: 1, AttemptBound: 1}
			w := &countingPeers{home: New(opts, fixedHome{always}, nil, alwaysWarm{}, current, logr.Discard())}
			defer w.home.Close()
			opts.Host = "centre-00-entry-001"
			c := New(opts, fixedHome{func(string) bool { return false }}, w, alwaysWarm{}, current, logr.Discard())
			defer c.Close()
			time.Sleep(3 * time.Second) // until the wait of the new home is over
			for b.Loop() {
				c.makeCalls(calls, took, 2*time.Second) // until the number of calls in flight is steady
				w.asks.Store(0)
				w.bytes.Store(0)
				const span = 3 * time.Second
				c.makeCalls(calls, took, span)
				b.ReportMetric(float64(w.asks.Load())/span.Seconds(), "asks/s")
				b.ReportMetric(float64(w.bytes.Load())/span.Seconds(), "body_bytes/s")
			}
		})
	}
}

// makeCalls starts calls to one pool at random times for the given span.
func (c *Controller) makeCalls(perSecond int, took, span time.Duration) {
	targets := c.layout().byPool["model-03"][0].targets
	var mu sync.Mutex
	waiting := 0
	add := func(n int) {
		mu.Lock()
		defer mu.Unlock()
		waiting += n
		c.SetWaiting("model-03", waiting)
	}
	for end := time.Now().Add(span); time.Now().Before(end); {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / float64(perSecond)))
		go func() {
			add(1)
			for {
				changed := c.Changed()
				for _, i := range rand.Perm(len(targets)) {
					if hold, ok := c.Take(targets[i].Name); ok {
						add(-1)
						time.Sleep(time.Duration(rand.ExpFloat64() * float64(took)))
						hold.Done(target.Result{Execution: target.Executed}, took)
						return
					}
				}
				select {
				case <-changed:
				case <-c.ctx.Done():
					return
				}
			}
		}()
	}
}

// countingListener counts the bytes that its connections read and write.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkLoadReport reads load reports over loopback and counts the bytes above TCP.
func BenchmarkLoadReport(b *testing.B) {
	var bytes atomic.Int64
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(target.LoadReport{
			State: target.StateWarm, Boot: "0123456789abcdef", Running: 28, Queued: 2, Limit: 48, ColdLimit: 2, Age: units.Duration(320 * time.Millisecond),
		})
	}))
	s.Listener = countingListener{s.Listener, &bytes}
	s.Start()
	defer s.Close()
	client := target.New(target.Options{DataCentre: "centre-00"})
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		if _, err := client.LoadReport(context.Background(), s.Listener.Addr().String()); err != nil {
			b.Fatal(err)
		}
		n++
	}
	b.ReportMetric(float64(bytes.Load())/float64(n), "wire_bytes")
}
