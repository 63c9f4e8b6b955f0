package route

import "sync/atomic"

// roundRobin cycles through the targets. It ignores distance, prefix and state.
type roundRobin struct{ next atomic.Uint64 }

// Name returns the policy's name.
func (*roundRobin) Name() string { return RoundRobin }

// Pick returns the next target with a free slot.
func (r *roundRobin) Pick(req Request, targets []Target) int {
	if len(targets) == 0 {
		return -1
	}
	exclude := req.Exclude
	if exclude.covers(targets) {
		exclude = nil
	}
	start := r.next.Load()
	for k := range targets {
		i := int((start + uint64(k)) % uint64(len(targets)))
		if targets[i].Free > 0 && !exclude.Has(targets[i].Name) {
			// Advance only when a call is placed, so that full targets don't use up turns.
			r.next.Store(start + uint64(k) + 1)
			return i
		}
	}
	return -1
}

// leastOutstanding picks the target with the fewest calls in flight. It ignores
// distance, prefix and state.
type leastOutstanding struct{ next atomic.Uint64 }

// Name returns the policy's name.
func (*leastOutstanding) Name() string { return LeastOutstanding }

// Pick returns the target with a free slot and the fewest calls in flight. The start
// of the scan rotates: otherwise the first target would get all calls of an idle pool.
func (l *leastOutstanding) Pick(req Request, targets []Target) int {
	exclude := req.Exclude
	if exclude.covers(targets) {
		exclude = nil
	}
	best, start := -1, l.next.Add(1)
	for k := range targets {
		i := int((start + uint64(k)) % uint64(len(targets)))
		t := &targets[i]
		if t.Free <= 0 || exclude.Has(t.Name) {
			continue
		}
		if best < 0 || t.InUse < targets[best].InUse {
			best = i
		}
	}
	return best
}
