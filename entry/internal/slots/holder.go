package slots

import (
	"context"
	"errors"
	"sync"
	"time"

	"chivepost/entry/internal/invar"
	"chivepost/share/bundle"
	"chivepost/share/hosts"
	"chivepost/share/target"
)

// The reasons for which Check refuses a call.
var (
	ErrExpired       = errors.New("the lease has expired")
	ErrRevoked       = errors.New("the slot was revoked")
	ErrDataCentreOut = errors.New("the data centre has been taken out")
	ErrTargetLeaving = errors.New("the target is leaving")
	ErrTargetBusy    = errors.New("the target wants no calls for a while")
)

// heldTarget is the holder's state of a target.
type heldTarget struct {
	doc         bundle.TargetDoc
	slots       int
	inUse       int
	leaseEnd    time.Time
	fence       uint64
	minFence    uint64 // grants with a lower fence are revoked
	revocations uint64 // count; a slot taken before the last revocation is void
	state       target.State
	boot        string
	busyUntil   time.Time // the target wants no calls before

	// Reported to the home with the next request.
	newState          target.State
	newBoot           string
	succeeded, failed int
	latencySum        time.Duration
	reportFence       bool // the home granted with a lower fence than one used before
	active            bool // whether it is in its group's list of active targets
}

// usable returns the slots under an unexpired lease.
func (t *heldTarget) usable(now time.Time) int {
	if !now.Before(t.leaseEnd) {
		return 0
	}
	return t.slots
}

// free returns the usable slots that no call uses, none while the target wants no calls.
func (t *heldTarget) free(now time.Time) int {
	if now.Before(t.busyUntil) {
		return 0
	}
	return max(0, t.usable(now)-t.inUse)
}

// dropSlots gives up all slots of the target and voids those taken by calls that
// haven't been sent yet.
func (t *heldTarget) dropSlots() {
	t.slots = 0
	t.revocations++
}

// holder tracks the slots that this host was granted and those in use. It is a
// state machine without I/O or goroutines, and its clock is that of package time.
type holder struct {
	opts    Options
	members Membership

	mu      sync.Mutex
	layout  *layout
	targets map[string]*heldTarget
	groups  map[string]*heldGroup
	pools   map[string]*demand
	seq     uint64
	changed chan struct{}
	version uint64 // incremented with each change that View shows
	views   map[string]*cachedView
}

func newHolder(opts Options, members Membership) *holder {
	return &holder{
		opts: opts, members: members,
		targets: map[string]*heldTarget{}, groups: map[string]*heldGroup{}, pools: map[string]*demand{},
		changed: make(chan struct{}), views: map[string]*cachedView{},
	}
}

// setLayout switches to a new layout and keeps the state of targets that stay.
func (h *holder) setLayout(l *layout) {
	if l == nil || l == h.layout {
		return
	}
	h.layout = l
	h.version++
	for key := range h.groups {
		if l.groups[key] == nil {
			delete(h.groups, key)
		}
	}
	for key, g := range l.groups {
		if h.groups[key] == nil {
			h.groups[key] = &heldGroup{}
		}
		h.groups[key].group, h.groups[key].active = g, nil
		for _, doc := range g.targets {
			t := h.targets[doc.Name]
			if t == nil || t.doc.Address != doc.Address {
				t = &heldTarget{}
				h.targets[doc.Name] = t
			}
			t.doc, t.active = doc, false
			h.groups[key].markActive(t)
		}
	}
	for name := range h.targets {
		if l.byTarget[name] == nil {
			delete(h.targets, name)
		}
	}
	h.rankGroups()
}

// checkTarget returns nil if the target may get new calls, or the reason why not.
func (h *holder) checkTarget(t *heldTarget) error {
	if h.layout.bundle.IsDataCentreOut(t.doc.DataCentre) {
		return ErrDataCentreOut
	}
	if t.state == target.StateLeaving || h.members.TargetState(t.doc.Name) == hosts.StateLeaving {
		return ErrTargetLeaving
	}
	return nil
}

// take takes a free slot of a target; false if there is none.
func (h *holder) take(name string, l *layout) (*Hold, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.setLayout(l)
	t := h.targets[name]
	if t == nil || t.free(now) == 0 || h.checkTarget(t) != nil {
		return nil, false
	}
	t.inUse++
	h.version++
	invar.Check(t.inUse <= t.usable(now), "slots: target %s: %d calls in flight with %d slots", name, t.inUse, t.slots)
	return &Hold{target: t, revocations: t.revocations}, true
}

// check returns nil if the call may be sent now, or the reason why not.
func (h *holder) check(hold *Hold, l *layout) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.setLayout(l)
	t := hold.target
	if err := h.checkTarget(t); err != nil {
		return err
	}
	switch {
	case hold.done || hold.revocations != t.revocations || h.targets[t.doc.Name] != t:
		return ErrRevoked
	case !time.Now().Before(t.leaseEnd):
		return ErrExpired
	case time.Now().Before(t.busyUntil):
		return ErrTargetBusy
	default:
		return nil
	}
}

// release returns a slot and records the result of its call. It reports whether
// the home must be informed at once.
func (h *holder) release(hold *Hold, res target.Result, took time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if hold.done {
		return false
	}
	hold.done = true
	t := hold.target
	t.inUse--
	h.version++
	switch {
	case res.Err == nil:
		t.succeeded++
		t.latencySum += took
	case res.Execution != target.NotExecuted && errors.Is(res.Err, context.Canceled):
		// The caller cancelled the call, which is no failure of the target.
	case res.Execution != target.NotExecuted || res.State != "":
		t.failed++
	}
	isNew := t.observe(res.State, res.Boot)
	h.pause(t, res.Pause)
	g := h.groupOf(t)
	if g != nil && g.singleUse && t.slots > t.inUse {
		// Other holders wait for the slot, so it is returned after one call.
		t.slots = t.inUse
		isNew = true
	}
	if g != nil && isNew {
		g.urgent = true
	}
	h.notify()
	return isNew
}

// pause keeps calls from a target for as long as it wants none. The caller holds the lock.
func (h *holder) pause(t *heldTarget, d time.Duration) {
	until := time.Now().Add(d)
	if d <= 0 || !until.After(t.busyUntil) {
		return
	}
	t.busyUntil = until
	time.AfterFunc(d, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.version++
		h.notify()
	})
}

// observe records the state and boot ID of an answer. It reports whether they are
// new, so that the home must be informed at once.
func (t *heldTarget) observe(state target.State, boot string) bool {
	isNew := false
	if boot != "" && boot != t.boot {
		t.busyUntil = time.Time{} // another incarnation has asked for the pause
		if t.boot != "" {
			t.dropSlots()
		}
		t.boot, t.newBoot = boot, boot
		isNew = true
	}
	if state == target.StateCold && t.state == target.StateWarm || state == target.StateLeaving && t.state != state {
		// This is the first sign of the state: the slots were granted for another one.
		t.dropSlots()
		t.state, t.newState = state, state
		isNew = true
	}
	return isNew
}

// groupOf returns the group of a target, nil if the layout no longer has it.
func (h *holder) groupOf(t *heldTarget) *heldGroup {
	if g := h.layout.byTarget[t.doc.Name]; g != nil {
		return h.groups[g.key]
	}
	return nil
}

// revoke ends all grants of a target with a fence below that of the revocation.
func (h *holder) revoke(r Revoke) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.targets[r.Target]
	if t == nil || r.Fence <= t.minFence {
		return
	}
	t.minFence = r.Fence
	if t.fence < r.Fence {
		t.dropSlots()
		t.state = r.Reason
	}
	if g := h.groupOf(t); g != nil {
		g.urgent = true
	}
	h.version++
}

// notify wakes the goroutines that wait for slots. The caller holds the lock.
func (h *holder) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// Hold is a slot taken for one call.
type Hold struct {
	controller  *Controller
	target      *heldTarget
	revocations uint64
	done        bool
}

// Check returns nil if the call may be sent now, or the reason why not. Call it
// immediately before sending, since the slot may be lost at any time.
func (h *Hold) Check() error { return h.controller.holder.check(h, h.controller.layout()) }

// Fence returns the fence to send with the call.
func (h *Hold) Fence() uint64 {
	h.controller.holder.mu.Lock()
	defer h.controller.holder.mu.Unlock()
	return h.target.fence
}

// Done returns the slot and reports the result of the call. For a call that was
// not sent, the result is a Result with only an error. Calling Done again does
// nothing.
func (h *Hold) Done(res target.Result, took time.Duration) {
	h.controller.holder.release(h, res, took)
	h.controller.wake()
}
