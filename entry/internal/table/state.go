// Package table keeps what a host knows of the deployment: the configuration in
// force, the data centres taken out and the targets, as the platform's store
// tells them, or peers while the store can't be reached.
package table

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"chivepost/platform/feed"
	"chivepost/share/fleet"
)

const (
	// outageAfter is the time without an answer of the store after which entries
	// that it has dropped are taken for lapsed ones: three readings missed.
	outageAfter = 3 * time.Second
	// lapseHold is how long a lapsed target is kept after the store is back; live
	// targets have written themselves in again by then.
	lapseHold = 2100 * time.Millisecond
	// coldAfterReturn is how long the targets of a data centre count as cold after
	// it is brought back, until their own entries say how long they are.
	coldAfterReturn = 2 * time.Second
	// coldSlack is how far two entries may differ in when a target is warm and still
	// say the same: the ways of entries differ by less.
	coldSlack = 300 * time.Millisecond
	// maxDepartures bounds the targets that have left of which peers are told one by one.
	maxDepartures = 4096
)

// Target is a target with what the table has worked out.
type Target struct {
	fleet.Target
	ColdUntil time.Time // zero: warm

	revision int64 // of the state that brought its last change
}

// IsCold reports whether the target bears little work at a time.
func (t *Target) IsCold(now time.Time) bool { return now.Before(t.ColdUntil) }

// View is what a host knows at one moment. It is never changed.
type View struct {
	Config        *fleet.Config // nil before the first one is known
	Out           map[string]bool
	Targets       map[string][]*Target // that may get work, by service
	TargetsLoaded bool                 // the list of targets was read at least once
}

// State is the part of the table that needs no network. It isn't safe for
// concurrent use.
type State struct {
	config      *fleet.Config
	out         map[string]bool
	returned    map[string]time.Time // data centres brought back, and when
	opOffset    int64
	targets     map[string]*Target
	left        map[string]fleet.Target // last entry of targets that have left
	gone        map[string]time.Time    // lapsed targets, and when they are dropped
	targetsAt   time.Time               // last reading of the targets
	targetsNext int64
	hasTargets  bool
	returnedAt  time.Time // when the store came back after an outage
	instance    int64     // tells the revisions of two states apart
	revision    int64     // grows with each change of a target
	departed    []departure
	departedAll int64 // revision from which on departed is whole
}

// departure is a target that has left.
type departure struct {
	entry    fleet.Target
	revision int64
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		out: map[string]bool{}, returned: map[string]time.Time{}, targets: map[string]*Target{},
		left: map[string]fleet.Target{}, gone: map[string]time.Time{}, opOffset: -1, targetsNext: -1,
		instance: rand.Int64(),
	}
}

// Config returns the configuration in force, or nil.
func (s *State) Config() *fleet.Config { return s.config }

// OperatorOffset returns the offset from which operators' records are still to be read.
func (s *State) OperatorOffset() int64 { return s.opOffset }

// TargetsOffset returns the offset from which targets' records are still to be read.
func (s *State) TargetsOffset() int64 { return s.targetsNext }

// ApplyOperator takes changes in order; next is the offset of what follows. With
// whole set the changes are all that is in force. It returns what was rejected.
func (s *State) ApplyOperator(changes []feed.OperatorChange, next int64, whole bool, now time.Time) []error {
	if next < s.opOffset {
		return nil // a peer has told more already
	}
	var rejected []error
	seen := map[string]bool{}
	for _, c := range changes {
		switch {
		case c.Err != nil:
			rejected = append(rejected, c.Err)
		case c.Config != nil:
			s.adopt(c.Config)
		case c.IsOut:
			seen[c.DataCentre] = true
			s.out[c.DataCentre] = true
		default:
			s.bringBack(c.DataCentre, now)
		}
	}
	if whole {
		for dc := range s.out {
			if !seen[dc] {
				s.bringBack(dc, now)
			}
		}
	}
	s.opOffset = next
	return rejected
}

// adopt takes a configuration unless a newer one is in force: it never reverts.
func (s *State) adopt(c *fleet.Config) {
	if s.config == nil || c.Version > s.config.Version {
		s.config = c
	}
}

func (s *State) bringBack(dc string, now time.Time) {
	if s.out[dc] {
		delete(s.out, dc)
		s.returned[dc] = now
	}
}

// ApplyTargets takes changes in order; next is the offset of what follows. With
// whole set the changes are all targets that there are.
func (s *State) ApplyTargets(changes []feed.TargetChange, next int64, whole bool, now time.Time) []error {
	outage := s.hasTargets && now.Sub(s.targetsAt) > outageAfter
	if outage {
		s.returnedAt = now
	}
	s.targetsAt, s.targetsNext, s.hasTargets = now, next, true
	var rejected []error
	seen := map[string]bool{}
	for _, c := range changes {
		switch {
		case c.Err != nil:
			// An entry that can't be read names no target; one known before stands.
			rejected = append(rejected, c.Err)
			seen[c.ID] = true
		case c.Entry != nil:
			seen[c.ID] = true
			s.put(*c.Entry, now)
		default:
			s.remove(c.ID, now)
		}
	}
	if whole {
		for id := range s.targets {
			if !seen[id] {
				s.remove(id, now)
			}
		}
	}
	return rejected
}

// put takes an entry unless it is older than what is known: the store may carry
// out a write seconds late.
func (s *State) put(e fleet.Target, now time.Time) {
	if old, ok := s.targets[e.ID]; ok && isOlder(e, old.Target) {
		return
	}
	if old, ok := s.left[e.ID]; ok && (isOlder(e, old) || e.Born == old.Born && e.Sequence == old.Sequence) {
		return
	}
	t := &Target{Target: e}
	if e.Cold > 0 {
		t.ColdUntil = now.Add(e.Cold)
	}
	if old, ok := s.targets[e.ID]; ok && isAlike(t, old, now) {
		t.revision = old.revision
	} else {
		s.revision++
		t.revision = s.revision
	}
	s.targets[e.ID] = t
	delete(s.gone, e.ID)
	delete(s.left, e.ID)
}

// isAlike reports whether two entries say the same of a target but for their count.
func isAlike(a, b *Target, now time.Time) bool {
	x, y := a.Target, b.Target
	x.Sequence, y.Sequence, x.Cold, y.Cold = 0, 0, 0, 0
	return x == y && (max(a.ColdUntil.Sub(now), 0)-max(b.ColdUntil.Sub(now), 0)).Abs() < coldSlack
}

func isOlder(e, than fleet.Target) bool {
	if e.Born != than.Born {
		return e.Born < than.Born
	}
	return e.Sequence < than.Sequence
}

// remove drops a target. Just after an outage of the store a removal may only
// mean that the entry has lapsed, so it is held for a while.
func (s *State) remove(id string, now time.Time) {
	t, ok := s.targets[id]
	if !ok {
		return
	}
	if !s.returnedAt.IsZero() && now.Sub(s.returnedAt) < lapseHold && !t.Draining {
		s.gone[id] = s.returnedAt.Add(lapseHold)
		return
	}
	s.drop(id)
}

func (s *State) drop(id string) {
	if t, ok := s.targets[id]; ok {
		s.revision++
		s.departed = append(s.departed, departure{entry: t.Target, revision: s.revision})
		if n := len(s.departed) - maxDepartures; n > 0 {
			s.departedAll = s.departed[n-1].revision
			s.departed = slices.Delete(s.departed, 0, n)
		}
		s.left[id] = t.Target
		delete(s.targets, id)
		delete(s.gone, id)
	}
}

// Expire drops lapsed targets whose time is over and reports whether there were any.
func (s *State) Expire(now time.Time) bool {
	changed := false
	for id, at := range s.gone {
		if !now.Before(at) {
			s.drop(id)
			changed = true
		}
	}
	for dc, at := range s.returned {
		if now.Sub(at) > coldAfterReturn {
			delete(s.returned, dc)
			changed = true
		}
	}
	return changed
}

// View returns the state as it is now.
func (s *State) View() *View {
	v := &View{
		Config: s.config, Out: maps.Clone(s.out), Targets: map[string][]*Target{}, TargetsLoaded: s.hasTargets,
	}
	for _, t := range s.targets {
		if at, ok := s.returned[t.DataCentre]; ok && t.ColdUntil.Before(at.Add(coldAfterReturn)) {
			back := *t
			back.ColdUntil = at.Add(coldAfterReturn)
			t = &back
		}
		if !t.Draining && !s.out[t.DataCentre] {
			v.Targets[t.Service] = append(v.Targets[t.Service], t)
		}
	}
	for _, list := range v.Targets {
		slices.SortFunc(list, func(a, b *Target) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
	}
	return v
}

// Snapshot is what hosts tell each other of their tables.
type Snapshot struct {
	Config        *fleet.Config  `cbor:"config"`
	Out           []string       `cbor:"out"`
	OpOffset      int64          `cbor:"op_offset"`
	Targets       []fleet.Target `cbor:"targets"`
	TargetsOffset int64          `cbor:"targets_next"`
	Age           time.Duration  `cbor:"age"` // since the store was last read
	Mark          Mark           `cbor:"mark"`
	IsDelta       bool           `cbor:"is_delta,omitempty"` // only what has changed since the peer's mark
	Departed      []fleet.Target `cbor:"left,omitempty"`     // in a delta: targets that have left
}

// Mark names a revision of the targets as one state knows them.
type Mark struct {
	Instance int64 `cbor:"instance,omitempty"`
	Revision int64 `cbor:"revision,omitempty"`
}

// SnapshotRequest is what a peer knows already.
type SnapshotRequest struct {
	Offset  int64 `cbor:"offset"`  // of operators' records
	Version int64 `cbor:"version"` // of the configuration
	Mark    Mark  `cbor:"mark"`    // of the last snapshot that it took from this host
}

// Snapshot returns the state for a peer, without what it knows already.
func (s *State) Snapshot(ask SnapshotRequest, now time.Time) Snapshot {
	out := Snapshot{
		Out: slices.Collect(maps.Keys(s.out)), OpOffset: s.opOffset, TargetsOffset: s.targetsNext,
		Mark: Mark{Instance: s.instance, Revision: s.revision},
	}
	if s.config != nil && s.config.Version > ask.Version {
		out.Config = s.config
	}
	out.IsDelta = ask.Mark.Instance == s.instance && ask.Mark.Revision >= s.departedAll
	for _, t := range s.targets {
		if out.IsDelta && t.revision <= ask.Mark.Revision {
			continue
		}
		e := t.Target
		e.Cold = max(t.ColdUntil.Sub(now), 0)
		out.Targets = append(out.Targets, e)
	}
	if out.IsDelta {
		for _, l := range s.departed {
			if l.revision > ask.Mark.Revision {
				out.Departed = append(out.Departed, l.entry)
			}
		}
	}
	return out
}

// leave takes a target out whose last entry is known, so that late writes of older
// ones are told from news.
func (s *State) leave(last fleet.Target, now time.Time) {
	if t, ok := s.targets[last.ID]; ok {
		if isOlder(last, t.Target) {
			return
		}
		next := *t // views share the old one
		next.Target = last
		s.targets[last.ID] = &next
		s.remove(last.ID, now)
		return
	}
	if old, ok := s.left[last.ID]; !ok || isOlder(old, last) {
		s.left[last.ID] = last
	}
}

// Merge takes what a peer knows where it has read further, and reports whether
// anything changed.
func (s *State) Merge(p Snapshot, now time.Time) bool {
	changed := false
	if p.Config != nil && (s.config == nil || p.Config.Version > s.config.Version) {
		p.Config.Index()
		s.config = p.Config
		changed = true
	}
	if p.OpOffset > s.opOffset {
		out := map[string]bool{}
		for _, dc := range p.Out {
			out[dc] = true
		}
		for dc := range s.out {
			if !out[dc] {
				s.bringBack(dc, now)
			}
		}
		s.out, s.opOffset = out, p.OpOffset
		changed = true
	}
	if p.TargetsOffset > s.targetsNext {
		changes := make([]feed.TargetChange, len(p.Targets))
		for i := range p.Targets {
			changes[i] = feed.TargetChange{ID: p.Targets[i].ID, Entry: &p.Targets[i]}
		}
		for _, l := range p.Departed {
			s.leave(l, now)
		}
		s.ApplyTargets(changes, p.TargetsOffset, !p.IsDelta, now)
		changed = true
	}
	return changed
}
