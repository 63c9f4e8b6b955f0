package batch

import (
	"cmp"
	"time"

	"chivepost/entry/internal/place"
)

// preferredTarget returns where the request of an order should run. It prefers the
// target that has the prefix cached if that is worth moving the results. Otherwise
// it returns only the data centre that holds most of the results, if they are large.
func (sc *Scheduler) preferredTarget(o *order) (dataCentre, target string) {
	bytesIn, total, best := map[string]int64{}, int64(0), ""
	for k := range o.state {
		if q := sc.queues[o.Stages[k].Service]; !o.state[k].isInput && q != nil {
			for _, h := range o.state[k].handles {
				bytesIn[q.dataCentreOf(h)] += o.Stages[k].ResultBytes
				total += o.Stages[k].ResultBytes
			}
		}
	}
	for dc, n := range bytesIn {
		if n >= minPlacementBytes && dc != "" && (best == "" || n > bytesIn[best] || n == bytesIn[best] && dc < best) {
			best = dc
		}
	}
	u, ok := sc.sessionTarget(o.Session)
	if !ok || !allows(o.Regions, u.Region) {
		return best, ""
	}
	cost := total - bytesIn[u.DataCentre]
	if u.Region != o.OriginRegion {
		cost += crossRegionBytes
	}
	if int64(o.PrefixTokens)*prefixTokenBytes < cost {
		return best, ""
	}
	return u.DataCentre, u.Target
}

// placeRequest returns where the request of an order should run: the preferred data centre
// and, if the region has its own home, the target that has read the prompt first.
func (sc *Scheduler) placeRequest(o *order) (dataCentre, target string, isPlaced bool) {
	dataCentre, target = sc.preferredTarget(o)
	in := cmp.Or(dataCentre, o.DataCentre)
	var near []place.Target
	for _, t := range sc.models[o.Service] {
		if t.DataCentre == in {
			near = append(near, t)
		}
	}
	r := place.Request{ID: o.ID, Session: o.Session, CachedAt: target, SessionTokens: o.SessionTokens, OwnTokens: o.OwnTokens}
	if placed := sc.board.Choose(r, near, sc.now); placed != "" {
		return in, placed, true
	}
	return dataCentre, target, false
}

// SetModels sets the targets of a model service on which requests are placed. Without any,
// hosts choose by themselves.
func (sc *Scheduler) SetModels(service string, targets []place.Target) { sc.models[service] = targets }

func (sc *Scheduler) hasModels(service string) bool {
	_, ok := sc.models[service]
	return ok
}

// hasTargetsIn reports whether this scheduler has stage targets in a data centre.
func (sc *Scheduler) hasTargetsIn(dataCentre string) bool {
	for _, q := range sc.queues {
		for _, ts := range q.targets {
			if ts.present && ts.target.DataCentre == dataCentre {
				return true
			}
		}
	}
	return false
}

// sessionUse is the target of the last request of a session.
type sessionUse struct {
	SessionTarget
	at time.Time
}

// RecordSession stores the target that a request of a session went to.
func (sc *Scheduler) RecordSession(u SessionTarget, now time.Time) {
	if u.Session == "" || u.Target == "" {
		return
	}
	if len(sc.sessions) >= maxSessions {
		for s, last := range sc.sessions {
			if now.Sub(last.at) > sessionTTL {
				delete(sc.sessions, s)
			}
		}
	}
	if len(sc.sessions) < maxSessions {
		sc.sessions[u.Session] = sessionUse{SessionTarget: u, at: now}
	}
}

// sessionTarget returns the last target of a session if its cache probably still
// holds the prefix.
func (sc *Scheduler) sessionTarget(name string) (sessionUse, bool) {
	u, ok := sc.sessions[name]
	return u, ok && name != "" && sc.now.Sub(u.at) < sessionTTL
}
