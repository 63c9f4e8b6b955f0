package batch

import (
	"maps"
	"time"
)

const (
	// hopTime is what handing an order to the home of another region costs.
	hopTime = 60 * time.Millisecond
	// hopGain is how much sooner an order must be released elsewhere to be handed over.
	hopGain = 150 * time.Millisecond
	// newsLife is how long what another home has told of its load is believed.
	newsLife = time.Second
)

// RegionReport is what the home of a region tells those of the others.
type RegionReport struct {
	Region   string             `cbor:"region"`
	Sessions []SessionTarget    `cbor:"uses,omitempty"`
	Backlogs map[string]Backlog `cbor:"loads,omitempty"` // by service
}

// Backlog is the work that a home has for a service.
type Backlog struct {
	Pieces       int     `cbor:"pieces"` // released or waiting, and not yet made
	ReleaseLimit float64 `cbor:"room"`   // pieces that are released at once
	Rate         float64 `cbor:"rate"`   // pieces made in a second
}

// wait returns when further pieces would be released; false: nobody makes them.
func (b Backlog) wait(pieces int) (time.Duration, bool) {
	if b.Rate <= 0 {
		return 0, false
	}
	return time.Duration(max(float64(b.Pieces+pieces)-b.ReleaseLimit, 0) / b.Rate * float64(time.Second)), true
}

// neighbour is the home of another region.
type neighbour struct {
	loads map[string]Backlog
	at    time.Time
}

// Backlogs returns the desk's work by service.
func (d *Scheduler) Backlogs(now time.Time) map[string]Backlog {
	pieces := maps.Clone(d.committed)
	for _, o := range d.waiting {
		o.addLoad(pieces)
	}
	out := map[string]Backlog{}
	for name, q := range d.queues {
		out[name] = Backlog{Pieces: pieces[name], Rate: q.rate(now), ReleaseLimit: q.atOnce(max(d.depth[name], 1), now)}
	}
	return out
}

// HandleReport notes what the home of another region has told.
func (d *Scheduler) HandleReport(n RegionReport, now time.Time) {
	if len(n.Backlogs) > 0 {
		d.neighbours[n.Region] = &neighbour{loads: maps.Clone(n.Backlogs), at: now}
	}
	for _, u := range n.Sessions {
		d.RecordSession(u, now)
	}
}

// wait returns when an order would be released in another region.
func (n *neighbour) wait(o *order) (time.Duration, bool) {
	wait := time.Duration(0)
	for service, pieces := range o.load {
		w, ok := n.loads[service].wait(pieces)
		if !ok {
			return 0, false
		}
		wait = max(wait, w)
	}
	return wait, true
}

// elsewhere returns the region where an order is done in time that would be late
// here, released in wait, or that isn't admitted here at all. An order is handed
// over once.
func (d *Scheduler) elsewhere(o *order, wait time.Duration, isAdmitted bool, now time.Time) (string, bool) {
	if o.Moved || o.runs > 0 || isAdmitted && !now.Add(wait+o.chain).After(o.due) {
		return "", false
	}
	end := o.due
	if !isAdmitted {
		end = o.until
	}
	best, least := "", wait-hopGain
	for region, n := range d.neighbours {
		if now.Sub(n.at) > newsLife || !allows(o.Regions, region) {
			continue
		}
		w, ok := n.wait(o)
		w += hopTime
		if ok && !now.Add(w+o.chain).After(end) && (w < least || !isAdmitted && best == "" || w == least && region < best) {
			best, least = region, w
		}
	}
	if best == "" {
		return "", false
	}
	for service, pieces := range o.load {
		b := d.neighbours[best].loads[service]
		b.Pieces += pieces
		d.neighbours[best].loads[service] = b
	}
	return best, true
}

// releaseIn returns when an order would be released behind the pieces ahead of it.
func (d *Scheduler) releaseIn(o *order, ahead map[string]int, now time.Time) time.Duration {
	wait := time.Duration(0)
	for service, pieces := range o.load {
		q := d.queues[service]
		b := Backlog{Pieces: d.committed[service] + ahead[service], Rate: q.rate(now), ReleaseLimit: q.atOnce(o.depth[service], now)}
		w, ok := b.wait(pieces)
		if !ok {
			w = absentRetry
		}
		wait = max(wait, w)
	}
	return wait
}
