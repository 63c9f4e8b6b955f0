package canary

import (
	"expvar"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chivepost/entry/internal/table"
	"chivepost/share/fleet"
)

var (
	trialCount   = expvar.NewInt("rollout_trial_requests_count")
	badCount     = expvar.NewInt("rollout_bad_responses_count")
	heldCount    = expvar.NewInt("rollout_sends_held_count")
	stoppedCount = expvar.NewInt("rollout_stopped_by_host_count")
)

// Options holds the bounds and the place of a host.
type Options struct {
	Share   float64           // of a service's requests that a bad version may get
	Slack   float64           // requests that it may get in addition
	Regions map[string]string // data centre to region
	Hosts   func() int        // number of hosts among which limits are divided
}

// Gate decides which targets a request may use, and counts what they show. A nil Gate lets
// every request use every target. It is safe for concurrent use.
type Gate struct {
	opts Options

	mu       sync.Mutex
	services map[string]*service
}

// NewGate returns a gate that knows of no roll-out.
func NewGate(opts Options) *Gate { return &Gate{opts: opts, services: map[string]*service{}} }

// service returns the state of a service after observing the view. g.mu must be held.
func (g *Gate) service(view *table.View, name string, now time.Time) *service {
	s := g.services[name]
	if s == nil {
		s = newService()
		g.services[name] = s
	}
	s.observe(view.Orders[name], view.Targets[name], now)
	return s
}

// Selection holds the targets that a request may use.
type Selection struct {
	Targets []*table.Target // preferred
	Others  []*table.Target // if none of the preferred ones can take the request
}

// Select returns the targets of a service that a request on a route may use. avoidNew says
// that it must not use a version on trial, such as after it has failed elsewhere.
func (g *Gate) Select(view *table.View, name, route string, avoidNew bool, now time.Time) Selection {
	targets := view.Targets[name]
	if g == nil {
		return Selection{Targets: targets}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.service(view, name, now)
	free, trial := s.split(targets)
	switch {
	case len(trial) == 0 || s.run == nil:
		return Selection{Targets: free}
	case s.run.isCutover(now):
		return Selection{Targets: trial}
	case avoidNew || !s.run.hasGrant(now) || !s.run.isWanted(route, now):
		return Selection{Targets: free}
	}
	return Selection{Targets: g.focus(s.run.version, trial, free, now), Others: free}
}

// focus returns a part of the new targets in each region, so that each gets as many requests
// as an old one. All hosts choose the same ones.
func (g *Gate) focus(version string, trial, old []*table.Target, now time.Time) []*table.Target {
	if warm := slices.DeleteFunc(slices.Clone(trial), func(t *table.Target) bool { return t.IsCold(now) }); len(warm) > 0 {
		trial = warm
	}
	oldCount, byRegion := map[string]int{}, map[string][]*table.Target{}
	for _, t := range old {
		oldCount[g.opts.Regions[t.DataCentre]]++
	}
	for _, t := range trial {
		region := g.opts.Regions[t.DataCentre]
		byRegion[region] = append(byRegion[region], t)
	}
	rank := func(t *table.Target) uint64 { return xxhash.Sum64String(version + "\x00" + t.ID) }
	var out []*table.Target
	for region, list := range byRegion {
		slices.SortFunc(list, func(a, b *table.Target) int {
			if rank(a) < rank(b) {
				return -1
			}
			return 1
		})
		n := max(1, int(math.Round(g.opts.Share*float64(oldCount[region]))))
		out = append(out, list[:min(n, len(list))]...)
	}
	return out
}

// Use is a request at a target, from the choice of the target until its outcome.
type Use struct {
	gate    *Gate
	service *service
	run     *run // nil without a roll-out
	name    string
	route   string
	version string
	target  string
	isFirst bool
	isTrial bool // it counts towards the grant
	isDone  bool
}

// Begin records that a request was given to a target. isFirst says that no other got it
// before. It returns false if the target may not get it any more. Each Use must be ended by
// Done.
func (g *Gate) Begin(view *table.View, t *table.Target, route string, isFirst bool, now time.Time) (*Use, bool) {
	if g == nil {
		return &Use{}, true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.service(view, t.Service, now)
	if !s.mayGet(t.Version, now) {
		heldCount.Add(1)
		return nil, false
	}
	u := &Use{gate: g, service: s, run: s.run, name: t.Service, route: route, version: t.Version, target: t.ID, isFirst: isFirst}
	if s.permission(t.Version) == granted {
		if u.isTrial = true; !s.run.isCutover(now) && !s.run.hasGrant(now) {
			heldCount.Add(1)
			return nil, false
		}
		s.run.sent++
		trialCount.Add(1)
	}
	s.inFlight[t.Version]++
	return u, true
}

// Check returns ErrNotGranted if the request must not be written any more, since orders,
// grants and verdicts may have changed since Begin.
func (u *Use) Check(view *table.View, now time.Time) error {
	if u.gate == nil {
		return nil
	}
	u.gate.mu.Lock()
	defer u.gate.mu.Unlock()
	s := u.gate.service(view, u.name, now)
	if !s.mayGet(u.version, now) || u.isTrial && s.run != u.run {
		heldCount.Add(1)
		return ErrNotGranted
	}
	return nil
}

// Kind is the outcome of a request at a target, as far as it shows something of its version.
type Kind int

// The kinds of outcomes.
const (
	NotSent  Kind = iota // nothing reached the target
	Neutral              // refused without running, or broken off by the caller
	Answered             // a whole response
	Failed               // a failure, or no response in time
	Broken               // the connection broke
)

// Outcome is the outcome of a request at a target.
type Outcome struct {
	Kind      Kind
	FirstByte time.Duration // 0: none
	Gap       time.Duration // time per event; 0: unknown
	IsCold    bool          // the target was in cold start, so its times tell nothing
}

// Done records the outcome. Only the first call counts.
func (u *Use) Done(o Outcome, now time.Time) {
	if u.gate == nil || u.isDone {
		return
	}
	u.isDone = true
	g := u.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if u.service.inFlight[u.version]--; u.service.inFlight[u.version] == 0 {
		delete(u.service.inFlight, u.version)
	}
	r := u.run
	if r == nil {
		return
	}
	if o.Kind == NotSent {
		if u.isTrial {
			r.sent--
		}
		return
	}
	if u.isFirst {
		r.requests++
	}
	if o.Kind == Neutral || !r.count(u, o, now) {
		return
	}
	r.bad++
	badCount.Add(1)
	if !r.isStopped && r.isWorse(g.opts.Hosts()) {
		r.isStopped = true
		stoppedCount.Add(1)
	}
}

// IsKept reports whether a target that gets no requests by its version is still to be
// counted on for what it has made: it runs until the verdict and, if that is against its
// version, for a while after.
func (g *Gate) IsKept(view *table.View, t *table.Target, now time.Time) bool {
	if g == nil {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.service(view, t.Service, now).retired[t.Version]
}

// IsTrial reports whether the request counts towards a grant.
func (u *Use) IsTrial() bool { return u.isTrial }

// Reports returns the reports on the roll-outs that have no verdict yet.
func (g *Gate) Reports(view *table.View, now time.Time) []Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name := range view.Orders {
		g.service(view, name, now)
	}
	for name := range view.Targets {
		g.service(view, name, now)
	}
	var out []Report
	for name, s := range g.services {
		if s.run == nil || !s.isActive() {
			continue
		}
		r := s.run
		e := Evidence{}
		e.merge(r.evidence)
		phase := r.phase
		if phase == PhaseCutover && !r.isCutover(now) {
			phase = PhaseHold
		}
		out = append(out, Report{
			Service: name, Version: r.version, Age: now.Sub(r.startedAt), Requests: r.requests, Sent: r.sent, Cap: r.cap,
			Total: r.total, TotalBy: r.totalBy, Phase: phase, OldInFlight: s.oldInFlight(), IsStopped: r.isStopped,
			Status: s.status, Evidence: e,
		})
	}
	return out
}

// Apply takes over a reply of the decider to a report sent at sentAt.
func (g *Gate) Apply(reply Reply, sentAt, now time.Time) (isNews bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[reply.Service]
	if s == nil {
		return false
	}
	isNews = s.setStatus(reply.Status)
	r := s.run
	if r == nil || r.version != reply.Version {
		return isNews
	}
	if startedAt := now.Add(-reply.Age); startedAt.Before(r.startedAt) {
		r.startedAt = startedAt
	}
	if reply.Cap > r.cap {
		r.cap, r.grantedAt = reply.Cap, now
	}
	r.total, r.totalBy, r.wanted, r.phase = reply.Total, reply.By, reply.Wanted, reply.Phase
	r.grantUntil = sentAt.Add(grantTTL)
	return isNews
}

// SetStatuses takes over the statuses read from the store.
func (g *Gate) SetStatuses(statuses map[string]fleet.RolloutStatus) (news []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, status := range statuses {
		s := g.services[name]
		if s == nil {
			s = newService()
			g.services[name] = s
		}
		if s.setStatus(status) {
			news = append(news, name)
		}
	}
	return news
}

// facts are what the decider needs to know of a service besides the reports.
type facts struct {
	order      fleet.Order // zero: none
	status     fleet.RolloutStatus
	isInUse    bool // the ordered version is the one in use
	oldTargets int
	newTargets int
}

// facts returns the facts of all services that have an order or a status.
func (g *Gate) facts(view *table.View, now time.Time) map[string]facts {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string]facts{}
	for name := range view.Orders {
		g.service(view, name, now)
	}
	for name, s := range g.services {
		if s.order.Target == "" && s.status.State == "" {
			continue
		}
		f := facts{order: s.order, status: s.status, isInUse: s.order.Target != "" && s.order.Target == s.base}
		for _, t := range view.Targets[name] {
			if t.Version == s.order.Target {
				f.newTargets++
			} else if s.permission(t.Version) == allowed {
				f.oldTargets++
			}
		}
		out[name] = f
	}
	return out
}
