package cmd

import (
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"time"

	"chivepost/entry/internal/peers"
	"chivepost/platform/boot"
	"chivepost/platform/feed"
	"chivepost/share/hosts"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// startEndlessServer starts a server that answers each connection with headers without end.
// It returns the address and the number of bytes sent.
func startEndlessServer() (string, *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	sent := &atomic.Int64{}
	block := []byte(strings.Repeat("A: b\r\n", 1<<10))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_ = c.(*net.TCPConn).SetWriteBuffer(32 << 10)
				_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n")
				for err == nil {
					var n int
					n, err = c.Write(block)
					sent.Add(int64(n))
				}
			}()
		}
	}()
	return l.Addr().String(), sent
}

// Guards against 10 MiB of headers, the limit of net/http, held for each call to a server in
// trouble.
var _ = DescribeTable("cuts off answers with headers without end",
	func(call func(ctx context.Context, address string) error) {
		address, sent := startEndlessServer()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		err := call(ctx, address)
		runtime.ReadMemStats(&after)
		Expect(err).To(HaveOccurred())
		Expect(ctx.Err()).NotTo(HaveOccurred())
		Expect(after.TotalAlloc-before.TotalAlloc).To(BeNumerically("<=", 4<<20), "bytes allocated")
		Expect(sent.Load()).To(BeNumerically("<=", maxHeaderBytes+1<<20), "bytes sent, of which the kernel may buffer 1 MiB")
	},
	Entry("from the store", func(ctx context.Context, address string) error {
		_, _, err := feed.Hosts(newStore(boot.Settings{StoreAddress: address})).Newest(ctx)
		return err
	}),
	Entry("from a peer", func(ctx context.Context, address string) error {
		bus := newBus(boot.Settings{HostName: "h"}, &fleetCmd{PeerKey: "k"}, logr.Discard())
		defer bus.Close()
		return bus.Call(ctx, hosts.Host{PeerAddress: address}, "x", nil, nil)
	}),
	Entry("from a peer, by the transport's own client", func(ctx context.Context, address string) error {
		bus := peers.New(peers.Options{Host: "h", Key: "k"}, logr.Discard())
		defer bus.Close()
		return bus.Call(ctx, hosts.Host{PeerAddress: address}, "x", nil, nil)
	}),
	Entry("from the platform's services", func(ctx context.Context, address string) error {
		_, err := hosts.New("http://"+address, newPlatformClient(1<<20)).Hosts(ctx)
		return err
	}),
)
