package peers

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"chivepost/entry/internal/member"
	"chivepost/entry/internal/slots"
	"chivepost/share/hosts"
	"chivepost/share/target"
)

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

func benchTransport(name string) *Transport {
	return New(Options{Host: name, Incarnation: 1 << 63, Key: "key"}, logr.Discard())
}

// serveOn serves t on a loopback port and returns the host as its peers see it.
func serveOn(b *testing.B, t *Transport, name string, bytes *atomic.Int64) hosts.Host {
	s := httptest.NewUnstartedServer(t)
	s.Listener = counted{s.Listener, bytes}
	s.Start()
	b.Cleanup(s.Close)
	b.Cleanup(t.Close) // It ends the connections that Close of the server waits for.
	return hosts.Host{Name: name, PeerAddress: s.Listener.Addr().String()}
}

// cpuTime returns the processor time of this process so far.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkCall makes calls over a loopback connection: the processor time of both ends,
// kernel included, and the bytes above TCP of request and reply.
func BenchmarkCall(b *testing.B) {
	beat := member.Heartbeat{
		Host: "centre-05-entry-123", Incarnation: 1 << 63, State: member.StateServing, Interval: 46 * time.Second,
		ConfigVersion: 123456, ListVersion: 123456, LogAge: 500 * time.Millisecond,
	}
	for _, engines := range []int{0, 4, 16, 32} {
		var request, reply any = beat, beat
		name := "beat"
		if engines > 0 {
			name = fmt.Sprintf("ask=%d", engines)
			ask := slots.Request{Group: "model-03/centre-05/0", Seq: 1 << 20, Want: engines + 1}
			give := slots.Grant{Seq: 1 << 20, Lease: 2 * time.Second}
			for i := range engines {
				engine := fmt.Sprintf("model-03-engine-%04d", i)
				ask.Targets = append(ask.Targets, slots.TargetRequest{Name: engine, Keep: 1, InUse: 1, Fence: 1 << 30, Succeeded: 1, LatencySumMs: 900})
				give.Targets = append(give.Targets, slots.TargetGrant{Name: engine, Slots: 1, Fence: 1 << 30, State: target.StateWarm})
			}
			request, reply = ask, give
		}
		b.Run(name, func(b *testing.B) {
			var bytes atomic.Int64
			far, near := benchTransport("centre-05-entry-123"), benchTransport("centre-06-entry-234")
			to := serveOn(b, far, "centre-05-entry-123", &bytes)
			b.Cleanup(near.Close)
			far.Handle("beat", func(context.Context, string, uint64, []byte) (any, error) { return reply, nil })
			call := func() {
				var got map[string]any
				if err := near.Call(context.Background(), to, "beat", request, &got); err != nil {
					b.Fatal(err)
				}
			}
			call() // It makes the connection.
			bytes.Store(0)
			n, before := 0, cpuTime()
			b.ReportAllocs()
			for b.Loop() {
				call()
				n++
			}
			b.ReportMetric(float64((cpuTime()-before).Nanoseconds())/float64(n), "cpu-ns/op")
			b.ReportMetric(float64(bytes.Load())/float64(n), "wire_bytes")
		})
	}
}

// BenchmarkLinks measures the memory of a connection, that of both ends together.
func BenchmarkLinks(b *testing.B) {
	for _, n := range []int{8, 89, 369} {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) {
			var bytes atomic.Int64
			near, far := benchTransport("near"), benchTransport("far")
			b.Cleanup(near.Close)
			far.Handle("beat", func(context.Context, string, uint64, []byte) (any, error) { return "", nil })
			var peers []hosts.Host
			for range n {
				s := httptest.NewUnstartedServer(far)
				s.Listener = counted{s.Listener, &bytes}
				s.Start()
				b.Cleanup(s.Close)
				peers = append(peers, hosts.Host{Name: "far", PeerAddress: s.Listener.Addr().String()})
			}
			b.Cleanup(far.Close)
			before := memory()
			for b.Loop() {
				for _, p := range peers {
					if err := near.Call(context.Background(), p, "beat", "", nil); err != nil {
						b.Fatal(err)
					}
				}
			}
			b.ReportMetric((memory()-before)/float64(n), "memory_bytes/link")
		})
	}
}

// memory returns the heap and the stacks in use.
func memory() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // The first one only moves pools to their victim caches.
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
