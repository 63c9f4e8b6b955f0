package route

import (
	"math"
	"sync/atomic"
	"time"
)

// Tiers of targets by distance.
const (
	tierDataCentre = iota
	tierRegion
	tierOther
	tiers
)

// spareParts sets how many slots of a target of another region must be free before
// a call goes there: one of so many. With one free slot the target is busy with
// calls of its own region, which would then go elsewhere in turn.
const spareParts = 8

// prefixPolicy keeps the calls of one prefix on one target while that target is
// not loaded above a bound, and keeps calls in their data centre and region.
type prefixPolicy struct {
	opts Options
	turn atomic.Uint64
}

// Name returns the policy's name.
func (*prefixPolicy) Name() string { return Chivepost }

// SpillWait returns the wait after which a call may go to another region.
func (p *prefixPolicy) SpillWait() time.Duration { return p.opts.LinkCost }

// Home returns the index of the warm target on which the prefix is likely to be
// cached: the one that ranks highest in the nearest tier, free or not. It returns
// -1 for a call without a prefix.
func (*prefixPolicy) Home(req Request, targets []Target) int {
	best, bestTier, bestScore := -1, tiers, uint64(0)
	if req.Prefix == 0 {
		return best
	}
	for i := range targets {
		t := &targets[i]
		if !t.isWarm() {
			continue
		}
		tier, score := tierOf(&req, t), t.score(req.Prefix)
		if tier < bestTier || tier == bestTier && score > bestScore {
			best, bestTier, bestScore = i, tier, score
		}
	}
	return best
}

// choice is the best target of one tier so far.
type choice struct {
	within, least, cold int
	score               uint64
	leastLoad, coldLoad int
}

// Pick returns the warm target of the nearest tier with a free slot that ranks
// highest for the prefix and is within the bound, otherwise the least loaded
// one. Cold targets come last.
func (p *prefixPolicy) Pick(req Request, targets []Target) int {
	bounds, near := p.bounds(req, targets)
	exclude := req.Exclude
	if exclude.covers(targets) {
		exclude = nil
	}
	prefix := req.Prefix
	if prefix == 0 {
		// Without a prefix, a new seed per call spreads calls evenly.
		prefix = p.turn.Add(1) * 0x9e3779b97f4a7c15
	}
	best := [tiers]choice{}
	for i := range best {
		best[i] = choice{within: -1, least: -1, cold: -1}
	}
	for i := range targets {
		t := &targets[i]
		if t.Free <= 0 || t.isLeaving() || exclude.Has(t.Name) {
			continue
		}
		tier := tierOf(&req, t)
		if tier == tierOther && near && t.Free*spareParts < t.Limit {
			continue
		}
		best[tier].add(i, t, bounds[tier], t.score(prefix))
	}
	farthest := tierRegion
	if req.Wait >= p.opts.LinkCost || !near {
		farthest = tierOther
	}
	return pickTier(best[:farthest+1])
}

func (c *choice) add(i int, t *Target, bound int, score uint64) {
	if !t.isWarm() {
		if c.cold < 0 || t.InUse < c.coldLoad {
			c.cold, c.coldLoad = i, t.InUse
		}
		return
	}
	if t.InUse < bound && (c.within < 0 || score > c.score) {
		c.within, c.score = i, score
	}
	if c.least < 0 || t.InUse < c.leastLoad {
		c.least, c.leastLoad = i, t.InUse
	}
}

func pickTier(best []choice) int {
	for _, c := range best {
		if c.within >= 0 {
			return c.within
		}
		if c.least >= 0 {
			return c.least
		}
	}
	for _, c := range best {
		if c.cold >= 0 {
			return c.cold
		}
	}
	return -1
}

// bounds returns, per tier, the load that a warm target may reach, and whether
// the pool has a target in this region. The mean is that of the tier: with the
// mean of the pool, no target nearby would be within the bound as long as calls
// stay in their region.
func (p *prefixPolicy) bounds(req Request, targets []Target) (bounds [tiers]int, near bool) {
	var count, load [tiers]int
	for i := range targets {
		t := &targets[i]
		if t.isLeaving() {
			continue
		}
		tier := tierOf(&req, t)
		near = near || tier != tierOther
		if t.isWarm() {
			count[tier]++
			load[tier] += t.InUse
		}
	}
	for i := range bounds {
		if count[i] > 0 {
			bounds[i] = int(math.Ceil(p.opts.Bound * float64(load[i]+1) / float64(count[i])))
		}
	}
	return bounds, near
}

func tierOf(req *Request, t *Target) int {
	switch {
	case t.DataCentre == req.DataCentre:
		return tierDataCentre
	case t.Region == req.Region:
		return tierRegion
	default:
		return tierOther
	}
}
