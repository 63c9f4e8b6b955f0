package pick

import (
	"expvar"
	"math"
	"slices"
	"time"

	"chivepost/share/fleet"
)

var (
	reportCount   = expvar.NewInt("target_load_reports_count")
	overflowCount = expvar.NewInt("pick_prefix_overloaded_count")
	fullCount     = expvar.NewInt("pick_near_targets_full_count")
)

const (
	// maxReportAge is how long a report is used. The requests that it counts have mostly ended
	// by then.
	maxReportAge = 3 * time.Second
	// reportDecay is the age at which the requests of other hosts in a report count 1/e: targets
	// get and end requests that the report doesn't know.
	reportDecay = time.Second
	// slowdownWindow is the time over which reported slowdowns are averaged. The figure
	// changes many times a second, and a host may get a report only once in a second.
	slowdownWindow = 3 * time.Second
	// maxReportedSlots bounds the requests in a report, in slots of the target. A target refuses
	// requests long before, so more is a false report, which must not make others seem full.
	maxReportedSlots = 4
	// firstSlowdownWeight is the weight of the first report against the usual time, since a
	// single figure of many that change says little.
	firstSlowdownWeight = 0.5
)

// report is what a target reported of its load.
type report struct {
	at       time.Time // zero: nothing was reported
	others   float64   // requests of other hosts that run and wait
	slowdown float64   // mean over slowdownWindow
}

func (r *report) isFresh(now time.Time) bool { return !r.at.IsZero() && now.Sub(r.at) < maxReportAge }

// addReport records a report that arrived now. Of the requests that it counts, those beyond
// what this host has in flight are of other hosts. A report that claims fewer says nothing.
func (h *health) addReport(r fleet.LoadReport, now time.Time) {
	old, weight := 1.0, firstSlowdownWeight
	if h.report.isFresh(now) {
		old = h.report.slowdown
		weight = 1 - math.Exp(-float64(now.Sub(h.report.at))/float64(slowdownWindow))
	}
	h.report = report{at: now, others: min(max(float64(r.Running+r.Waiting-h.inFlight), 0), maxReportedSlots*float64(max(r.Slots, 1))), slowdown: old + weight*(r.Slowdown-old)}
}

// applyReports replaces what other hosts have in flight at the candidates by what the targets
// reported, which counts less the older it is, and reports whether there are reports. The
// slowdown of a target multiplies its load, so that targets share the time of requests and
// not their number.
func (b *Balancer) applyReports(available []candidate, now time.Time) bool {
	if b.policy.ignoresReports {
		return false
	}
	// Busy targets far away say nothing of the near ones, so each distance has its own mean.
	var sums, counts [3]float64
	for i := range available {
		if r := &available[i].health.report; r.isFresh(now) {
			sums[available[i].distance] += r.others
			counts[available[i].distance]++
		}
	}
	if counts == [3]float64{} {
		return false
	}
	for i := range available {
		k, slowdown := &available[i], 1.0
		mean := sums[k.distance] / max(counts[k.distance], 1)
		others := mean
		if r := &k.health.report; r.isFresh(now) {
			trust := math.Exp(-float64(now.Sub(r.at)) / float64(reportDecay))
			others, slowdown = mean+trust*(r.others-mean), r.slowdown
			k.hasSlowdown = true
		}
		k.isHeard = k.isHeard || others > 0
		k.load = (k.own + others) * slowdown
		k.rank = (k.own + b.policy.othersWeight*others) * slowdown
	}
	return true
}

// crowdedHosts is the number of hosts from which on this host's own requests in flight may
// say little of a target's load. Deployments of up to nine hosts are below it.
const crowdedHosts = 16

// isCrowded reports whether the choice considers what other hosts have in flight, and
// chooses at random among targets with the same load: if there are many hosts, and more
// hosts than a target has slots, so that a host has less than one request at a target when
// all slots are in use.
func isCrowded(hosts, slots int) bool { return UsesOthers(hosts) && hosts > slots }

// UsesOthers reports whether the choice may consider what other hosts have in flight.
func UsesOthers(hosts int) bool { return hosts >= crowdedHosts }

// policy holds the parts of the choice that the model compares.
type policy struct {
	// othersWeight is the weight of what the other hosts have in flight in the order of the
	// targets. Their figures are about a second old and the same for all hosts, so that with
	// the full weight all hosts choose the same targets at once.
	othersWeight float64
	// boundSlack and boundFactor bound the load up to which a request goes to the target that
	// it prefers for its cache, as loadSlack and loadFactor do where the load is that of this
	// host alone. The load of all hosts is larger and less rough, so the bound is closer.
	boundSlack, boundFactor float64
	sample                  int  // number of random targets that are compared; 0: all
	isPlain, isForced       bool // as with few hosts, as with many, for comparison
	// figure, unless nil, replaces the load of a target, for comparison.
	figure         func(k *candidate, now time.Time) float64
	ignoresReports bool // for comparison
}

// defaultPolicy is the one that the figures in docs/design/target-load.md speak for.
var defaultPolicy = policy{othersWeight: 0.15, boundSlack: 1, boundFactor: 1.2}

// addOthers adds what the other hosts have in flight at a candidate.
func (b *Balancer) addOthers(k *candidate, now time.Time) {
	others := 0.0
	if b.opts.Others != nil {
		others = b.opts.Others.InFlight(k.target.ID, now)
	}
	k.isHeard = others > 0
	k.load += others
	k.rank += b.policy.othersWeight * others
	if b.policy.figure != nil {
		k.load = b.policy.figure(k, now)
		k.rank = k.load
	}
}

// least returns the candidate with the least rank. If random is true, it is one of those
// with the same rank by chance. Without that all hosts prefer the target that they list
// first whenever they have no request at several ones.
func (b *Balancer) least(near []candidate, random bool) candidate {
	if !random {
		return slices.MinFunc(near, byLoad)
	}
	start := b.rng.IntN(len(near))
	best := near[start]
	for i := 1; i < len(near) && b.policy.sample == 0; i++ {
		if k := near[(start+i)%len(near)]; k.rank < best.rank {
			best = k
		}
	}
	for i := 1; i < b.policy.sample; i++ {
		if k := near[b.rng.IntN(len(near))]; k.rank < best.rank {
			best = k
		}
	}
	return best
}

// affinityBound returns the load up to which a request goes to the target that it prefers for
// its cache.
func (b *Balancer) affinityBound(mean float64, isHeard bool) float64 {
	if isHeard {
		return b.policy.boundSlack + b.policy.boundFactor*mean
	}
	return loadSlack + loadFactor*mean
}

// isFull reports whether requests go to targets further away than k, which has the least
// load of its distance. Slots are shared with other hosts, so a host fills no more than half
// of them alone, and none beyond those that are in use as far as it knows.
func isFull(k candidate, slots int, isCrowded bool) bool {
	half := max(float64(slots)/2, 2)
	if !isCrowded {
		return k.load > half
	}
	return k.own > half || k.load > max(float64(slots), half)
}

// InFlight returns this host's requests in flight by target.
func (b *Balancer) InFlight() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]int{}
	for id, h := range b.targets {
		if h.inFlight > 0 {
			out[id] = h.inFlight
		}
	}
	return out
}

// Report records the load that the target reported in a response.
func (c *Chosen) Report(r fleet.LoadReport, now time.Time) {
	c.balancer.mu.Lock()
	defer c.balancer.mu.Unlock()
	c.balancer.health(c.ID).addReport(r, now)
	reportCount.Add(1)
}
