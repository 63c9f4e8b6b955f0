// Package table keeps a host's view of the deployment: the configuration in force, the
// data centres taken out and the targets. It reads them from the platform's store, or from
// peers while the store can't be reached.
package table

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"chivepost/platform/feed"
	"chivepost/share/fleet"
)

const (
	// outageAfter is the time without a successful read after which entries missing from
	// the store count as expired during an outage, not as removed: three missed reads.
	outageAfter = 3 * time.Second
	// expiryHold is how long an expired target is kept after the store is back. Live targets
	// have rewritten their entries by then.
	expiryHold = 2100 * time.Millisecond
	// coldAfterRestore is how long the targets of a data centre count as cold after it is
	// brought back, until their own entries report it.
	coldAfterRestore = 2 * time.Second
	// coldTolerance is the difference up to which the cold times of two entries count as
	// equal. The delays with which entries reach a host differ by less.
	coldTolerance = 300 * time.Millisecond
	// A target's entry that seems older than the known one displaces it if contenderEntries of
	// them, each newer than the one before, come over contenderPeriod, while nothing confirms
	// the known one: that came from another writer. The store carries out writes at most 6 s
	// late, so late ones of an earlier process end before.
	contenderEntries = 4
	contenderPeriod  = 6500 * time.Millisecond
	// maxDepartures bounds the departed targets that deltas for peers can list.
	maxDepartures = 4096
)

// Target is a target's entry with state derived by the table.
type Target struct {
	fleet.Target
	ColdUntil time.Time // zero: warm

	revision int64 // State.revision of its last change
}

// IsCold reports whether the target is still cold, so that it takes requests only at a
// limited rate.
func (t *Target) IsCold(now time.Time) bool { return now.Before(t.ColdUntil) }

// View is a host's immutable view of the deployment at one moment.
type View struct {
	Config        *fleet.Config // nil before the first one is known
	Out           map[string]bool
	Targets       map[string][]*Target   // by service; without draining ones and data centres that are out
	TargetsLoaded bool                   // the targets were read at least once
	Orders        map[string]fleet.Order // roll-outs by service
}

// State is the table without its I/O. It isn't safe for concurrent use.
type State struct {
	logger         logr.Logger // the zero value discards
	config         *fleet.Config
	out            map[string]bool
	restored       map[string]time.Time   // when a data centre was brought back, while its targets count as cold
	orders         map[string]fleet.Order // roll-outs by service
	operatorOffset int64
	targets        map[string]*Target
	lastEntries    map[string]fleet.Target // last entry of each departed target
	contenders     map[string]contender    // entries that seem older than the known ones, by target
	displacing     map[string]bool         // targets whose entry displaced one that seemed newer
	expiring       map[string]time.Time    // when an expired target is dropped
	targetsReadAt  time.Time               // of the last read of the targets, by this host or by a peer for it
	readBefore     time.Time               // of the read before that one
	onRestart      RestartFunc             // nil: nobody asks
	targetsOffset  int64
	targetsLoaded  bool
	storeBackAt    time.Time // when the store was first read after the last outage
	instance       int64     // random; distinguishes the revisions of different states
	revision       int64     // incremented with each change of a target
	departures     []departure
	departuresFrom int64 // revision after which departures is complete
	restoreState
}

// contender is the last of a series of entries that seem older than the known one.
type contender struct {
	entry fleet.Target
	since time.Time
	count int
}

// departure is a departed target and the revision of its departure.
type departure struct {
	entry    fleet.Target
	revision int64
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		out: map[string]bool{}, orders: map[string]fleet.Order{}, restored: map[string]time.Time{}, targets: map[string]*Target{},
		lastEntries: map[string]fleet.Target{}, contenders: map[string]contender{}, displacing: map[string]bool{}, expiring: map[string]time.Time{}, operatorOffset: -1, targetsOffset: -1,
		instance: rand.Int64(), restoreState: restoreState{held: map[string]bool{}},
	}
}

// Config returns the configuration in force, or nil.
func (s *State) Config() *fleet.Config { return s.config }

// OperatorOffset returns the offset from which operators' records are still to be read.
func (s *State) OperatorOffset() int64 { return s.operatorOffset }

// TargetsOffset returns the offset from which targets' records are still to be read.
func (s *State) TargetsOffset() int64 { return s.targetsOffset }

// ApplyOperator applies changes in order; next is the offset that follows them. With
// isFull set the changes are complete: other data centres aren't out. It returns the
// errors of records that were rejected.
func (s *State) ApplyOperator(changes []feed.OperatorChange, next int64, isFull bool, now time.Time) []error {
	if next < s.operatorOffset {
		return nil // a merged snapshot of a peer is newer
	}
	var rejected []error
	seen, ordered := map[string]bool{}, map[string]bool{}
	for _, c := range changes {
		switch {
		case c.Err != nil:
			rejected = append(rejected, c.Err)
			ordered[c.Rollout] = true // the order that is known stays in force
		case c.Order != nil:
			ordered[c.Rollout] = true
			s.orders[c.Rollout] = *c.Order
			if !isFull {
				delete(s.heldOrders, c.Rollout)
			}
		case c.Rollout != "":
			delete(s.orders, c.Rollout)
			delete(s.heldOrders, c.Rollout)
		case c.Config != nil:
			s.adoptConfig(c.Config)
		case c.IsOut:
			seen[c.DataCentre] = true
			s.out[c.DataCentre] = true
			delete(s.held, c.DataCentre)
		default:
			s.restore(c.DataCentre, now)
		}
	}
	if isFull {
		for dc := range s.out {
			if !seen[dc] && !s.held[dc] {
				s.restore(dc, now)
			}
		}
		maps.DeleteFunc(s.orders, func(service string, _ fleet.Order) bool { return !ordered[service] })
		s.holdOrders()
	}
	s.operatorOffset = next
	s.startHold(now)
	return rejected
}

// adoptConfig puts a configuration in force unless that would be a step back to an older
// version.
func (s *State) adoptConfig(c *fleet.Config) {
	if s.config == nil || c.Version > s.config.Version {
		s.config = c
	}
}

// restore brings back a data centre that is out.
func (s *State) restore(dc string, now time.Time) {
	delete(s.held, dc)
	if s.out[dc] {
		delete(s.out, dc)
		s.restored[dc] = now
	}
}

// ApplyTargets applies changes in order; next is the offset that follows them. With isFull
// set the changes are complete: other targets are removed. It returns the errors of
// records that were rejected.
func (s *State) ApplyTargets(changes []feed.TargetChange, next int64, isFull bool, now time.Time) []error {
	s.recordTargetsRead(now, now)
	return s.applyTargets(changes, next, isFull, now)
}

func (s *State) applyTargets(changes []feed.TargetChange, next int64, isFull bool, now time.Time) []error {
	s.targetsOffset, s.targetsLoaded = next, true
	if s.awaitsTargets {
		// The copy may lack the entry of a target that runs.
		s.awaitsTargets, s.storeBackAt = false, now
	}
	var rejected []error
	seen := map[string]bool{}
	for _, c := range changes {
		switch {
		case c.Err != nil:
			// An unreadable entry adds no target and doesn't remove a known one.
			rejected = append(rejected, c.Err)
			seen[c.ID] = true
		case c.Entry != nil:
			seen[c.ID] = true
			s.putTarget(*c.Entry, now)
		default:
			s.remove(c.ID, now)
		}
	}
	if isFull {
		for id := range s.targets {
			if !seen[id] {
				s.remove(id, now)
			}
		}
	}
	return rejected
}

// recordTargetsRead records that the known targets are those of the store as of readAt, and
// detects the end of an outage.
func (s *State) recordTargetsRead(readAt, now time.Time) {
	gap := readAt.Sub(s.targetsReadAt)
	if s.targetsLoaded && gap > outageAfter {
		s.storeBackAt = now
		s.logger.Info("targets read again after an outage", "outage", gap.String(), "hold", expiryHold.String())
	}
	if gap > 0 {
		s.readBefore, s.targetsReadAt = s.targetsReadAt, readAt
	}
}

// putTarget stores an entry unless it is older than the known one. The store may carry out
// a write seconds late.
func (s *State) putTarget(e fleet.Target, now time.Time) {
	if old, ok := s.targets[e.ID]; ok && (isOlder(e, old.Target) || s.isForeign(e, old.Target)) && !s.displaces(e, now) {
		if e.Draining && e.StartMillis == old.StartMillis && !s.isForeign(e, old.Target) {
			s.setDraining(old) // a process that leaves never returns to service
		}
		return
	}
	if old, ok := s.lastEntries[e.ID]; ok && (isOlder(e, old) || e.StartMillis == old.StartMillis && e.Sequence == old.Sequence) && !s.displaces(e, now) {
		return
	}
	delete(s.contenders, e.ID)
	t := &Target{Target: e}
	if e.ColdRemaining > 0 {
		t.ColdUntil = now.Add(e.ColdRemaining)
	}
	s.noteStart(e, now)
	old, ok := s.targets[e.ID]
	if ok && isSameEntry(t, old, now) {
		t.revision = old.revision
	} else {
		s.revision++
		t.revision = s.revision
	}
	if ok && e.Draining && !old.Draining {
		s.logDraining(t)
	}
	s.targets[e.ID] = t
	delete(s.expiring, e.ID)
	delete(s.lastEntries, e.ID)
}

// RestartFunc is told that the entry of a target shows another start than before, and the time
// of the last reading that didn't show it.
type RestartFunc func(id string, from, to int64, unseenSince, now time.Time)

// noteStart tells onRestart if an entry shows another start of its target than the known one.
func (s *State) noteStart(e fleet.Target, now time.Time) {
	before, ok := s.lastEntries[e.ID]
	if t := s.targets[e.ID]; t != nil {
		before, ok = t.Target, true
	}
	if ok && before.StartMillis != e.StartMillis && s.onRestart != nil {
		s.onRestart(e.ID, before.StartMillis, e.StartMillis, s.readBefore, now)
	}
}

// displaces records an entry that seems older than the known one, and reports whether it
// takes that one's place.
func (s *State) displaces(e fleet.Target, now time.Time) bool {
	c, ok := s.contenders[e.ID]
	if !ok || c.entry.StartMillis != e.StartMillis || c.entry.Sequence >= e.Sequence {
		c = contender{since: now}
	}
	c.entry, c.count = e, c.count+1
	s.contenders[e.ID] = c
	if c.count < contenderEntries || now.Sub(c.since) < contenderPeriod {
		return false
	}
	s.displacing[e.ID] = true
	return true
}

// displaceFor forgets what a peer's entry displaced there, so that it does so here too.
func (s *State) displaceFor(id string) {
	s.displacing[id] = true
	delete(s.lastEntries, id)
	delete(s.targets, id)
}

// setDraining replaces a target by a copy that is draining, because views share the old one.
func (s *State) setDraining(old *Target) {
	if old.Draining {
		return
	}
	s.revision++
	t := *old
	t.Draining, t.revision = true, s.revision
	s.targets[t.ID] = &t
	s.logDraining(&t)
}

func (s *State) logDraining(t *Target) {
	s.logger.Info("target draining", "target", t.ID, "service", t.Service, "offset", s.targetsOffset)
}

// isSameEntry reports whether two entries differ in nothing but their sequence and, within
// coldTolerance, their cold time.
func isSameEntry(a, b *Target, now time.Time) bool {
	x, y := a.Target, b.Target
	x.Sequence, y.Sequence, x.ColdRemaining, y.ColdRemaining = 0, 0, 0, 0
	return x == y && (max(a.ColdUntil.Sub(now), 0)-max(b.ColdUntil.Sub(now), 0)).Abs() < coldTolerance
}

// isOlder reports whether e is from an earlier process of the target than the other entry,
// or from the same process with a lower sequence.
func isOlder(e, than fleet.Target) bool {
	if e.StartMillis != than.StartMillis {
		return e.StartMillis < than.StartMillis
	}
	return e.Sequence < than.Sequence
}

// isForeign reports whether an entry comes from another writer than the known one: a process
// serves one service from its start to its end, and no target is of a service that isn't
// configured, while the known one is.
func (s *State) isForeign(e, known fleet.Target) bool {
	if e.Service == known.Service {
		return false
	}
	if e.StartMillis == known.StartMillis && e.StartMillis != 0 {
		return true
	}
	return s.config != nil && !s.isConfigured(e.Service) && s.isConfigured(known.Service)
}

func (s *State) isConfigured(service string) bool {
	_, ok := s.config.Services[service]
	return ok
}

// remove drops a target. Just after an outage of the store a missing entry may only have
// expired, so the target is then kept until expiryHold is over.
func (s *State) remove(id string, now time.Time) {
	t, ok := s.targets[id]
	if !ok {
		return
	}
	if !s.storeBackAt.IsZero() && now.Sub(s.storeBackAt) < expiryHold && !t.Draining {
		_, wasHeld := s.expiring[id]
		s.expiring[id] = s.storeBackAt.Add(expiryHold)
		if !wasHeld {
			s.logger.Info("missing target held", "target", id, "service", t.Service, "for", s.expiring[id].Sub(now).String())
		}
		return
	}
	s.drop(id)
}

// drop removes a target and keeps its last entry, to list it in deltas and to detect late
// writes.
func (s *State) drop(id string) {
	if t, ok := s.targets[id]; ok {
		s.revision++
		s.departures = append(s.departures, departure{entry: t.Target, revision: s.revision})
		if n := len(s.departures) - maxDepartures; n > 0 {
			s.departuresFrom = s.departures[n-1].revision
			s.departures = slices.Delete(s.departures, 0, n)
		}
		_, wasHeld := s.expiring[id]
		s.logger.Info("target departed", "target", id, "service", t.Service, "was_draining", t.Draining, "was_held", wasHeld, "offset", s.targetsOffset)
		s.lastEntries[id] = t.Target
		delete(s.targets, id)
		delete(s.expiring, id)
		delete(s.displacing, id)
	}
}

// Expire drops expired targets and ends the cold time of restored data centres when they
// are due, and reports whether there were any.
func (s *State) Expire(now time.Time) bool {
	changed := false
	for id, at := range s.expiring {
		if !now.Before(at) {
			s.drop(id)
			changed = true
		}
	}
	for dc, at := range s.restored {
		if now.Sub(at) > coldAfterRestore {
			delete(s.restored, dc)
			changed = true
		}
	}
	return changed
}

// View returns a view of the current state.
func (s *State) View() *View {
	v := &View{
		Config: s.config, Out: maps.Clone(s.out), Targets: map[string][]*Target{}, TargetsLoaded: s.targetsLoaded,
		Orders: maps.Clone(s.orders),
	}
	for _, t := range s.targets {
		if at, ok := s.restored[t.DataCentre]; ok && t.ColdUntil.Before(at.Add(coldAfterRestore)) {
			cold := *t
			cold.ColdUntil = at.Add(coldAfterRestore)
			t = &cold
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

// Snapshot is the table of a host as it is sent to a peer.
type Snapshot struct {
	Config        *fleet.Config  `cbor:"config"`
	Out           []string       `cbor:"out"`
	Orders        []fleet.Order  `cbor:"orders,omitempty"` // of roll-outs
	OpOffset      int64          `cbor:"op_offset"`
	Targets       []fleet.Target `cbor:"targets"`
	TargetsOffset int64          `cbor:"targets_next"`
	Age           time.Duration  `cbor:"age"`         // since the peer last read both feeds of the store
	TargetsAge    time.Duration  `cbor:"targets_age"` // since the targets were read from the store, by the peer or for it
	Mark          Mark           `cbor:"mark"`
	IsDelta       bool           `cbor:"is_delta,omitempty"`   // holds only targets changed since the requested mark
	Departed      []fleet.Target `cbor:"left,omitempty"`       // last entries of targets departed since then
	Displacing    []string       `cbor:"displacing,omitempty"` // of Targets, those that displaced entries that seem newer
	Era           feed.Era       `cbor:"era,omitempty"`        // to which both offsets belong; 0 if unknown
	Held          []string       `cbor:"held,omitempty"`       // of Out, those that the records of the era don't name
}

// Mark identifies a revision of the targets in one State.
type Mark struct {
	Instance int64 `cbor:"instance,omitempty"`
	Revision int64 `cbor:"revision,omitempty"`
}

// SnapshotRequest describes what the requesting host knows already.
type SnapshotRequest struct {
	Offset  int64 `cbor:"offset"`  // of the operators' records
	Version int64 `cbor:"version"` // of the configuration
	Mark    Mark  `cbor:"mark"`    // of the last snapshot that it got from this host
	// IsFirst says that the host doesn't follow the peer yet, which answers at once.
	IsFirst bool     `cbor:"first,omitempty"`
	Era     feed.Era `cbor:"era,omitempty"` // of the offset
}

// Snapshot returns the state for a peer. The configuration is left out if the peer has it,
// and the targets are a delta if the peer's mark is recent enough.
func (s *State) Snapshot(req SnapshotRequest, now time.Time) Snapshot {
	out := Snapshot{
		Out: slices.Collect(maps.Keys(s.out)), Orders: slices.Collect(maps.Values(s.orders)), OpOffset: s.operatorOffset, TargetsOffset: s.targetsOffset,
		TargetsAge: now.Sub(s.targetsReadAt), Mark: Mark{Instance: s.instance, Revision: s.revision},
		Era: s.era, Held: slices.Collect(maps.Keys(s.held)),
	}
	if s.config != nil && s.config.Version > req.Version {
		out.Config = s.config
	}
	out.IsDelta = req.Mark.Instance == s.instance && req.Mark.Revision >= s.departuresFrom
	for _, t := range s.targets {
		if out.IsDelta && t.revision <= req.Mark.Revision {
			continue
		}
		e := t.Target
		e.ColdRemaining = max(t.ColdUntil.Sub(now), 0)
		out.Targets = append(out.Targets, e)
		if s.displacing[e.ID] {
			out.Displacing = append(out.Displacing, e.ID)
		}
	}
	if out.IsDelta {
		for _, d := range s.departures {
			if d.revision > req.Mark.Revision {
				out.Departed = append(out.Departed, d.entry)
			}
		}
	}
	return out
}

// recordDeparture removes a target that a peer reports as departed and keeps its last
// entry, so that late writes of older entries are ignored.
func (s *State) recordDeparture(last fleet.Target, now time.Time) {
	if t, ok := s.targets[last.ID]; ok {
		if isOlder(last, t.Target) {
			return
		}
		s.noteStart(last, now)
		next := *t // a copy, because views share the old one
		next.Target = last
		s.targets[last.ID] = &next
		s.remove(last.ID, now)
		return
	}
	if old, ok := s.lastEntries[last.ID]; !ok || isOlder(old, last) {
		s.lastEntries[last.ID] = last
	}
}

// Merge applies those parts of a peer's snapshot that are newer, and reports whether
// anything changed.
func (s *State) Merge(p Snapshot, now time.Time) bool {
	changed := s.LearnEra(p.Era)
	if p.Config != nil && (s.config == nil || p.Config.Version > s.config.Version) {
		p.Config.Index()
		s.config = p.Config
		changed = true
	}
	if s.isOutdated(p.Era) {
		return s.holdOut(p.Out, now) || changed
	}
	if p.OpOffset == s.operatorOffset {
		changed = s.holdOut(p.Held, now) || changed
	}
	if p.OpOffset > s.operatorOffset {
		out := map[string]bool{}
		for _, dc := range p.Out {
			out[dc] = true
		}
		s.mergeHeld(out, p.Held, now)
		for dc := range s.out {
			if !out[dc] {
				s.restore(dc, now)
			}
		}
		s.orders = map[string]fleet.Order{}
		for _, o := range p.Orders {
			s.orders[o.Service] = o
		}
		s.holdOrders()
		s.out, s.operatorOffset = out, p.OpOffset
		s.startHold(now)
		changed = true
	}
	if p.TargetsOffset >= s.targetsOffset {
		// Without changes, too, the peer's read confirms what is known.
		s.recordTargetsRead(now.Add(-max(p.TargetsAge, 0)), now)
	}
	if p.TargetsOffset > s.targetsOffset {
		changes := make([]feed.TargetChange, len(p.Targets))
		for i := range p.Targets {
			changes[i] = feed.TargetChange{ID: p.Targets[i].ID, Entry: &p.Targets[i]}
		}
		for _, last := range p.Departed {
			s.recordDeparture(last, now)
		}
		for i := range p.Targets {
			if e := p.Targets[i]; slices.Contains(p.Displacing, e.ID) && !s.displacing[e.ID] {
				s.displaceFor(e.ID)
			}
		}
		s.applyTargets(changes, p.TargetsOffset, !p.IsDelta, now)
		changed = true
	}
	return changed
}
