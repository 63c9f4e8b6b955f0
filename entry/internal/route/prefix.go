package route

import (
	"math"
	"sync/atomic"
	"time"
)

// remoteSpareDivisor is the reciprocal of the fraction of a remote target's slots that
// must be free before a call goes there. A remote target with a single free slot is
// busy with calls of its own region, which would be displaced to other regions.
const remoteSpareDivisor = 4

// prefixPolicy sends the calls of a prefix to one target by rendezvous hashing while
// the load of that target is within a bound, and keeps calls in their data centre and
// region.
type prefixPolicy struct {
	opts Options
	seed atomic.Uint64
}

// Name returns the policy's name.
func (*prefixPolicy) Name() string { return Chivepost }

// SpillWait returns the wait after which a call may go to another region.
func (p *prefixPolicy) SpillWait() time.Duration { return p.opts.SpillWait }

// Preferred returns the index of the warm target that probably has the prefix cached:
// the one with the highest score in the nearest tier, whether or not it has a free
// slot. It returns -1 for a call without a prefix or a pool without warm targets.
func (*prefixPolicy) Preferred(req Request, targets []Target) int {
	best, bestTier, bestScore := -1, Tier(tierCount), uint64(0)
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

// tierSummary holds the load of the warm targets of one tier and the candidates for a
// call. Candidates are stored as index plus 1, so that 0 means none.
type tierSummary struct {
	count, load         int
	top, least, cold    int
	score               uint64
	leastLoad, coldLoad int
}

// Pick returns, of the nearest tier that has a warm target with a free slot, the one
// with the highest score for the prefix that is within the load bound, or else the
// least loaded one. Cold targets are used only when no warm target is free.
func (p *prefixPolicy) Pick(req Request, targets []Target) int {
	if req.Exclude.covers(targets) {
		req.Exclude = nil
	}
	if req.Prefix == 0 {
		// A different seed for each call without a prefix spreads these calls evenly.
		req.Prefix = p.seed.Add(1) * 0x9e3779b97f4a7c15
	}
	near := hasNear(&req, targets)
	byTier := [tierCount]tierSummary{}
	for i := range targets {
		t := &targets[i]
		if t.isLeaving() {
			continue
		}
		tier := t.tier(&req)
		g := &byTier[tier]
		g.add(t)
		if t.mayTake(&req, tier, near) {
			g.addCandidate(i, t, req.Prefix)
		}
	}
	farthest := TierRegion
	if !near || req.Wait >= p.opts.SpillWait {
		farthest = TierRemote
	}
	return p.choose(&req, byTier[:farthest+1], targets, near)
}

// add counts the load of a warm target. Cold targets are left out, since their load
// would distort the mean of the warm ones.
func (g *tierSummary) add(t *Target) {
	if t.isWarm() {
		g.count++
		g.load += t.InUse
	}
}

// addCandidate records a target with a free slot as a candidate.
func (g *tierSummary) addCandidate(i int, t *Target, prefix uint64) {
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

// choose returns the index of the best candidate, or -1. The load bound is relative to
// the mean of the tier: relative to the mean of the pool, no nearby target would be
// within the bound as long as calls stay in their region.
func (p *prefixPolicy) choose(req *Request, byTier []tierSummary, targets []Target, near bool) int {
	for tier, g := range byTier {
		if g.top == 0 {
			continue
		}
		bound := int(math.Ceil(p.opts.LoadFactor * float64(g.load+1) / float64(g.count)))
		if targets[g.top-1].InUse < bound {
			return g.top - 1
		}
		if i := bestWithinBound(req, Tier(tier), bound, targets, near); i >= 0 {
			return i
		}
		return g.least - 1
	}
	for _, g := range byTier {
		if g.cold > 0 {
			return g.cold - 1
		}
	}
	return -1
}

// bestWithinBound returns the index of the free warm target of the tier with the highest
// score for the prefix among those within the bound, or -1.
func bestWithinBound(req *Request, tier Tier, bound int, targets []Target, near bool) int {
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

// mayTake reports whether the target has a free slot for the call and isn't excluded.
// A remote target must have a part of its slots free, not just one, when the pool has
// targets in this region.
func (t *Target) mayTake(req *Request, tier Tier, near bool) bool {
	if t.Free <= 0 || tier == TierRemote && near && t.Free*remoteSpareDivisor < t.Limit {
		return false
	}
	for _, name := range req.Exclude {
		if name == t.Name {
			return false
		}
	}
	return true
}

// hasNear reports whether any target in this region isn't leaving.
func hasNear(req *Request, targets []Target) bool {
	for i := range targets {
		if !targets[i].isLeaving() && targets[i].tier(req) < TierRemote {
			return true
		}
	}
	return false
}
