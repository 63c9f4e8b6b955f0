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
	// maxListedHosts bounds the hosts listed in one response.
	maxListedHosts = 64
	// minNearHosts is how many hosts the caller's data centre needs for hosts elsewhere
	// to be left out, so that a caller can fail over within the list.
	minNearHosts = 2
	// DirectoryTTL is how long callers cache a response. Some cache it three times as
	// long; a stopping host keeps serving for that time.
	DirectoryTTL = 2 * time.Second
	// busyLoadFactor is the load, relative to the least loaded host, above which a host
	// is not listed.
	busyLoadFactor = 4
	// minBusyLoad is the number of active requests up to which a host is always listed.
	minBusyLoad = 40
)

// Roster provides the live hosts of the deployment and this host's own record.
type Roster interface {
	Alive() []roster.Peer
	Self() roster.Host
	IsLeaving() bool
}

// Directory is an HTTP handler that lists the entry hosts nearest to a caller.
type Directory struct {
	roster Roster
	tables Tables
	load   func() int
	maxTTL time.Duration
	ready  func() bool
}

// NewDirectory returns a directory. load returns this host's number of active requests
// and ready whether it can serve; maxTTL bounds the TTL of responses.
func NewDirectory(r Roster, tables Tables, load func() int, ready func() bool, maxTTL time.Duration) *Directory {
	return &Directory{roster: r, tables: tables, load: load, ready: ready, maxTTL: maxTTL}
}

// ServeHTTP responds with the addresses of the hosts nearest to the caller's location,
// or with 503 if there are none.
func (d *Directory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	peers := d.roster.Alive()
	if !d.roster.IsLeaving() && d.ready() {
		peers = append(peers, roster.Peer{Host: d.roster.Self(), Load: d.load()})
	}
	location := wire.DecodeLocation(r.URL.Query())
	addresses := nearestAddresses(peers, location, d.routeRegions(r.URL.Query().Get("Name")))
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := wire.EncodeAddresses(addresses, min(DirectoryTTL, d.maxTTL))
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", wire.ContentTypeJSON)
	_, _ = w.Write(body) // a caller that disconnected sends the request again
}

// routeRegions returns the regions to which the routes of a host name are restricted;
// routes without a restriction add none.
func (d *Directory) routeRegions(name string) []string {
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

// nearestAddresses returns, in random order, the addresses of the nearest hosts: those
// in the caller's data centre, else in its region, else in the regions to which its
// routes are restricted, else all. Hosts much busier than the least loaded are left out.
func nearestAddresses(peers []roster.Peer, location wire.Location, routeRegions []string) []string {
	tiers := []func(p roster.Peer) bool{
		func(p roster.Peer) bool { return p.DataCentre == location.DataCentre },
		func(p roster.Peer) bool { return p.Region == location.Region },
		func(p roster.Peer) bool {
			return p.Region == location.Region || slices.Contains(routeRegions, p.Region)
		},
		func(roster.Peer) bool { return true },
	}
	var near []roster.Peer
	for i, isInTier := range tiers {
		near = near[:0]
		for _, p := range peers {
			if isInTier(p) {
				near = append(near, p)
			}
		}
		if len(near) >= minNearHosts || len(near) > 0 && i >= 1 {
			break
		}
	}
	least := minBusyLoad
	for i, p := range near {
		if i == 0 || p.Load < least {
			least = p.Load
		}
	}
	notBusy := slices.DeleteFunc(slices.Clone(near), func(p roster.Peer) bool { return p.Load > max(busyLoadFactor*least, minBusyLoad) })
	rand.Shuffle(len(notBusy), func(i, j int) { notBusy[i], notBusy[j] = notBusy[j], notBusy[i] })
	out := make([]string, 0, len(notBusy))
	for _, p := range notBusy[:min(len(notBusy), maxListedHosts)] {
		out = append(out, p.Address)
	}
	return out
}
