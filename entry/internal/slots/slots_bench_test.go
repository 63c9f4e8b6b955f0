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

// sizes are the numbers of engines: of a deployment of today, ten times that, and the
// design's. There are 6 pools, one per model, over that many data centres.
var sizes = []struct{ engines, centres int }{{10, 3}, {130, 3}, {1300, 11}}

func sizedBundle(b *testing.B, engines, centres int) *bundle.Bundle {
	const pools = 6
	var d bundle.Doc
	for i := range pools {
		d.Pools = append(d.Pools, bundle.PoolDoc{
			Name: fmt.Sprintf("model-%02d", i), Kind: bundle.KindEngine, Repeat: true, Limit: 48, ColdLimit: 2,
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

// homeOfAll is a view in which one host has long been home of the groups in won.
type homeOfAll struct{ won func(key string) bool }

func (homeOfAll) Home(string, string, string) (hosts.Host, bool) {
	return hosts.Host{Name: "centre-00-entry-000"}, true
}

func (m homeOfAll) HomeDuration(key, _, _ string) (time.Duration, bool) { return time.Hour, m.won(key) }
func (homeOfAll) IsFresh() bool                                         { return true }
func (homeOfAll) TargetState(string) hosts.State                        { return hosts.StateLive }

func every(string) bool { return true }

// sizedHolder has two slots, one of them in use, of four in five targets of the nearest
// data centre, and has just asked for all of them.
func sizedHolder(b *testing.B, engines, centres int) (*holder, *layout) {
	h := newHolder(Options{Host: "centre-00-entry-001", DataCentre: "centre-00", Region: "region-0"}.withDefaults(), homeOfAll{every})
	l := newLayout(sizedBundle(b, engines, centres), 32)
	h.sync(l)
	for _, g := range l.groups {
		hg := h.groups[g.key]
		hg.answered = true
		if g.dataCentre != "centre-00" {
			continue
		}
		hg.sent, hg.want = time.Now().Add(time.Hour), 1<<20
		for i, doc := range g.targets {
			if t := h.targets[doc.Name]; i%5 != 0 {
				t.slots, t.inUse, t.until, t.fence, t.state = 2, 1, time.Now().Add(time.Hour), 1<<30, target.StateWarm
			}
		}
	}
	return h, l
}

// BenchmarkLayout measures what a change of configuration costs the holder and the home.
func BenchmarkLayout(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("engines=%d", n.engines), func(b *testing.B) {
			h, l := sizedHolder(b, n.engines, n.centres)
			at := newHome(h.opts, homeOfAll{every})
			b.ReportAllocs()
			for b.Loop() {
				l = newLayout(l.bundle, 32)
				h.sync(l)
				at.sync(l, time.Now())
			}
		})
	}
}

// BenchmarkDue measures one look of the asking loop, which each change of demand, each
// end of a call and each answer wakes.
func BenchmarkDue(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("engines=%d", n.engines), func(b *testing.B) {
			h, l := sizedHolder(b, n.engines, n.centres)
			b.ReportAllocs()
			for b.Loop() {
				h.due(l)
			}
		})
	}
}

// BenchmarkView measures the making of a view of one pool after a slot has changed.
func BenchmarkView(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("engines=%d", n.engines), func(b *testing.B) {
			h, l := sizedHolder(b, n.engines, n.centres)
			c := &Controller{holder: h, current: func() *bundle.Bundle { return l.bundle }}
			c.cached.Store(l)
			b.ReportAllocs()
			for b.Loop() {
				h.version++
				c.View("model-03")
			}
		})
	}
}

// BenchmarkTick measures one look of a home, done every 100 ms. It is home of 6 groups.
func BenchmarkTick(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("engines=%d", n.engines), func(b *testing.B) {
			l := newLayout(sizedBundle(b, n.engines, n.centres), 32)
			at := newHome(Options{}.withDefaults(), homeOfAll{func(key string) bool { return l.groups[key].dataCentre == "centre-00" }})
			b.ReportAllocs()
			for b.Loop() {
				at.tick(l)
			}
		})
	}
}

// BenchmarkAsk measures the home's answer to one ask for a group of 20 engines, with the
// sizes of both messages.
func BenchmarkAsk(b *testing.B) {
	for _, holders := range []int{9, 34, 370} {
		b.Run(fmt.Sprintf("holders=%d", holders), func(b *testing.B) {
			l := newLayout(sizedBundle(b, 120, 1), 32)
			at := newHome(Options{}.withDefaults(), homeOfAll{every})
			at.sync(l, time.Now())
			g := l.groups["model-03/centre-00/0"]
			for _, doc := range g.targets {
				t := at.targets[doc.Name]
				t.phase, t.limit, t.since = warm, 48, time.Now().Add(-time.Hour)
			}
			ask := Request{Group: g.key, Want: 17}
			for i, doc := range g.targets {
				if i%5 != 0 {
					ask.Targets = append(ask.Targets, TargetRequest{Name: doc.Name, Keep: 1, InUse: 1, Fence: 1 << 30, Succeeded: 1, LatencySumMs: 900})
				}
			}
			var give Grant
			b.ReportAllocs()
			for b.Loop() {
				ask.Seq++
				give = at.ask(holderID{fmt.Sprintf("centre-00-entry-%03d", ask.Seq%uint64(holders)), 1}, ask, l)
			}
			b.ReportMetric(encoded(ask), "ask_bytes")
			b.ReportMetric(encoded(give), "give_bytes")
		})
	}
}

func encoded(v any) float64 {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return float64(len(data))
}

// wire counts the asks that pass between a holder and a home in one process.
type wire struct {
	home        *Controller
	asks, bytes atomic.Int64
}

func (w *wire) Request(_ context.Context, _ hosts.Host, a Request) (Grant, error) {
	give := w.home.HandleRequest("centre-00-entry-001", 1, a)
	w.asks.Add(1)
	w.bytes.Add(int64(encoded(a) + encoded(give)))
	return give, nil
}

func (*wire) Revoke(context.Context, string, Revoke) error         { return nil }
func (*wire) Handover(context.Context, hosts.Host, Handover) error { return nil }

// alwaysWarm answers each load report.
type alwaysWarm struct{}

func (alwaysWarm) Load(context.Context, string) (target.Load, error) {
	return target.Load{State: target.StateWarm, Boot: "b", Limit: 48, ColdLimit: 2}, nil
}

// BenchmarkAskRate measures, in real time, the asks of one holder for one pool of 20
// engines: calls arrive at random at the given rate and take 0.9 s in the mean.
func BenchmarkAskRate(b *testing.B) {
	const took = 900 * time.Millisecond
	for _, calls := range []int{2, 18, 100} {
		b.Run(fmt.Sprintf("calls=%d", calls), func(b *testing.B) {
			made := sizedBundle(b, 120, 1)
			current := func() *bundle.Bundle { return made }
			opts := Options{Host: "centre-00-entry-000", DataCentre: "centre-00", Region: "region-0", Lease: 2 * time.Second, ListLag: 1, ViewMax: 1, AttemptBound: 1}
			w := &wire{home: New(opts, homeOfAll{every}, nil, alwaysWarm{}, current, logr.Discard())}
			defer w.home.Close()
			opts.Host = "centre-00-entry-001"
			c := New(opts, homeOfAll{func(string) bool { return false }}, w, alwaysWarm{}, current, logr.Discard())
			defer c.Close()
			time.Sleep(3 * time.Second) // The home's wait is then over.
			for b.Loop() {
				c.callAt(calls, took, 2*time.Second) // The calls in flight are then as many as they stay.
				w.asks.Store(0)
				w.bytes.Store(0)
				const span = 3 * time.Second
				c.callAt(calls, took, span)
				b.ReportMetric(float64(w.asks.Load())/span.Seconds(), "asks/s")
				b.ReportMetric(float64(w.bytes.Load())/span.Seconds(), "body_bytes/s")
			}
		})
	}
}

// callAt makes calls of one pool at a random pace for the given time.
func (c *Controller) callAt(perSecond int, took, span time.Duration) {
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
						hold.Done(target.Result{Sent: target.SentYes}, took)
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

// counted is a listener that counts the bytes of its connections, both ways.
type counted struct {
	net.Listener
	bytes *atomic.Int64
}

func (l counted) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countedConn{c, l.bytes}, err
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkLoadReport reads load reports over loopback and counts the bytes above TCP.
func BenchmarkLoadReport(b *testing.B) {
	var bytes atomic.Int64
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(target.Load{
			State: target.StateWarm, Boot: "0123456789abcdef", Running: 28, Queued: 2, Limit: 48, ColdLimit: 2, AsOf: units.Duration(320 * time.Millisecond),
		})
	}))
	s.Listener = counted{s.Listener, &bytes}
	s.Start()
	defer s.Close()
	client := target.New(target.Options{DataCentre: "centre-00"})
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		if _, err := client.Load(context.Background(), s.Listener.Addr().String()); err != nil {
			b.Fatal(err)
		}
		n++
	}
	b.ReportMetric(float64(bytes.Load())/float64(n), "wire_bytes")
}
