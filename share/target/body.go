package target

import (
	"fmt"
	"io"
	"sync/atomic"
)

const (
	// freeBodyBytes is the part of each response body that isn't counted against maxBodyBytes,
	// so that short responses are read whatever other targets send.
	freeBodyBytes = 64 << 10
	// maxBodyBytes limits what all calls of a client hold of response bodies at a time. A body
	// takes up to 2.5 times its size while it is read and decoded, and as much again until the
	// garbage is collected.
	maxBodyBytes = 16 << 20
)

var errBodiesTooLarge = fmt.Errorf("the calls of this host hold over %d bytes of responses", maxBodyBytes)

// countedReader counts what it reads against maxBodyBytes until release.
type countedReader struct {
	reader io.Reader
	held   *atomic.Int64 // by all readers
	free   int64         // bytes read without being counted
	own    int64         // bytes counted
}

func (r *countedReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	free := min(int64(n), freeBodyBytes-r.free)
	counted := int64(n) - free
	r.free, r.own = r.free+free, r.own+counted
	if counted > 0 && r.held.Add(counted) > maxBodyBytes {
		return n, errBodiesTooLarge
	}
	return n, err
}

func (r *countedReader) release() { r.held.Add(-r.own) }
