package batch

import (
	"time"
)

// near returns the data centre where most of an order's results lie, if they are
// large, and the target that has the start of its prompt, if going there is worth
// moving the results.
func (d *Scheduler) near(o *order) (dataCentre, target string) {
	sums, all, best := map[string]int64{}, int64(0), ""
	for k := range o.state {
		if q := d.queues[o.Stages[k].Service]; !o.state[k].isUsed && q != nil {
			for _, h := range o.state[k].handles {
				sums[q.place(h)] += o.Stages[k].ResultBytes
				all += o.Stages[k].ResultBytes
			}
		}
	}
	for dc, n := range sums {
		if n >= nearBytes && dc != "" && (best == "" || n > sums[best] || n == sums[best] && dc < best) {
			best = dc
		}
	}
	u, ok := d.session(o.Session)
	if !ok || !allows(o.Regions, u.Region) {
		return best, ""
	}
	cost := all - sums[u.DataCentre]
	if u.Region != o.OriginRegion {
		cost += regionBytes
	}
	if int64(o.PrefixTokens)*tokenBytes < cost {
		return best, ""
	}
	return u.DataCentre, u.Target
}

// hasTargetsAt reports whether a data centre has stage targets of this desk.
func (d *Scheduler) hasTargetsAt(dataCentre string) bool {
	for _, q := range d.queues {
		for _, e := range q.engines {
			if e.present && e.target.DataCentre == dataCentre {
				return true
			}
		}
	}
	return false
}

// lastUse is where the last request of a session went.
type lastUse struct {
	SessionTarget
	at time.Time
}

// RecordSession notes where a request of a session went.
func (d *Scheduler) RecordSession(u SessionTarget, now time.Time) {
	if u.Session == "" || u.Target == "" {
		return
	}
	if len(d.sessions) >= maxSessions {
		for s, l := range d.sessions {
			if now.Sub(l.at) > sessionTime {
				delete(d.sessions, s)
			}
		}
	}
	if len(d.sessions) < maxSessions {
		d.sessions[u.Session] = lastUse{SessionTarget: u, at: now}
	}
}

func (d *Scheduler) session(name string) (lastUse, bool) {
	l, ok := d.sessions[name]
	return l, ok && name != "" && d.now.Sub(l.at) < sessionTime
}
