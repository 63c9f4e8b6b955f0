package slots

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"chivepost/entry/internal/route"
	"chivepost/share/target"
)

// cachedView is the view of a pool at one version of the holder's state.
type cachedView struct {
	version uint64
	expires time.Time // when the first lease ends
	targets []route.Target
}

// View returns the targets of a pool with the slots held. The slice is cached and
// shared, so it must not be changed.
func (c *Controller) View(pool string) []route.Target {
	h := c.holder
	l := c.layout()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.setLayout(l)
	now := time.Now()
	v := h.views[pool]
	if v != nil && v.version == h.version && now.Before(v.expires) {
		return v.targets
	}
	v = &cachedView{version: h.version}
	v.targets, v.expires = h.appendView(nil, pool, now)
	h.views[pool] = v
	return v.targets
}

// AppendView appends the targets of a pool to dst, for callers that keep a
// buffer of their own.
func (c *Controller) AppendView(dst []route.Target, pool string) []route.Target {
	l := c.layout()
	c.holder.mu.Lock()
	defer c.holder.mu.Unlock()
	c.holder.setLayout(l)
	dst, _ = c.holder.appendView(dst, pool, time.Now())
	return dst
}

// cachedViewMaxAge bounds the age of a cached view, since changes of target states in
// the host list don't change the holder's version.
const cachedViewMaxAge = 100 * time.Millisecond

// appendView appends the targets of a pool to dst and returns until when this
// view is valid if nothing changes.
func (h *holder) appendView(dst []route.Target, pool string, now time.Time) ([]route.Target, time.Time) {
	until := now.Add(cachedViewMaxAge)
	if h.layout == nil {
		return dst, until
	}
	targets := h.layout.bundle.Targets(pool)
	dst = slices.Grow(dst, len(targets))
	for _, doc := range targets {
		t := h.targets[doc.Name]
		rt := route.Target{
			Name: doc.Name, DataCentre: doc.DataCentre, Region: doc.Region, Address: doc.Address,
			State: t.state, Free: t.free(now), InUse: t.inUse, Limit: t.usable(now),
		}
		rt.Prepare(h.opts.DataCentre, h.opts.Region)
		if rt.Limit > 0 {
			until = earlier(until, t.leaseEnd)
		}
		if err := h.checkTarget(t); err != nil {
			rt.Free = 0
			if errors.Is(err, ErrTargetLeaving) {
				rt.State = target.StateLeaving
			}
		}
		dst = append(dst, rt)
	}
	return dst, until
}

// TargetStatus is the status of a target at this host. Limit, Granted and InUse
// count the slots of all holders if this host is the target's home, else only its
// own.
type TargetStatus struct {
	Name       string       `json:"name"`
	Pool       string       `json:"pool"`
	DataCentre string       `json:"data_centre"`
	State      target.State `json:"state"`
	Limit      int          `json:"limit"`
	Granted    int          `json:"granted"`
	InUse      int          `json:"in_use"`
	Home       string       `json:"home"`
}

// Targets returns the status of all targets, sorted by name.
func (c *Controller) Targets() []TargetStatus {
	l := c.layout()
	if l == nil {
		return nil
	}
	var all []TargetStatus
	for _, g := range l.groups {
		to, _ := c.members.Home(g.key, g.dataCentre, g.region)
		for _, doc := range g.targets {
			all = append(all, TargetStatus{Name: doc.Name, Pool: doc.Pool, DataCentre: doc.DataCentre, Home: to.Name})
		}
	}
	c.holder.status(all, l)
	c.home.status(all)
	slices.SortFunc(all, func(a, b TargetStatus) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// status fills in the state and this host's own slots.
func (h *holder) status(all []TargetStatus, l *layout) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.setLayout(l)
	now := time.Now()
	for i := range all {
		if t := h.targets[all[i].Name]; t != nil {
			all[i].State, all[i].InUse = t.state, t.inUse
			all[i].Limit, all[i].Granted = t.usable(now), t.usable(now)
		}
	}
}

// status fills in the state and the slots of all holders for the targets whose
// home this host is.
func (h *home) status(all []TargetStatus) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for i := range all {
		t := h.targets[all[i].Name]
		if t == nil || !t.group.isHome {
			continue
		}
		s := &all[i]
		s.State, s.Limit, s.Granted, s.InUse = t.phase.state(), h.limit(t, now), t.total, 0
		for _, u := range t.usages {
			s.InUse += u.inUse
		}
	}
}
