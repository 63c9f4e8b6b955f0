package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chivepost/share/hosts"
)

// view is one immutable reading of the host list, prepared for look-ups.
type view struct {
	version int64
	entries []hosts.Host // all entry hosts, leaving ones too
	targets map[string]hosts.State
}

func newView(list hosts.List) *view {
	v := &view{version: list.Version, targets: map[string]hosts.State{}}
	for _, h := range list.Hosts {
		switch h.Role {
		case hosts.RoleEntry:
			v.entries = append(v.entries, h)
		case hosts.RoleTarget:
			v.targets[h.Name] = h.State
		}
	}
	slices.SortFunc(v.entries, func(a, b hosts.Host) int { return cmp.Compare(a.Name, b.Name) })
	return v
}

func (v *view) entry(name string) bool {
	return slices.ContainsFunc(v.entries, func(h hosts.Host) bool { return h.Name == name })
}

// candidates are the hosts that may be homes, by nearness.
type candidates struct {
	all          []hosts.Host
	byDataCentre map[string][]hosts.Host
	byRegion     map[string][]hosts.Host
}

func newCandidates(all []hosts.Host) *candidates {
	c := &candidates{all: all, byDataCentre: map[string][]hosts.Host{}, byRegion: map[string][]hosts.Host{}}
	for _, h := range all {
		c.byDataCentre[h.DataCentre] = append(c.byDataCentre[h.DataCentre], h)
		c.byRegion[h.Region] = append(c.byRegion[h.Region], h)
	}
	return c
}

// winner returns the host with the highest rendezvous score for key among the
// nearest candidates.
func (c *candidates) winner(key, dataCentre, region string) (hosts.Host, bool) {
	near := c.byDataCentre[dataCentre]
	if len(near) == 0 {
		near = c.byRegion[region]
	}
	if len(near) == 0 {
		near = c.all
	}
	var best hosts.Host
	var top uint64
	for i, h := range near {
		// Hosts are sorted by name, so that equal scores have the same winner everywhere.
		if s := score(key, h.Name); i == 0 || s > top {
			best, top = h, s
		}
	}
	return best, len(near) > 0
}

func score(key, host string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(host)
	return d.Sum64()
}

// peer is what is known of another entry host.
type peer struct {
	listed time.Time // when the host list first named it
	heard  time.Time // zero: never
	beat   Heartbeat
	// replaced is the incarnation before the present one, 0 if none is known.
	replaced uint64
}

// accepts reports whether a heartbeat of an incarnation counts. Numbers of
// incarnations are random, so the order can't be read off them: a new one counts
// unless it is the one that was replaced, and replaces the present one only when
// that is silent or has the lower number.
func (p *peer) accepts(incarnation uint64, now time.Time) bool {
	present := p.beat.Incarnation
	switch {
	case incarnation == present || p.heard.IsZero():
		return true
	case incarnation == p.replaced:
		return false
	case incarnation < present && now.Sub(p.heard) <= SuspectAfterIntervals*p.beat.Interval:
		return false
	}
	p.replaced = present
	return true
}

// isSuspected reports whether the peer has been silent for too long.
func (p *peer) isSuspected(now time.Time, startUp time.Duration) bool {
	if p.heard.IsZero() {
		return now.Sub(p.listed) > startUp
	}
	return now.Sub(p.heard) > SuspectAfterIntervals*p.beat.Interval
}

// isLeaving reports whether the peer said that it is leaving. The word expires
// after bound: a host that restarts under the same name and can't reach this one
// would otherwise stay excluded here while it is home in its own view. It then
// waits for longer than bound before it grants cold slots.
func (p *peer) isLeaving(now time.Time, bound time.Duration) bool {
	if p.heard.IsZero() || now.Sub(p.heard) > bound {
		return false
	}
	return p.beat.State == StateLeaving || p.beat.State == StateStopped
}
