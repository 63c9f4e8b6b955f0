package check

import "chivepost/share/events"

// entries takes in the events of entry hosts: what begins must end exactly once.
func (c *checker) entries(r EventFile) {
	type key struct{ host, run, stage, attempt string }
	begun := map[key]int{}
	ended := map[key]int{}
	var order []key
	inForce := map[string]events.Event{}
	for _, e := range r.Events {
		k := key{host: e.Host, run: e.Run}
		switch e.Kind {
		case events.Accepted:
			c.Accepted++
		case events.Ended:
			c.Ended++
		case events.Config:
			// A process that has started anew has a clock that starts anew.
			if before := inForce[e.Host]; e.At >= before.At && e.Version < before.Version {
				c.found(&c.Violations.ConfigReverted, "%s: configuration %d in force after %d", e.Host, e.Version, before.Version)
			}
			inForce[e.Host] = e
			continue
		case events.Sending, events.Result:
			k.stage, k.attempt = e.Stage, e.Attempt
		default:
			continue
		}
		if e.Kind == events.Ended || e.Kind == events.Result {
			ended[k]++
			if ended[k] > begun[k] {
				c.found(&c.Violations.Lost, "%s: run %s %s %s ended more often than it began", k.host, k.run, k.stage, k.attempt)
			}
			continue
		}
		begun[k]++
		order = append(order, k)
	}
	for _, k := range order {
		if ended[k] < begun[k] && !c.wasKilled(k.host, r.Name) {
			c.found(&c.Violations.Lost, "%s: run %s %s %s has no end", k.host, k.run, k.stage, k.attempt)
		}
	}
}
