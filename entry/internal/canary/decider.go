package canary

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"chivepost/share/fleet"
)

// Decider gives the grants of the roll-outs and finds their verdicts, as long as its host is
// the one that decides. It has no I/O and isn't safe for concurrent use.
type Decider struct {
	share, slack float64
	id           string // differs between deciders, also between two of one host
	services     map[string]*decision
	withdrawn    map[string]time.Time // since when a roll-out in progress has no order, by service
}

// NewDecider returns a decider that has heard of no host.
func NewDecider(id string, share, slack float64) *Decider {
	return &Decider{share: share, slack: slack, id: id, services: map[string]*decision{}, withdrawn: map[string]time.Time{}}
}

// decision is the state of a roll-out at its decider.
type decision struct {
	version   string
	since     time.Time             // when this decider heard of it
	startedAt time.Time             // when the order came, as far as any host knows
	hosts     map[string]*hostState // by name and incarnation
	evidence  Evidence              // of all hosts, as of the last tick
	wanted    []string              // routes with the least evidence
	inherited uint32                // granted by earlier deciders, as far as any host knows
	own       uint32                // granted by this one
	phase     Phase
	cutoverAt time.Time // start of the cutover
	oldGoneAt time.Time // since when there is no old target
	verdict   fleet.RolloutState
	reason    string
}

// hostState is the last report of an incarnation of a host.
type hostState struct {
	name    string
	report  Report
	at      time.Time
	granted uint32
}

// fleetSize is the number of hosts that a decider must reckon with.
type fleetSize struct {
	all   int // among which limits are divided; silent ones count for a while
	alive int // that are known to run
}

// write is a status that must be written. A final one ends a roll-out.
type write struct {
	service string
	from    fleet.RolloutStatus // on which it was decided
	status  fleet.RolloutStatus
	reason  string
	// isRewrite says that the status was in the store before it was restored from a copy.
	isRewrite bool
}

// holdsAfter reports whether the status is to be written after the one that the store has.
// One that was lost there doesn't matter; a verdict, or that of a later order, does.
func (w write) holdsAfter(known fleet.RolloutStatus) bool {
	if known == w.status {
		return false
	}
	return known == w.from || known.State == "" || known.Target == w.status.Target && !known.IsFinal()
}

// decision returns the state of the roll-out of a version, and forgets that of another one.
func (d *Decider) decision(service, version string, now time.Time) *decision {
	s := d.services[service]
	if s == nil || s.version != version {
		s = &decision{version: version, since: now, startedAt: now, hosts: map[string]*hostState{}}
		d.services[service] = s
	}
	return s
}

// handle takes over the report of an incarnation of a host and returns the reply. f must be
// the facts of the service.
func (d *Decider) handle(host string, incarnation uint64, r Report, f facts, size fleetSize, now time.Time) Reply {
	reply := Reply{Service: r.Service, Version: r.Version, By: d.id, Status: f.status, Age: r.Age}
	if f.order.Target != r.Version || f.status.Target == r.Version && f.status.IsFinal() {
		return reply // this host knows of another order, or of a verdict
	}
	s := d.decision(r.Service, r.Version, now)
	if startedAt := now.Add(-r.Age); startedAt.Before(s.startedAt) {
		s.startedAt = startedAt
	}
	key := host + "/" + strconv.FormatUint(incarnation, 36)
	h := s.hosts[key]
	if h == nil {
		h = &hostState{name: host}
		s.hosts[key] = h
	}
	h.granted = max(h.granted, r.Cap, r.Sent)
	if r.TotalBy != d.id {
		s.inherited = max(s.inherited, r.Total)
	}
	h.report, h.at = r, now
	if s.phase == PhaseTrial && f.status.Target == r.Version && s.mayGrant(size, now) {
		add := d.quota(s, h, f, now)
		h.granted += add
		s.own += add
	}
	reply.Cap, reply.Total, reply.Age = h.granted, s.inherited+s.own, now.Sub(s.startedAt)
	if s.phase == PhaseTrial || s.phase == PhaseCutover && s.hasMajority(size, now) {
		reply.Phase = s.phase
	}
	reply.Wanted = s.wanted
	return reply
}

// mayGrant reports whether this decider is the only one that may give grants.
func (s *decision) mayGrant(size fleetSize, now time.Time) bool {
	return now.Sub(s.since) >= takeoverDelay && s.hasMajority(size, now)
}

// hasMajority reports whether more than half of the hosts report to this decider. A host
// reports to one decider at a time.
func (s *decision) hasMajority(size fleetSize, now time.Time) bool {
	return 2*len(s.recent(now)) > size.all
}

// recent returns the hosts that report, by name, with their last report.
func (s *decision) recent(now time.Time) map[string]*hostState {
	out := map[string]*hostState{}
	for _, h := range s.hosts {
		if other := out[h.name]; now.Sub(h.at) < grantTTL && (other == nil || h.at.After(other.at)) {
			out[h.name] = h
		}
	}
	return out
}

// quota returns how many further requests a host is granted. Hosts get grants by their part
// of the requests, and none more while they have one left.
func (d *Decider) quota(s *decision, h *hostState, f facts, now time.Time) uint32 {
	if h.report.IsStopped || f.newTargets == 0 || h.report.Sent < h.granted {
		return 0
	}
	requests := s.requests()
	trial := cutoverAt(f.order.Duration)
	pace := min(slackAtStart+(1-slackAtStart)*float64(now.Sub(s.startedAt))/float64(max(trial, 1)), 1)
	limit := shareUsed*d.share*float64(requests) + slackUsed*d.slack*pace
	left := limit - float64(max(s.inherited+s.own, s.given()))
	if left < 1 {
		return 0
	}
	part := 0.0
	if requests > 0 {
		part = float64(h.report.Requests) / float64(requests)
	}
	return uint32(max(math.Floor(left*part), 1))
}

// given returns the requests that hosts may have sent to the version, as far as they report
// them. Those of a cutover that was broken off are more than were granted.
func (s *decision) given() (n uint32) {
	for _, h := range s.hosts {
		n += h.granted
	}
	return n
}

// requests returns the requests that reached the service.
func (s *decision) requests() (n uint32) {
	for _, h := range s.hosts {
		n += h.report.Requests
	}
	return n
}

// collect merges the evidence of all hosts.
func (s *decision) collect() {
	s.evidence = Evidence{}
	for _, h := range s.hosts {
		s.evidence.merge(h.report.Evidence)
	}
	s.wanted = s.evidence.leastShown()
}

// leastShown returns the routes with the least evidence on the new version, at most half of
// the routes, or none if all have the same.
func (e Evidence) leastShown() []string {
	names := slices.Sorted(maps.Keys(e))
	if len(names) < 2 {
		return nil
	}
	slices.SortStableFunc(names, func(a, b string) int { return int(e[a].New.Done) - int(e[b].New.Done) })
	if e[names[0]].New.Done == e[names[len(names)-1]].New.Done {
		return nil
	}
	return names[:(len(names)+1)/2]
}

// tick advances the roll-outs and returns the statuses that must be written, at most one for
// each service.
func (d *Decider) tick(all map[string]facts, size fleetSize, now time.Time) []write {
	maps.DeleteFunc(d.services, func(name string, s *decision) bool { return all[name].order.Target != s.version })
	var out []write
	for _, name := range slices.Sorted(maps.Keys(all)) {
		f := all[name]
		status, reason := d.advance(name, f, size, now)
		if status.State != "" {
			out = append(out, write{service: name, from: f.status, status: status, reason: reason})
		}
	}
	return out
}

// advance advances the roll-out of a service and returns the status to write, if any.
func (d *Decider) advance(name string, f facts, size fleetSize, now time.Time) (fleet.RolloutStatus, string) {
	target := f.order.Target
	isWithdrawn := f.status.State == fleet.RolloutInProgress && target == ""
	if !isWithdrawn {
		delete(d.withdrawn, name)
	} else if at, ok := d.withdrawn[name]; !ok {
		d.withdrawn[name] = now
		return fleet.RolloutStatus{}, ""
	} else if now.Sub(at) < orderDelay {
		return fleet.RolloutStatus{}, "" // the status may have been read before the order
	}
	if f.status.State == fleet.RolloutInProgress && f.status.Target != target {
		return fleet.RolloutStatus{Target: f.status.Target, State: fleet.RolloutRolledBack}, "the order was replaced or withdrawn"
	}
	if target == "" || f.status.Target == target && f.status.IsFinal() {
		return fleet.RolloutStatus{}, ""
	}
	if f.isInUse {
		return fleet.RolloutStatus{Target: target, State: fleet.RolloutCompleted}, "the version is in use"
	}
	if f.status.Target != target {
		return fleet.RolloutStatus{Target: target, State: fleet.RolloutInProgress}, "ordered"
	}
	s := d.decision(name, target, now)
	s.advance(f, size, now)
	return fleet.RolloutStatus{Target: target, State: s.verdict}, s.reason
}

// advance finds the phase and, when it is time, the verdict. A verdict that isn't written yet
// can only become worse.
func (s *decision) advance(f facts, size fleetSize, now time.Time) {
	s.collect()
	e := s.evidence
	age := now.Sub(s.startedAt)
	if s.verdict == fleet.RolloutRolledBack {
		return
	}
	s.verdict, s.reason = "", "" // completed holds only as long as hosts still send to the version
	if reason, ok := e.isBad(lookLevel); ok {
		s.rollBack(reason)
		return
	}
	if f.oldTargets > 0 {
		s.oldGoneAt = time.Time{}
	} else if s.oldGoneAt.IsZero() {
		s.oldGoneAt = now
	}
	switch s.phase {
	case PhaseHold:
		s.phase = PhaseTrial
	case PhaseTrial:
		if now.Sub(s.since) < takeoverDelay {
			return // a decider that takes over hasn't heard of all evidence yet
		}
		isOldGone := !s.oldGoneAt.IsZero() && now.Sub(s.oldGoneAt) >= time.Second
		if age < cutoverAt(f.order.Duration) && !isOldGone {
			return
		}
		lack := s.lack(f)
		if lack == "" && !s.hasMajority(size, now) {
			lack = "most hosts don't report"
		}
		limit := f.order.Duration - lastWrite
		if !s.hasMajority(size, now) {
			limit += lastWrite / 2 // a decider with the other hosts goes first
		}
		if reason, ok := e.isBad(finalLevel); ok {
			s.rollBack(reason)
		} else if lack == "" {
			s.phase, s.cutoverAt = PhaseCutover, now
		} else if age >= limit {
			s.rollBack(lack)
		}
	case PhaseCutover:
		switch isLast := age >= f.order.Duration-lastWrite; {
		case f.newTargets == 0:
			s.rollBack("no target of the version is left")
		case now.Sub(s.cutoverAt) < minCutover || !s.hasMajority(size, now):
		case s.isCutOver(size, now):
			s.complete("all hosts have left the old version")
		case isLast:
			s.complete("the deadline is near")
		}
	}
}

func (s *decision) rollBack(reason string) {
	s.phase, s.verdict, s.reason = PhaseHold, fleet.RolloutRolledBack, reason
}

func (s *decision) complete(reason string) {
	s.verdict, s.reason = fleet.RolloutCompleted, reason
}

// lack returns what is missing for the cutover, or nothing.
func (s *decision) lack(f facts) string {
	switch done := s.evidence.newDone(); {
	case f.newTargets == 0:
		return "the version has no targets"
	case float64(f.newTargets) < minTargetShare*float64(f.oldTargets):
		return fmt.Sprintf("the version has %d targets, the old one %d", f.newTargets, f.oldTargets)
	case done < min(minResponses, max(minBadCount, s.requests()/4)):
		return fmt.Sprintf("the version has only %d responses", done)
	}
	return ""
}

// isCutOver reports whether every host that runs sends to the new version only and has no
// requests in progress at the old one.
func (s *decision) isCutOver(size fleetSize, now time.Time) bool {
	recent := s.recent(now)
	for _, h := range recent {
		if h.at.Before(s.cutoverAt) || h.report.Phase != PhaseCutover || h.report.OldInFlight > 0 {
			return false
		}
	}
	return len(recent) >= size.alive
}
