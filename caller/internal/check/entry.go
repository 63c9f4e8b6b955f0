package check

import "chivepost/share/events"

// checkEntryEvents checks the events of entry hosts: each request and each attempt that
// begins must end exactly once, and a host's configuration must not go back
// to an older version.
func (c *checker) checkEntryEvents(f EventFile) {
	type key struct{ host, run, stage, attempt string }
	begun := map[key]int{}
	ended := map[key]int{}
	var order []key
	inForce := map[string]events.Event{}
	for _, e := range f.Events {
		k := key{host: e.Host, run: e.Run}
		switch e.Kind {
		case events.Accepted:
			c.Accepted++
		case events.Ended:
			c.Ended++
		case events.ConfigApplied:
			// Times count from the start of the process, so an earlier time means a restart.
			if previous := inForce[e.Host]; e.At >= previous.At && e.Version < previous.Version {
				c.addViolation(&c.Violations.ConfigReverted, "%s: configuration %d in force after %d", e.Host, e.Version, previous.Version)
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
				c.addViolation(&c.Violations.Lost, "%s: run %s %s %s ended more often than it began", k.host, k.run, k.stage, k.attempt)
			}
			continue
		}
		begun[k]++
		order = append(order, k)
	}
	for _, k := range order {
		if ended[k] < begun[k] && !c.wasKilled(k.host, f.Name) {
			c.addViolation(&c.Violations.Lost, "%s: run %s %s %s has no end", k.host, k.run, k.stage, k.attempt)
		}
	}
}
