package cmd

import (
	"chivepost/entry/internal/kernel"
	"chivepost/platform/boot"
)

// Buffers of the kernel, by what a connection is for. A window of 64 KiB moves 1.6 MB/s over a link
// of 20 ms one way.
var (
	// fleetBuffers are those of callers on the platform. Their receive buffer grows with what is
	// reserved for a body.
	fleetBuffers    = kernel.Buffers{Receive: 32 << 10, Send: 64 << 10}
	callerBuffers   = kernel.Buffers{Receive: 64 << 10, Send: 64 << 10}
	lookupBuffers   = kernel.Buffers{Receive: 32 << 10, Send: 32 << 10}   // directory, readiness, metrics
	platformBuffers = kernel.Buffers{Receive: 256 << 10, Send: 256 << 10} // store and peers, of which there are few
)

const (
	// maxBacklog bounds the connections of a listener that wait to be accepted, as does
	// backlogRatio of the memory of the process for the bytes that they hold.
	maxBacklog   = 1024
	minBacklog   = 32
	backlogRatio = 0.05
)

// newBacklog returns how many connections may wait to be accepted.
func newBacklog(s boot.Settings) int {
	return max(minBacklog, min(maxBacklog, int(backlogRatio*float64(s.MemoryBytes)/kernel.InitialWindow)))
}
