package edge

import (
	"sync"
	"time"
)

const (
	// tailWeight is the weight of a new measurement of what follows the stages.
	tailWeight = 0.1
	// tailSpread is how many mean deviations are added, so that about nine in ten
	// requests need less.
	tailSpread = 1.5
	// maxTails bounds the routes that are told apart.
	maxTails = 4096
)

// tail is the time from the end of a route's stages to the first byte.
type tail struct {
	mean, deviation time.Duration
}

// tails holds the times of all routes.
type tails struct {
	mu sync.Mutex
	by map[string]*tail
}

// of returns what a request of a route needs after its stages.
func (t *tails) of(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.by[route]
	if s == nil {
		return afterStages
	}
	return s.mean + time.Duration(tailSpread*float64(s.deviation))
}

func (t *tails) note(route string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.by[route]
	if s == nil {
		if len(t.by) >= maxTails {
			return
		}
		t.by[route] = &tail{mean: took, deviation: took / 4}
		return
	}
	off := took - s.mean
	s.mean += time.Duration(tailWeight * float64(off))
	s.deviation += time.Duration(tailWeight * float64(max(off, -off)-s.deviation))
}
