package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chivepost/share/hosts"
)

// view is an immutable index of one version of the host list.
type view struct {
	version int64
	entries []hosts.Host // all entry hosts, including leaving ones
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

// hasEntry reports whether the view has an entry host of that name.
func (v *view) hasEntry(name string) bool {
	return slices.ContainsFunc(v.entries, func(h hosts.Host) bool { return h.Name == name })
}

// candidates are the hosts that may be home, also by data centre and by region.
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

// homeOf returns the host with the highest rendezvous score for key among the
// nearest candidates; false if there are none.
func (c *candidates) homeOf(key, dataCentre, region string) (hosts.Host, bool) {
	nearest := c.byDataCentre[dataCentre]
	if len(nearest) == 0 {
		nearest = c.byRegion[region]
	}
	if len(nearest) == 0 {
		nearest = c.all
	}
	var best hosts.Host
	var highest uint64
	for i, h := range nearest {
		// Hosts are sorted by name, so that all hosts resolve equal scores alike.
		if s := score(key, h.Name); i == 0 || s > highest {
			best, highest = h, s
		}
	}
	return best, len(nearest) > 0
}

// score returns the rendezvous score of a host for a key.
func score(key, host string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(host)
	return d.Sum64()
}

// peer is the state of another entry host.
type peer struct {
	listedAt   time.Time // when it was first in the host list
	receivedAt time.Time // when its last heartbeat was received; zero: never
	heartbeat  Heartbeat // the last one
	// replacedIncarnation is the one before the present one, 0 if none is known.
	replacedIncarnation uint64
}

// accepts reports whether a heartbeat of an incarnation counts. Incarnations are
// random numbers, so they don't show which is newer: one that differs counts unless
// it is the replaced one, and replaces the present one only if that is suspected or
// has the lower number.
func (p *peer) accepts(incarnation uint64, now time.Time) bool {
	present := p.heartbeat.Incarnation
	switch {
	case incarnation == present || p.receivedAt.IsZero():
		return true
	case incarnation == p.replacedIncarnation:
		return false
	case incarnation < present && now.Sub(p.receivedAt) <= SuspectAfterIntervals*p.heartbeat.Interval:
		return false
	}
	p.replacedIncarnation = present
	return true
}

// isSuspected reports whether the peer has sent no heartbeat for too long.
func (p *peer) isSuspected(now time.Time, startUp time.Duration) bool {
	if p.receivedAt.IsZero() {
		return now.Sub(p.listedAt) > startUp
	}
	return now.Sub(p.receivedAt) > SuspectAfterIntervals*p.heartbeat.Interval
}

// isLeaving reports whether the peer's last heartbeat says that it is leaving or
// stopped. That counts only until expiry has passed. Otherwise a host that restarts
// under the same name and can't reach this one would stay excluded here while it
// is home in its own view, where it waits for longer than expiry before it grants
// cold slots.
func (p *peer) isLeaving(now time.Time, expiry time.Duration) bool {
	if p.receivedAt.IsZero() || now.Sub(p.receivedAt) > expiry {
		return false
	}
	return p.heartbeat.State == StateLeaving || p.heartbeat.State == StateStopped
}
