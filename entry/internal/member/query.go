package member

import (
	"slices"
	"time"

	"chivepost/share/hosts"
)

// Entries returns the live entry hosts of the view, sorted by name, without those
// that are leaving by their heartbeats. This host is treated like the others.
func (c *Controller) Entries() []hosts.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh(time.Now())
	return slices.Clone(c.candidates.all)
}

// Peers returns all other entry hosts of the view, including leaving ones.
func (c *Controller) Peers() []hosts.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.otherEntries()
}

// otherEntries returns the entry hosts of the view without this one.
func (c *Controller) otherEntries() []hosts.Host {
	return slices.DeleteFunc(slices.Clone(c.view.entries), func(h hosts.Host) bool { return h.Name == c.opts.Self.Name })
}

// ListVersion returns the version of the host list in the view, -1 before the
// first read.
func (c *Controller) ListVersion() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.version
}

// TargetState returns the state of a target in the host list. A target that is
// missing from a list with other targets counts as leaving. If the list has no
// targets at all, the state is empty.
func (c *Controller) TargetState(name string) hosts.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.view.targets[name]; ok {
		return s
	}
	if len(c.view.targets) > 0 {
		return hosts.StateLeaving
	}
	return ""
}

// IsFresh reports whether the view may be acted on: the host list was read within
// MaxViewAge, or a majority of the view has sent heartbeats recently and no peer has
// a higher list version.
func (c *Controller) IsFresh() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.refresh(now)
	return c.isFresh(now)
}

// HasMajority reports whether a majority of the entry hosts in the view, this one
// included, has sent a heartbeat within the given time.
func (c *Controller) HasMajority(within time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasMajority(time.Now(), within)
}

// Home returns the home of a group: the host with the highest rendezvous score in
// the data centre, else in the region, else of all. It returns false if there is
// no home, or if the home is suspected and must get no requests.
func (c *Controller) Home(key, dataCentre, region string) (hosts.Host, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.refresh(now)
	h, ok := c.candidates.homeOf(key, dataCentre, region)
	if p := c.peers[h.Name]; p != nil && p.isSuspected(now, c.startupGrace()) {
		return h, false
	}
	return h, ok
}

// HomeDuration returns for how long this host has been home of a group in a view
// that was fresh without a break; false if it isn't home. The time counts from the
// first call for the group.
func (c *Controller) HomeDuration(key, dataCentre, region string) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.refresh(now)
	group := groupKey{key, dataCentre, region}
	if !c.isFresh(now) || !c.isOwnHome(group) {
		delete(c.homeSince, group)
		return 0, false
	}
	since, ok := c.homeSince[group]
	if !ok {
		since = now
		c.homeSince[group] = now
	}
	return now.Sub(since), true
}
