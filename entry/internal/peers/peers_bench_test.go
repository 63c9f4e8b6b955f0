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

func newBenchTransport(name string) *Transport {
	return New(Options{Host: name, Incarnation: 1 << 63, Key: "key"}, logr.Discard())
}

// serveTransport serves t on a loopback port and returns its entry in the host list.
func serveTransport(b *testing.B, t *Transport, name string, bytes *atomic.Int64) hosts.Host {
	s := httptest.NewUnstartedServer(t)
	s.Listener = countingListener{s.Listener, bytes}
	s.Start()
	b.Cleanup(s.Close)
	b.Cleanup(t.Close) // Ends the connections that Close of the server waits for; runs before it.
	return hosts.Host{Name: name, PeerAddress: s.Listener.Addr().String()}
}

// cpuTime returns the CPU time that this process has used, user and kernel.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkCall measures calls over a loopback connection: the CPU time of both ends,
// kernel included, and the bytes of request and reply above TCP.
func BenchmarkCall(b *testing.B) {
	heartbeat := member.Heartbeat{
		Host: "centre-05-entry-123", Incarnation: 1 << 63, State: member.StateServing, Interval: 46 * time.Second,
		ConfigVersion: 123456, ListVersion: 123456, LogAge: 500 * time.Millisecond,
	}
	for _, engines := range []int{0, 4, 16, 32} {
		var body, reply any = heartbeat, heartbeat
		name := "beat"
		if engines > 0 {
			name = fmt.Sprintf("ask=%d", engines)
			request := slots.Request{Group: "model-03/centre-05/0", Seq: 1 << 20, Want: engines + 1}
			grant := slots.Grant{Seq: 1 << 20, Lease: 2 * time.Second}
			for i := range engines {
				engine := fmt.Sprintf("model-03-engine-%04d", i)
				request.Targets = append(request.Targets, slots.TargetRequest{Name: engine, Keep: 1, InUse: 1, Fence: 1 << 30, Succeeded: 1, LatencySumMs: 900})
				grant.Targets = append(grant.Targets, slots.TargetGrant{Name: engine, Slots: 1, Fence: 1 << 30, State: target.StateWarm})
			}
			body, reply = request, grant
		}
		b.Run(name, func(b *testing.B) {
			var bytes atomic.Int64
			server, client := newBenchTransport("centre-05-entry-123"), newBenchTransport("centre-06-entry-234")
			to := serveTransport(b, server, "centre-05-entry-123", &bytes)
			b.Cleanup(client.Close)
			server.Handle("beat", func(context.Context, string, uint64, []byte) (any, error) { return reply, nil })
			call := func() {
				var got map[string]any
				if err := client.Call(context.Background(), to, "beat", body, &got); err != nil {
					b.Fatal(err)
				}
			}
			call() // The first call dials the connection.
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

// BenchmarkLinks measures the memory of a connection, the sum of both ends.
func BenchmarkLinks(b *testing.B) {
	for _, n := range []int{8, 89, 369} {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) {
			var bytes atomic.Int64
			client, server := newBenchTransport("near"), newBenchTransport("far")
			b.Cleanup(client.Close)
			server.Handle("beat", func(context.Context, string, uint64, []byte) (any, error) { return "", nil })
			var peers []hosts.Host
			for range n {
				s := httptest.NewUnstartedServer(server)
				s.Listener = countingListener{s.Listener, &bytes}
				s.Start()
				b.Cleanup(s.Close)
				peers = append(peers, hosts.Host{Name: "far", PeerAddress: s.Listener.Addr().String()})
			}
			b.Cleanup(server.Close)
			before := memoryInUse()
			for b.Loop() {
				for _, p := range peers {
					if err := client.Call(context.Background(), p, "beat", "", nil); err != nil {
						b.Fatal(err)
					}
				}
			}
			b.ReportMetric((memoryInUse()-before)/float64(n), "memory_bytes/link")
		})
	}
}

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // The first collection only moves pools to their victim caches.
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
