package pick

import (
	"cmp"
	"slices"
	"time"

	"chivepost/entry/internal/table"
	"chivepost/share/apiv1"
)

// States of targets that a request may use.
const (
	stateAvailable   = "available"
	stateLeaving     = "leaving"
	stateUnavailable = "unavailable: it has failed or refused requests lately"
)

// Explain returns what Choose would return now, with what it knows of each target. It changes
// nothing. Where several targets are equally good, Choose may return another one of these.
func (b *Balancer) Explain(q Query, now time.Time) apiv1.ServiceExplanation {
	hosts := b.hosts.Count()
	b.mu.Lock()
	defer b.mu.Unlock()
	out := apiv1.ServiceExplanation{Targets: []apiv1.TargetExplanation{}}
	s := b.survey(q, hosts, now, func(t *table.Target, why string) {
		out.Targets = append(out.Targets, apiv1.TargetExplanation{Target: t.ID, DataCentre: t.DataCentre, State: "left out: " + why})
	})
	best, ok := b.bestOf(s, q, now)
	if ok {
		out.Chosen = best.target.ID
	} else {
		out.Refusal = s.closed.refusal(s.why, now).Reason
	}
	var usable []apiv1.TargetExplanation
	byPrefix := map[string]uint64{}
	for state, list := range map[string][]candidate{stateAvailable: s.available, stateLeaving: s.leaving, stateUnavailable: s.unavailable} {
		for _, k := range list {
			byPrefix[k.target.ID] = k.affinityHash
			usable = append(usable, apiv1.TargetExplanation{
				Target: k.target.ID, DataCentre: k.target.DataCentre, Distance: k.distance, InFlight: k.health.inFlight, Load: k.load, Rank: k.rank, State: state,
			})
		}
	}
	if q.Affinity != "" {
		slices.SortFunc(usable, func(x, y apiv1.TargetExplanation) int { return cmp.Compare(byPrefix[y.Target], byPrefix[x.Target]) })
		for i := range usable {
			usable[i].Prefix = i + 1
		}
	}
	slices.SortFunc(usable, func(x, y apiv1.TargetExplanation) int {
		return cmp.Or(cmp.Compare(x.State, y.State), cmp.Compare(x.Distance, y.Distance), cmp.Compare(x.Rank, y.Rank), cmp.Compare(x.Target, y.Target))
	})
	slices.SortFunc(out.Targets, func(x, y apiv1.TargetExplanation) int { return cmp.Compare(x.Target, y.Target) })
	out.Targets = append(usable, out.Targets...)
	return out
}
