package canary

import (
	"slices"
	"time"

	"chivepost/entry/internal/table"
	"chivepost/share/fleet"
)

// service is what a gate knows of a service. It is not safe for concurrent use.
type service struct {
	order     fleet.Order // zero: none
	status    fleet.RolloutStatus
	isNewBase bool                 // the status makes another version the one in use
	base      string               // version in use; empty: not known, or several
	baseMax   int                  // its most targets since the first newcomer
	newcomers map[string]time.Time // versions beside it without an order, and when they were seen
	retired   map[string]bool      // versions before the one in use
	aloneFrom time.Time            // since when all targets have a version that may get nothing
	inFlight  map[string]int       // requests in progress, by version
	run       *run                 // nil without an order

	observed   []*table.Target // the targets last observed
	observedAt time.Time
}

// observeInterval is how often the same targets are observed again, for what depends on time.
const observeInterval = 50 * time.Millisecond

func newService() *service {
	return &service{newcomers: map[string]time.Time{}, retired: map[string]bool{}, inFlight: map[string]int{}}
}

// run is a host's part in one roll-out.
type run struct {
	version   string
	startedAt time.Time // when the order came, as far as any host knows
	requests  uint32
	sent      uint32
	bad       uint32
	isStopped bool // by this host itself
	evidence  Evidence
	brokenAt  map[string]time.Time // last broken connection, by target

	phase      Phase
	cap        uint32
	total      uint32
	totalBy    string
	wanted     []string
	grantedAt  time.Time // when cap last grew
	grantUntil time.Time
}

// permission says what requests a version may get.
type permission int

const (
	allowed permission = iota
	granted            // those that the decider grants
	blocked
)

// isActive reports whether an order is in force that has no verdict yet.
func (s *service) isActive() bool {
	return s.order.Target != "" && (s.status.Target != s.order.Target || !s.status.IsFinal())
}

// isOrdered reports whether the order in force is for a version, without a verdict yet.
func (s *service) isOrdered(version string) bool { return s.isActive() && version == s.order.Target }

func (s *service) permission(version string) permission {
	switch {
	case version == s.base && version != "":
		return allowed
	case s.isOrdered(version):
		return granted
	case version == s.status.Target && s.status.State != "" && s.status.State != fleet.RolloutCompleted:
		return blocked // rolled back, or its order was replaced or withdrawn
	case s.retired[version]:
		return blocked
	case s.base == "":
		return allowed
	}
	if _, ok := s.newcomers[version]; ok {
		return blocked
	}
	return allowed
}

// setStatus takes over a status and reports whether it is news. A final one stands until
// that of another version.
func (s *service) setStatus(status fleet.RolloutStatus) bool {
	if status == s.status || status.State == "" || status.Target == s.status.Target && s.status.IsFinal() && !status.IsFinal() {
		return false
	}
	if s.order.Target != "" && s.status.Target == s.order.Target && status.Target != s.order.Target {
		return false // an earlier status, such as from a restored copy
	}
	s.status = status
	s.isNewBase = status.State == fleet.RolloutCompleted
	return true
}

// observe updates what is known of the versions from the order in force and the targets.
func (s *service) observe(order fleet.Order, targets []*table.Target, now time.Time) {
	if order == s.order && !s.isNewBase && len(targets) == len(s.observed) && (len(targets) == 0 || &targets[0] == &s.observed[0]) && now.Sub(s.observedAt) < observeInterval {
		return
	}
	s.observed, s.observedAt = targets, now
	if order.Target != s.order.Target {
		s.run = nil
		if order.Target != "" {
			s.run = &run{version: order.Target, startedAt: now, evidence: Evidence{}, brokenAt: map[string]time.Time{}}
		}
	}
	s.order = order
	counts := map[string]int{}
	for _, t := range targets {
		counts[t.Version]++
	}
	if s.isNewBase && len(counts) > 0 {
		s.isNewBase = false
		// A record of a version without targets, at a host that has just started, is history:
		// what runs now came by later releases.
		if counts[s.status.Target] > 0 || s.base != "" {
			for version := range counts {
				s.retired[version] = version != s.status.Target
			}
			if s.base != "" {
				s.retired[s.base] = s.base != s.status.Target
			}
			s.setBase(s.status.Target, counts)
			delete(s.retired, s.base)
		}
	}
	if counts[s.base] == 0 && len(counts) > 0 {
		s.findBase(counts, now)
	}
	if s.base != "" {
		s.observeNewcomers(counts, now)
	}
}

// observeNewcomers updates the versions that appear beside the one in use without an order.
func (s *service) observeNewcomers(counts map[string]int, now time.Time) {
	for version := range s.retired {
		if counts[version] == 0 {
			delete(s.retired, version) // what comes later is a release of its own
		}
	}
	if len(s.newcomers) == 0 {
		s.baseMax = 0
	}
	for version := range counts {
		if _, isKnown := s.newcomers[version]; !isKnown && version != s.base && !s.isOrdered(version) {
			s.newcomers[version] = now
		}
	}
	if len(s.newcomers) == 0 {
		return
	}
	s.baseMax = max(s.baseMax, counts[s.base])
	for version, since := range s.newcomers {
		switch {
		case counts[version] == 0 || s.isOrdered(version):
			delete(s.newcomers, version)
		case !s.isActive() && now.Sub(since) >= orderDelay && counts[s.base] < s.baseMax && !s.retired[version] && version != s.status.Target:
			s.setBase("", counts) // a plain release: targets are replaced one after the other
			return
		}
	}
}

// setBase makes a version the one in use; empty: all that aren't blocked.
func (s *service) setBase(version string, counts map[string]int) {
	s.base, s.baseMax, s.newcomers = version, counts[version], map[string]time.Time{}
}

// findBase makes the only version that needs no order the one in use. Without an order, a
// version that was blocked is used if there has been no other one for orderDelay.
func (s *service) findBase(counts map[string]int, now time.Time) {
	var free []string
	for version := range counts {
		isBlocked := s.retired[version] || version == s.status.Target && s.status.State != fleet.RolloutCompleted
		if !isBlocked && !s.isOrdered(version) {
			free = append(free, version)
		}
	}
	if len(free) > 0 || s.isActive() {
		s.aloneFrom = time.Time{}
	}
	switch {
	case len(free) == 1:
		s.setBase(free[0], counts)
	case len(free) > 1:
		s.setBase("", counts)
	case len(counts) > 1 || counts[s.order.Target] > 0: // as long as its order stands, its verdict does
	case s.aloneFrom.IsZero():
		s.aloneFrom = now
	case now.Sub(s.aloneFrom) >= orderDelay:
		for version := range counts {
			delete(s.retired, version)
			s.setBase(version, counts)
		}
		s.aloneFrom = time.Time{}
	}
}

// split returns the targets that may get any request and those of the version on trial.
func (s *service) split(targets []*table.Target) (free, trial []*table.Target) {
	permissions := map[string]permission{}
	areAllFree := true
	for _, t := range targets {
		p, ok := permissions[t.Version]
		if !ok {
			p = s.permission(t.Version)
			permissions[t.Version] = p
		}
		areAllFree = areAllFree && p == allowed
	}
	if areAllFree {
		return targets, nil
	}
	for _, t := range targets {
		switch permissions[t.Version] {
		case allowed:
			free = append(free, t)
		case granted:
			trial = append(trial, t)
		case blocked:
		}
	}
	return free, trial
}

func (r *run) isCutover(now time.Time) bool {
	return r != nil && r.phase == PhaseCutover && now.Before(r.grantUntil) && !r.isStopped
}

// hasGrant reports whether a request may be sent to the version on trial.
func (r *run) hasGrant(now time.Time) bool {
	return r.phase == PhaseTrial && !r.isStopped && r.sent < r.cap && now.Before(r.grantUntil)
}

// isWanted reports whether a grant is to be spent on a request on a route.
func (r *run) isWanted(route string, now time.Time) bool {
	return len(r.wanted) == 0 || slices.Contains(r.wanted, route) || now.Sub(r.grantedAt) >= wantedFor
}

// mayGet reports whether a version may get a request now, apart from the count of a grant.
func (s *service) mayGet(version string, now time.Time) bool {
	switch s.permission(version) {
	case allowed:
		return !s.run.isCutover(now) || s.run.version == version || !s.isActive()
	case granted:
		return s.run != nil && s.run.phase != PhaseHold && !s.run.isStopped && now.Before(s.run.grantUntil)
	}
	return false
}

// oldInFlight returns the requests in progress at targets of other versions than the ordered
// one.
func (s *service) oldInFlight() (n int) {
	for version, count := range s.inFlight {
		if version != s.order.Target {
			n += count
		}
	}
	return n
}

// isWorse reports whether this host counts so many bad responses of the new version that it
// stops sending to it by itself.
func (r *run) isWorse(hosts int) bool {
	if r.bad < max(minStopBad, (badLimit+uint32(max(hosts, 1))-1)/uint32(max(hosts, 1))) {
		return false
	}
	var oldDone, oldFailed uint32
	for _, e := range r.evidence {
		oldDone, oldFailed = oldDone+e.Old.Done, oldFailed+e.Old.Failed
	}
	done := max(r.evidence.newDone(), r.bad)
	return float64(r.bad)/float64(done) > 2*float64(oldFailed)/float64(max(oldDone, 1))
}

// count adds a response to the evidence and reports whether it is a bad one of the new
// version.
func (r *run) count(u *Use, o Outcome, now time.Time) bool {
	e := r.evidence.route(u.route)
	t := &e.Old
	if u.version == r.version {
		t = &e.New
	}
	isBad := o.Kind == Failed
	if o.Kind == Broken {
		// A crash breaks all requests of a target, and is one failure.
		last, ok := r.brokenAt[u.target]
		if isBad = !ok || now.Sub(last) > crashTime; !isBad {
			return false
		}
		r.brokenAt[u.target] = now
	}
	t.Done++
	if isBad {
		t.Failed++
	}
	if !isBad && !o.IsCold && r.phase != PhaseCutover {
		// Without the old version at work, and with caches that fill, times can't be compared.
		if o.FirstByte > 0 {
			if n := e.Old.First.count(); t == &e.New && n >= minCompared {
				isBad = int(bucketOf(o.FirstByte)) > e.Old.First.quantile(quantiles[len(quantiles)-1])+slowBuckets
			}
			t.First.add(o.FirstByte)
		}
		if o.Gap > 0 {
			t.Gap.add(o.Gap)
		}
	}
	return isBad && t == &e.New
}
