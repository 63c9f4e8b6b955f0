package soak

import (
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"chivepost/platform/wire"
)

const (
	// returnSettleTime is how long a crowd of returning clients runs before an ordinary request is
	// sent beside it: longer than it takes to fill every limit of the host.
	returnSettleTime = 4 * time.Second
	// sampleInterval is the time between two samples of what a process holds.
	sampleInterval = 20 * time.Millisecond
)

// listenerCrowd is a crowd and the listener to which it connects.
type listenerCrowd struct {
	returningClient
	to func(h *crowdHost) string
}

// runReturning runs crowds beside each other and checks the host while they are there and after
// they have gone.
func runReturning(h *crowdHost, crowds ...listenerCrowd) {
	h.t.Helper()
	done := make(chan struct{})
	var clients, sampler sync.WaitGroup
	for _, c := range crowds {
		for n := range c.count {
			clients.Go(func() { c.run(c.to(h), n, done) })
		}
	}
	sampled := make(chan struct{})
	var peakHeld, peakUnread, peakUnsent int64
	peakFds := 0
	sampler.Go(func() {
		for {
			resident, unread, unsent := heldBytes(h.cmd.Process.Pid, readSockets())
			peakHeld, peakUnread, peakUnsent = max(peakHeld, resident+unread), max(peakUnread, unread), max(peakUnsent, unsent)
			peakFds = max(peakFds, h.openFds())
			select {
			case <-sampled:
				return
			case <-time.After(sampleInterval):
			}
		}
	})
	time.Sleep(returnSettleTime)
	h.awaitOrdinary()
	close(done)
	clients.Wait()
	close(sampled)
	sampler.Wait()
	h.check(peakFds)
	h.t.Logf("peak of resident and unread bytes %d MB of %d, unread %d MB, in send queues %d MB", peakHeld>>20, crowdMemoryMB, peakUnread>>20, peakUnsent>>20)
	if peakHeld > crowdMemoryMB<<20 {
		h.t.Errorf("resident and unread bytes took %d MB, want at most %d", peakHeld>>20, crowdMemoryMB)
	}
}

const (
	returnHead    = " HTTP/1.1\r\nHost: crowd.example\r\n" + wire.HeaderID + ": c\r\n"
	returnChunked = "POST /x" + returnHead + "Transfer-Encoding: chunked\r\n\r\n"
)

// returningCrowds are the clients of TestReturningCrowds.
func returningCrowds() []listenerCrowd {
	long := strings.Repeat("GET /big/8000000"+returnHead+"\r\n", 64)
	stream := "GET /stream/1000000" + returnHead + "\r\n"
	chunk := "10000\r\n" + strings.Repeat("x", 64<<10) + "\r\n"
	return []listenerCrowd{
		{returningClient{name: "long responses that nobody reads", count: 300, head: long, block: long, interval: 20 * time.Millisecond, neverReads: true}, crowdFront},
		{returningClient{name: "long responses that nobody reads, many addresses", count: 300, addresses: 200, head: long, block: long, interval: 20 * time.Millisecond, neverReads: true}, crowdFront},
		{returningClient{name: "streams that nobody reads", count: 300, addresses: 200, head: stream, block: stream, interval: 100 * time.Millisecond, neverReads: true}, crowdFront},
		{returningClient{name: "bodies that keep moving", count: 300, addresses: 200, head: returnChunked, block: chunk, interval: 100 * time.Millisecond}, crowdFront},
		{returningClient{name: "headers that stop after one byte", count: 600, addresses: 200, head: "G", interval: time.Minute}, crowdFront},
	}
}

// otherCrowds are clients that are tried beside those of returningCrowds only.
func otherCrowds() []listenerCrowd {
	short := strings.Repeat("GET /big/200000"+returnHead+"\r\n", 8)
	tooLong := "POST /x" + returnHead + "Content-Length: 1000000000\r\n\r\n" + strings.Repeat("x", 256<<10)
	return []listenerCrowd{
		{returningClient{name: "short responses that nobody reads", count: 300, addresses: 200, head: short, block: short, interval: 100 * time.Millisecond, neverReads: true}, crowdFront},
		{returningClient{name: "bodies far above the limit, announced", count: 200, addresses: 200, head: tooLong, block: strings.Repeat("x", 64<<10), interval: 100 * time.Millisecond, neverReads: true}, crowdFront},
		{returningClient{name: "idle connections to the peer listener", count: 300, addresses: 200, interval: time.Minute}, crowdPeers},
	}
}

// TestReturningCrowds guards against clients outside the limits that come back as soon as they are
// ended, and keep others from being served or make the host and the kernel hold more bytes than
// the host may.
func TestReturningCrowds(t *testing.T) {
	binary := buildEntry(t)
	for _, c := range returningCrowds() {
		t.Run(c.name, func(t *testing.T) { runReturning(startCrowdHost(t, binary), c) })
	}
	t.Run("all kinds at once", func(t *testing.T) {
		crowds := slices.Concat(returningCrowds(), otherCrowds())
		for i := range crowds {
			crowds[i].count = 60
		}
		runReturning(startCrowdHost(t, binary), crowds...)
	})
}

// TestServeReturningCrowds guards against the same clients at the product's own front.
func TestServeReturningCrowds(t *testing.T) {
	binary := buildEntry(t)
	address := strings.Repeat("GET /v1/address HTTP/1.1\r\nHost: h\r\n\r\n", 64)
	chunked := "POST /v1/pipelines/ask/requests HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := "10000\r\n" + strings.Repeat("x", 64<<10) + "\r\n"
	for _, c := range []listenerCrowd{
		{returningClient{name: "idle connections", count: 300, addresses: 200, interval: time.Minute}, crowdFront},
		{returningClient{name: "requests sent on without end, no response read", count: 300, addresses: 200, head: address, block: address, interval: 10 * time.Millisecond, neverReads: true}, crowdFront},
		{returningClient{name: "bodies that keep moving", count: 300, addresses: 200, head: chunked, block: chunk, interval: 100 * time.Millisecond}, crowdFront},
		{returningClient{name: "headers that stop after one byte", count: 600, addresses: 200, head: "G", interval: time.Minute}, crowdFront},
	} {
		t.Run(c.name, func(t *testing.T) { runReturning(startServeHost(t, binary, "idle_time = 60s"), c) })
	}
}
