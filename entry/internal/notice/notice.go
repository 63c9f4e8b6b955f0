// Package notice keeps what targets announce of themselves in their answers: that they leave,
// or that they want no requests for a while. Each host keeps what it was told itself, so the
// board holds without the store and costs no messages.
package notice

import (
	"errors"
	"expvar"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

var (
	leavingSeen = expvar.NewInt("target_leaving_announced_count")
	busySeen    = expvar.NewInt("target_busy_announced_count")
	inherited   = expvar.NewInt("target_leaving_inherited_count")
	held        = expvar.NewInt("target_sends_held_count")
)

const (
	// lastResortShare is the part of the drain time in which a leaving target still gets the
	// requests that no other target can take. The rest covers dialling and the way there.
	lastResortShare = 0.5
	// maxTargets bounds the targets kept: several times those of the largest deployment that
	// is planned. Those that announced something first are dropped first.
	maxTargets = 8192
	// inheritDrains bounds, in drain times, how long an announcement binds an incarnation of which
	// it isn't known that it made it. The entry of a target that leaves is gone by then.
	inheritDrains = 8
)

// Reasons why a request must not be sent to a target.
var (
	ErrLeaving = errors.New("the target is leaving")
	ErrBusy    = errors.New("the target is busy")
)

// Target identifies one incarnation of a target as the caller knows it. What one incarnation
// announced doesn't bind the next one, even under the same ID. A target may have started again
// before its entry shows it, though; see Restarted.
type Target struct {
	ID          string
	StartMillis int64
}

// Notice is what one answer announces.
type Notice struct {
	Leaving bool
	Pause   time.Duration // the target wants no requests for so long; 0: not announced
}

// Status is what holds for a target at one moment.
type Status struct {
	Leaving bool      // it gets only requests that no other target can take
	Closed  bool      // it gets no requests
	Until   time.Time // when a closed target opens again; zero: never
}

// state is what a target has announced.
type state struct {
	leavingSince   time.Time // zero: not leaving
	busySince      time.Time // when busyUntil was announced
	busyUntil      time.Time
	inheritedUntil time.Time // zero: it announced itself that it leaves
	next           int64     // the start of the incarnation that follows; 0: none is known
}

// Board keeps the announcements of targets. It is safe for concurrent use.
type Board struct {
	drain      time.Duration
	lastResort time.Duration // after a target's first announcement that it leaves
	logger     logr.Logger

	mu      sync.RWMutex
	targets map[Target]state
	order   []Target // by their first announcement
}

// None is a board of targets that announce nothing.
type None struct{}

// Status returns the zero status.
func (None) Status(Target, time.Time) Status { return Status{} }

// New returns an empty board. drain is how long a target that leaves still takes requests.
func New(drain time.Duration, logger logr.Logger) *Board {
	return &Board{drain: drain, lastResort: time.Duration(lastResortShare * float64(drain)), logger: logger, targets: map[Target]state{}}
}

// Record adds what an answer of a target announced.
func (b *Board) Record(t Target, n Notice, now time.Time) {
	if !n.Leaving && n.Pause <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	t = b.newest(t)
	s := b.targets[t]
	if n.Leaving && (s.leavingSince.IsZero() || !s.inheritedUntil.IsZero() && !now.Before(s.inheritedUntil)) {
		s.leavingSince = now
		leavingSeen.Add(1)
		b.logger.Info("target leaving", "target", t.ID, "last_resort", b.lastResort.String())
	}
	if until := now.Add(n.Pause); n.Pause > 0 && until.After(s.busyUntil) {
		s.busySince, s.busyUntil = now, until
		busySeen.Add(1)
		b.logger.Info("target busy", "target", t.ID, "pause", n.Pause.String())
	}
	if n.Leaving {
		s.inheritedUntil = time.Time{}
	}
	b.put(t, s)
}

// put stores the state of a target. The caller holds b.mu.
func (b *Board) put(t Target, s state) {
	if _, isKnown := b.targets[t]; !isKnown {
		b.order = append(b.order, t)
		if len(b.order) > maxTargets {
			delete(b.targets, b.order[0])
			b.order = b.order[1:]
		}
	}
	b.targets[t] = s
}

// newest returns the newest known incarnation of a target: a caller may have chosen it before
// that was known. The caller holds b.mu.
func (b *Board) newest(t Target) Target {
	for range maxTargets {
		s := b.targets[t]
		if s.next == 0 {
			break
		}
		t.StartMillis = s.next
	}
	return t
}

// Restarted records that a target's entry shows another start than before. unseenSince is the
// time of the last reading of the entries that didn't show it yet. What the target announced
// since then may be of the new incarnation, although it was filed under the one before. It is
// taken for that, unless the new one says that it started later: a target that leaves ends after
// its drain time, and starts again later still. Clocks may differ by half of that.
func (b *Board) Restarted(id string, from, to int64, unseenSince, now time.Time) {
	if from == to {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	old, s := b.targets[Target{id, from}], b.targets[Target{id, to}]
	isUnseen := func(announced time.Time, tolerance time.Duration) bool {
		return announced.After(unseenSince) && to <= announced.Add(tolerance).UnixMilli()
	}
	limit := now.Add(inheritDrains * b.drain)
	if !old.leavingSince.IsZero() && s.leavingSince.IsZero() && isUnseen(old.leavingSince, b.lastResort) {
		s.leavingSince, s.inheritedUntil = old.leavingSince, limit
		inherited.Add(1)
		b.logger.Info("target leaving, as announced before its start was known", "target", id, "start", to)
	}
	if old.busyUntil.After(now) && isUnseen(old.busySince, 0) {
		s.busySince, s.busyUntil = old.busySince, old.busyUntil
		if limit.Before(s.busyUntil) {
			s.busyUntil = limit
		}
	}
	old.next, s.next = to, 0
	b.put(Target{id, from}, old)
	b.put(Target{id, to}, s)
}

// Status returns what holds for a target.
func (b *Board) Status(t Target, now time.Time) Status {
	b.mu.RLock()
	s := b.targets[b.newest(t)]
	b.mu.RUnlock()
	if !s.inheritedUntil.IsZero() && !now.Before(s.inheritedUntil) {
		s.leavingSince = time.Time{}
	}
	switch {
	case !s.leavingSince.IsZero() && now.Sub(s.leavingSince) >= b.lastResort:
		return Status{Leaving: true, Closed: true}
	case now.Before(s.busyUntil):
		return Status{Leaving: !s.leavingSince.IsZero(), Closed: true, Until: s.busyUntil}
	}
	return Status{Leaving: !s.leavingSince.IsZero()}
}

// Check returns nil if a request may be sent to a target now, or the reason why not. It is
// called immediately before the send, since a target may announce something after it was
// chosen.
func (b *Board) Check(t Target, now time.Time) error {
	s := b.Status(t, now)
	if !s.Closed {
		return nil
	}
	held.Add(1)
	if s.Until.IsZero() {
		return ErrLeaving
	}
	return ErrBusy
}
