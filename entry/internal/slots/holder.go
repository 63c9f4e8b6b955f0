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

// The reasons for which a call must not be sent.
var (
	ErrExpired       = errors.New("the lease has expired")
	ErrRevoked       = errors.New("the slot was revoked")
	ErrDataCentreOut = errors.New("the data centre has been taken out")
	ErrTargetLeaving = errors.New("the target is leaving")
)

// heldTarget is a target as a holder sees it.
type heldTarget struct {
	doc     bundle.TargetDoc
	slots   int
	inUse   int
	until   time.Time // end of the lease
	fence   uint64
	least   uint64 // grants with a lower fence were revoked
	revoked uint64 // number of revocations; a slot taken before one is void
	state   target.State
	boot    string

	// What the next ask tells the home.
	newState  target.State
	newBoot   string
	good, bad int
	took      time.Duration
	tellFence bool // the home gave a lower fence than one used before
	live      bool // whether it is in its group's live
}

// usable returns the slots under an unexpired lease.
func (t *heldTarget) usable(now time.Time) int {
	if !now.Before(t.until) {
		return 0
	}
	return t.slots
}

func (t *heldTarget) free(now time.Time) int { return max(0, t.usable(now)-t.inUse) }

// drop gives up all slots of the target that no call uses.
func (t *heldTarget) drop() {
	t.slots = 0
	t.revoked++
}

// holder keeps what this host was granted and has in use. It is a plain state
// machine; the time is that of package time.
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
	version uint64 // grows with each change that a View shows
	views   map[string]*cachedView
}

func newHolder(opts Options, members Membership) *holder {
	return &holder{
		opts: opts, members: members,
		targets: map[string]*heldTarget{}, groups: map[string]*heldGroup{}, pools: map[string]*demand{},
		changed: make(chan struct{}), views: map[string]*cachedView{},
	}
}

// sync takes a new layout over.
func (h *holder) sync(l *layout) {
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
		h.groups[key].group, h.groups[key].live = g, nil
		for _, doc := range g.targets {
			t := h.targets[doc.Name]
			if t == nil || t.doc.Address != doc.Address {
				t = &heldTarget{}
				h.targets[doc.Name] = t
			}
			t.doc, t.live = doc, false
			h.groups[key].keepLive(t)
		}
	}
	for name := range h.targets {
		if l.of[name] == nil {
			delete(h.targets, name)
		}
	}
	h.rankGroups()
}

// barred returns why a target must get no new calls.
func (h *holder) barred(t *heldTarget) error {
	if h.layout.bundle.IsOut(t.doc.DataCentre) {
		return ErrDataCentreOut
	}
	if t.state == target.StateLeaving || h.members.TargetState(t.doc.Name) == hosts.StateLeaving {
		return ErrTargetLeaving
	}
	return nil
}

// take takes a free slot.
func (h *holder) take(name string, l *layout) (*Hold, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.sync(l)
	t := h.targets[name]
	if t == nil || t.free(now) == 0 || h.barred(t) != nil {
		return nil, false
	}
	t.inUse++
	h.version++
	invar.Check(t.inUse <= t.usable(now), "slots: target %s: %d calls in flight with %d slots", name, t.inUse, t.slots)
	return &Hold{target: t, revoked: t.revoked}, true
}

// check returns why a call must not be sent now.
func (h *holder) check(hold *Hold, l *layout) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sync(l)
	t := hold.target
	if err := h.barred(t); err != nil {
		return err
	}
	switch {
	case hold.done || hold.revoked != t.revoked || h.targets[t.doc.Name] != t:
		return ErrRevoked
	case !time.Now().Before(t.until):
		return ErrExpired
	default:
		return nil
	}
}

// done returns a slot and takes in what the call showed. The result is true if
// the home should hear of it at once.
func (h *holder) done(hold *Hold, res target.Result, took time.Duration) bool {
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
		t.good++
		t.took += took
	case res.Sent != target.SentNo && errors.Is(res.Err, context.Canceled):
		// The caller has gone away; that says nothing of the target.
	case res.Sent != target.SentNo || res.State != "":
		t.bad++
	}
	news := t.observe(res.State, res.Boot)
	g := h.groupOf(t)
	if g != nil && g.turn && t.slots > t.inUse {
		// Others wait for their turn: one call per grant.
		t.slots = t.inUse
		news = true
	}
	if g != nil && news {
		g.urgent = true
	}
	h.notify()
	return news
}

// observe takes in the state and boot id of an answer. It reports whether they
// are news for the home.
func (t *heldTarget) observe(state target.State, boot string) bool {
	news := false
	if boot != "" && boot != t.boot {
		if t.boot != "" {
			t.drop()
		}
		t.boot, t.newBoot = boot, boot
		news = true
	}
	if state == target.StateCold && t.state == target.StateWarm || state == target.StateLeaving && t.state != state {
		// First sign: the slots were granted for another state.
		t.drop()
		t.state, t.newState = state, state
		news = true
	}
	return news
}

func (h *holder) groupOf(t *heldTarget) *heldGroup {
	if g := h.layout.of[t.doc.Name]; g != nil {
		return h.groups[g.key]
	}
	return nil
}

// revoke ends the grants of a target at once.
func (h *holder) revoke(r Revoke) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.targets[r.Target]
	if t == nil || r.Fence <= t.least {
		return
	}
	t.least = r.Fence
	if t.fence < r.Fence {
		t.drop()
		t.state = r.Reason
	}
	if g := h.groupOf(t); g != nil {
		g.urgent = true
	}
	h.version++
}

// notify wakes those that wait for slots. The caller holds the lock.
func (h *holder) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// Hold is one slot in use.
type Hold struct {
	c       *Controller
	target  *heldTarget
	revoked uint64
	done    bool
}

// Check returns nil if the call may be sent now. It is to be called immediately
// before the send.
func (h *Hold) Check() error { return h.c.holder.check(h, h.c.layout()) }

// Fence returns the fencing number to send with the call.
func (h *Hold) Fence() uint64 {
	h.c.holder.mu.Lock()
	defer h.c.holder.mu.Unlock()
	return h.target.fence
}

// Done returns the slot with what came of the call. The result of a call that
// was not made is the zero Result with an error. Later calls do nothing.
func (h *Hold) Done(res target.Result, took time.Duration) {
	h.c.holder.done(h, res, took)
	h.c.wake()
}
