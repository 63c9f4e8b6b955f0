package batch

import (
	"maps"
	"time"
)

const (
	// handoverTime is the time it takes to hand an order to the home of another region.
	handoverTime = 60 * time.Millisecond
	// minHandoverGain is how much earlier an order must be released in another region
	// to be handed over.
	minHandoverGain = 150 * time.Millisecond
	// reportTTL is how long the backlogs reported by another home are used.
	reportTTL = time.Second
)

// RegionReport is the message from the home of a region to the homes of the others.
type RegionReport struct {
	Region   string             `cbor:"region"`
	Sessions []SessionTarget    `cbor:"uses,omitempty"`
	Backlogs map[string]Backlog `cbor:"loads,omitempty"` // by service
}

// Backlog is the outstanding work of a home for a service.
type Backlog struct {
	Pieces       int     `cbor:"pieces"` // waiting, or released and not yet done
	ReleaseLimit float64 `cbor:"room"`   // pieces that may be released and not yet done
	Rate         float64 `cbor:"rate"`   // pieces per second
}

// releaseDelay returns how long further pieces wait to be released. It returns
// false if no target can run them.
func (b Backlog) releaseDelay(pieces int) (time.Duration, bool) {
	if b.Rate <= 0 {
		return 0, false
	}
	return time.Duration(max(float64(b.Pieces+pieces)-b.ReleaseLimit, 0) / b.Rate * float64(time.Second)), true
}

// remoteHome is the last reported state of the home of another region.
type remoteHome struct {
	backlogs   map[string]Backlog
	reportedAt time.Time
}

// Backlogs returns the outstanding work of this scheduler by service.
func (sc *Scheduler) Backlogs(now time.Time) map[string]Backlog {
	pieces := maps.Clone(sc.committed)
	for _, o := range sc.waiting {
		o.addLoad(pieces)
	}
	out := map[string]Backlog{}
	for name, q := range sc.queues {
		out[name] = Backlog{Pieces: pieces[name], Rate: q.rate(now), ReleaseLimit: q.releaseLimit(max(sc.depth[name], 1), now)}
	}
	return out
}

// HandleReport stores the backlogs and sessions reported by the home of another
// region.
func (sc *Scheduler) HandleReport(report RegionReport, now time.Time) {
	if len(report.Backlogs) > 0 {
		sc.remoteHomes[report.Region] = &remoteHome{backlogs: maps.Clone(report.Backlogs), reportedAt: now}
	}
	for _, target := range report.Sessions {
		sc.RecordSession(target, now)
	}
}

// releaseDelay returns how long an order would wait to be released by a remote home.
// It returns false if that home lacks targets for it.
func (h *remoteHome) releaseDelay(o *order) (time.Duration, bool) {
	wait := time.Duration(0)
	for service, pieces := range o.load {
		w, ok := h.backlogs[service].releaseDelay(pieces)
		if !ok {
			return 0, false
		}
		wait = max(wait, w)
	}
	return wait, true
}

// betterRegion returns the region that should serve an order instead, if there is
// one: the order would be late here when released after wait, or isn't admitted at
// all, and can be done in time there. An order is handed over only once. The pieces
// are added to the backlog of the chosen home, so that it isn't flooded before its
// next report.
func (sc *Scheduler) betterRegion(o *order, wait time.Duration, isAdmitted bool, now time.Time) (string, bool) {
	if o.Moved || o.runs > 0 || isAdmitted && !now.Add(wait+o.criticalPath).After(o.due) {
		return "", false
	}
	deadline := o.due
	if !isAdmitted {
		deadline = o.until
	}
	best, least := "", wait-minHandoverGain
	for region, h := range sc.remoteHomes {
		if now.Sub(h.reportedAt) > reportTTL || !allows(o.Regions, region) {
			continue
		}
		w, ok := h.releaseDelay(o)
		w += handoverTime
		if ok && !now.Add(w+o.criticalPath).After(deadline) && (w < least || !isAdmitted && best == "" || w == least && region < best) {
			best, least = region, w
		}
	}
	if best == "" {
		return "", false
	}
	for service, pieces := range o.load {
		b := sc.remoteHomes[best].backlogs[service]
		b.Pieces += pieces
		sc.remoteHomes[best].backlogs[service] = b
	}
	return best, true
}

// releaseDelay returns how long an order would wait here to be released behind the
// pieces ahead of it.
func (sc *Scheduler) releaseDelay(o *order, ahead map[string]int, now time.Time) time.Duration {
	wait := time.Duration(0)
	for service, pieces := range o.load {
		q := sc.queues[service]
		b := Backlog{Pieces: sc.committed[service] + ahead[service], Rate: q.rate(now), ReleaseLimit: q.releaseLimit(o.depth[service], now)}
		w, ok := b.releaseDelay(pieces)
		if !ok {
			w = noTargetRetry
		}
		wait = max(wait, w)
	}
	return wait
}
