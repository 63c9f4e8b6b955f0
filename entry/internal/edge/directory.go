package edge

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"chivepost/entry/internal/roster"
	"chivepost/platform/wire"
)

const (
	// maxNamed is the number of hosts named in one answer.
	maxNamed = 64
	// minNear is the number of hosts in the caller's data centre from which on no
	// others are named: callers that fail at one have another.
	minNear = 2
	// directoryTTL is how long callers keep an answer. Some keep it three times as
	// long, which fits into the time that a host which stops still serves.
	directoryTTL = 2 * time.Second
	// busyFactor is the load, against the least loaded host, from which on a host is
	// named only as a last resort.
	busyFactor = 4
	// busyLoad is the number of requests under way below which no host is too busy.
	busyLoad = 40
)

// Roster tells which hosts are there.
type Roster interface {
	Alive() []roster.Peer
	Self() roster.Host
	IsLeaving() bool
}

// Directory tells callers which hosts to use.
type Directory struct {
	roster Roster
	tables Tables
	load   func() int
	maxTTL time.Duration
	ready  func() bool
}

// NewDirectory returns a directory; load and ready are those of this host.
func NewDirectory(r Roster, tables Tables, load func() int, ready func() bool, maxTTL time.Duration) *Directory {
	return &Directory{roster: r, tables: tables, load: load, ready: ready, maxTTL: maxTTL}
}

// ServeHTTP answers with the addresses for a caller's place.
func (d *Directory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	peers := d.roster.Alive()
	if !d.roster.IsLeaving() && d.ready() {
		peers = append(peers, roster.Peer{Host: d.roster.Self(), Load: d.load()})
	}
	place := wire.DecodePlace(r.URL.Query())
	named := choose(peers, place, d.homes(r.URL.Query().Get("Name")))
	if len(named) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := wire.EncodeAddresses(named, min(directoryTTL, d.maxTTL))
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", wire.ContentJSON)
	_, _ = w.Write(body) // a caller that has left asks again
}

// homes returns the regions to which routes of a host name are bound, if all are.
func (d *Directory) homes(name string) []string {
	c := d.tables.View().Config
	if c == nil {
		return nil
	}
	var out []string
	for i := range c.Routes {
		if c.Routes[i].Host == name {
			out = append(out, c.Routes[i].Regions...)
		}
	}
	return out
}

// choose returns the addresses of the nearest hosts: those in the data centre,
// then in the region, then in the regions to which the caller's routes are bound,
// then all. Much busier hosts are left out.
func choose(peers []roster.Peer, place wire.Place, homes []string) []string {
	nearness := []func(p roster.Peer) bool{
		func(p roster.Peer) bool { return p.DataCentre == place.DataCentre },
		func(p roster.Peer) bool { return p.Region == place.Region },
		func(p roster.Peer) bool { return p.Region == place.Region || slices.Contains(homes, p.Region) },
		func(roster.Peer) bool { return true },
	}
	var near []roster.Peer
	for i, is := range nearness {
		near = near[:0]
		for _, p := range peers {
			if is(p) {
				near = append(near, p)
			}
		}
		if len(near) >= minNear || len(near) > 0 && i >= 1 {
			break
		}
	}
	least := busyLoad
	for i, p := range near {
		if i == 0 || p.Load < least {
			least = p.Load
		}
	}
	calm := slices.DeleteFunc(slices.Clone(near), func(p roster.Peer) bool { return p.Load > max(busyFactor*least, busyLoad) })
	rand.Shuffle(len(calm), func(i, j int) { calm[i], calm[j] = calm[j], calm[i] })
	out := make([]string, 0, len(calm))
	for _, p := range calm[:min(len(calm), maxNamed)] {
		out = append(out, p.Front)
	}
	return out
}
