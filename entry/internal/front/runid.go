package front

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
)

// runIDs generates run IDs that are unique across processes: the host's name, a random
// number drawn at process start, and a counter.
type runIDs struct {
	prefix  string
	counter *atomic.Uint64
}

func newRunIDs(host string) runIDs {
	return runIDs{prefix: fmt.Sprintf("%s-%08x", host, rand.Uint32()), counter: new(atomic.Uint64)}
}

func (r runIDs) next() string { return fmt.Sprintf("%s-%d", r.prefix, r.counter.Add(1)) }
