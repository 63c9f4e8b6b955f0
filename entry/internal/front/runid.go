package front

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
)

// runIDs makes names of runs that no two processes share: a random part drawn at
// the start of the process and a counter.
type runIDs struct {
	prefix string
	n      *atomic.Uint64
}

func newRunIDs(host string) runIDs {
	return runIDs{prefix: fmt.Sprintf("%s-%08x", host, rand.Uint32()), n: new(atomic.Uint64)}
}

func (r runIDs) next() string { return fmt.Sprintf("%s-%d", r.prefix, r.n.Add(1)) }
