package route

import (
	"math"
	"sync/atomic"
	"time"
)

// spareParts sets how many slots of a target of another region must be free before
// a call goes there: one of so many. With one free slot the target is busy with
// calls of its own region, which would then go elsewhere in turn.
const spareParts = 4

// prefixPolicy keeps the calls of one prefix on one target while that target is
// not loaded above a bound, and keeps calls in their data centre and region.
type prefixPolicy struct {
	opts Options
	turn atomic.Uint64
}

// Name returns the policy's name.
func (*prefixPolicy) Name() string { return Chivepost }

// SpillWait returns the wait after which a call may go to another region.
func (p *prefixPolicy) SpillWait() time.Duration { return p.opts.SpillWait }

// Preferred returns the index of the warm target on which the prefix is likely to be
// cached: the one that ranks highest in the nearest tier, free or not. It returns
// -1 for a call without a prefix.
func (*prefixPolicy) Preferred(req Request, targets []Target) int {
	best, bestTier, bestScore := -1, Tier(tiers), uint64(0)
	if req.Prefix == 0 {
		return best
	}
	for i := range targets {
		t := &targets[i]
		if !t.isWarm() {
			continue
		}
		tier := t.tier(&req)
		if tier > bestTier {
			continue
		}
		if score := t.score(req.Prefix); tier < bestTier || score > bestScore {
			best, bestTier, bestScore = i, tier, score
		}
	}
	return best
}

// group is the targets of one tier: the load of its warm ones and the candidates
// among the free ones. Candidates are kept as index plus 1, so that 0 means none.
type group struct {
	count, load         int
	top, least, cold    int
	score               uint64
	leastLoad, coldLoad int
}

// Pick returns the warm target of the nearest tier with a free slot that ranks
// highest for the prefix and is within the bound, otherwise the least loaded
// one. Cold targets come last.
func (p *prefixPolicy) Pick(req Request, targets []Target) int {
	if req.Exclude.covers(targets) {
		req.Exclude = nil
	}
	if req.Prefix == 0 {
		// Without a prefix, a new seed per call spreads calls evenly.
		req.Prefix = p.turn.Add(1) * 0x9e3779b97f4a7c15
	}
	near := hasNear(&req, targets)
	groups := [tiers]group{}
	for i := range targets {
		t := &targets[i]
		if t.isLeaving() {
			continue
		}
		tier := t.tier(&req)
		g := &groups[tier]
		g.add(t)
		if t.mayTake(&req, tier, near) {
			g.offer(i, t, req.Prefix)
		}
	}
	farthest := TierRegion
	if !near || req.Wait >= p.opts.SpillWait {
		farthest = TierRemote
	}
	return p.choose(&req, groups[:farthest+1], targets, near)
}

// add counts a target; the load of a cold one says nothing about the warm ones.
func (g *group) add(t *Target) {
	if t.isWarm() {
		g.count++
		g.load += t.InUse
	}
}

// offer makes a free target a candidate.
func (g *group) offer(i int, t *Target, prefix uint64) {
	if !t.isWarm() {
		if g.cold == 0 || t.InUse < g.coldLoad {
			g.cold, g.coldLoad = i+1, t.InUse
		}
		return
	}
	if score := t.score(prefix); g.top == 0 || score > g.score {
		g.top, g.score = i+1, score
	}
	if g.least == 0 || t.InUse < g.leastLoad {
		g.least, g.leastLoad = i+1, t.InUse
	}
}

// choose returns the best candidate. The mean of the bound is that of the tier:
// with the mean of the pool, no target nearby would be within the bound as long as
// calls stay in their region.
func (p *prefixPolicy) choose(req *Request, groups []group, targets []Target, near bool) int {
	for tier, g := range groups {
		if g.top == 0 {
			continue
		}
		bound := int(math.Ceil(p.opts.LoadFactor * float64(g.load+1) / float64(g.count)))
		if targets[g.top-1].InUse < bound {
			return g.top - 1
		}
		if i := within(req, Tier(tier), bound, targets, near); i >= 0 {
			return i
		}
		return g.least - 1
	}
	for _, g := range groups {
		if g.cold > 0 {
			return g.cold - 1
		}
	}
	return -1
}

// within returns the free warm target of the tier and within the bound that ranks
// highest for the prefix, or -1.
func within(req *Request, tier Tier, bound int, targets []Target, near bool) int {
	best, bestScore := -1, uint64(0)
	for i := range targets {
		t := &targets[i]
		if t.InUse >= bound || !t.isWarm() || t.tier(req) != tier || !t.mayTake(req, tier, near) {
			continue
		}
		if score := t.score(req.Prefix); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// mayTake reports whether the target has a slot for the call, and a few more when
// it is in another region than the targets nearby.
func (t *Target) mayTake(req *Request, tier Tier, near bool) bool {
	if t.Free <= 0 || tier == TierRemote && near && t.Free*spareParts < t.Limit {
		return false
	}
	for _, name := range req.Exclude {
		if name == t.Name {
			return false
		}
	}
	return true
}

// hasNear reports whether the pool has targets in this region.
func hasNear(req *Request, targets []Target) bool {
	for i := range targets {
		if !targets[i].isLeaving() && targets[i].tier(req) < TierRemote {
			return true
		}
	}
	return false
}
