package soak

import (
	"context"
	"strings"
	"sync"
	"time"

	"chivepost/platform/wire"
)

const (
	// Limits of a host in a run with a crowd.
	crowdedMemoryMB = 128
	crowdedFds      = 600
	// crowdedFileFds is the number of descriptors that are reserved for files.
	crowdedFileFds = 200
	// crowdedInterval is the time between two looks at the sockets of the hosts.
	crowdedInterval = 40 * time.Millisecond
	// kindCrowd is the kind of a crowd's requests, whose path ends with the size of the response.
	kindCrowd = "crowd"
)

// hasCrowd reports whether clients outside the limits are connected in this run.
func (r *runner) hasCrowd() bool { return r.opts.Faults == FaultsCrowded }

// hostCrowds returns the crowds that are connected to each host.
func hostCrowds() []returningClient {
	const head = " HTTP/1.1\r\nHost: soak.example\r\n" + wire.HeaderID + ": crowd\r\n"
	long := "GET /crowd/4000000" + head + "\r\n"
	chunk := "4000\r\n" + strings.Repeat("x", 16<<10) + "\r\n"
	return []returningClient{
		{name: "long responses that nobody reads", count: 120, addresses: 100, head: long, block: long, interval: 200 * time.Millisecond, neverReads: true},
		{name: "bodies that keep moving", count: 60, addresses: 60, head: "POST /crowd/2" + head + "Transfer-Encoding: chunked\r\n\r\n", block: chunk, interval: 300 * time.Millisecond},
		{name: "headers that stop after one byte", count: 60, addresses: 60, head: "G", interval: time.Minute},
		{name: "idle connections", count: 60, addresses: 60, interval: time.Minute},
	}
}

// runCrowds connects the crowds to all hosts until the context ends. It reports hosts that hold more
// than they may.
func (r *runner) runCrowds(ctx context.Context) {
	var clients sync.WaitGroup
	for _, h := range r.hosts {
		for _, c := range hostCrowds() {
			for n := range c.count {
				clients.Go(func() { c.run(h.address(portFrontend), n, ctx.Done()) })
			}
		}
	}
	var peak int64
	peakFds := 0
	for sleep(ctx, crowdedInterval) == nil {
		now, table := time.Now(), readSockets()
		for _, s := range table {
			if s.unread > 0 && !s.isListening && s.local.Port() == portFrontend {
				r.trace.recordUnread(s.remote.String(), now)
			}
		}
		for _, h := range r.hosts {
			pid := h.pid()
			resident, unread, _ := heldBytes(pid, table)
			peak, peakFds = max(peak, resident+unread), max(peakFds, openFds(pid))
			if resident+unread > crowdedMemoryMB<<20 {
				r.checker.report("%s holds %d MB of memory and %d MB that it has not read, want at most %d MB", h.name, resident>>20, unread>>20, crowdedMemoryMB)
			}
		}
	}
	clients.Wait()
	r.print("beside the crowd the hosts held at most %d MB of %d and %d descriptors of %d", peak>>20, crowdedMemoryMB, peakFds, crowdedFds-crowdedFileFds)
	if peakFds > crowdedFds-crowdedFileFds {
		r.checker.report("a host had %d descriptors open, want at most %d", peakFds, crowdedFds-crowdedFileFds)
	}
}
