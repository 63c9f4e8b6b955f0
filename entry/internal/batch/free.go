package batch

import (
	"slices"
	"time"
)

// freeInputsIfShort frees the inputs of a running stage if the targets that hold
// them are short of space. It reports whether it did.
func (sc *Scheduler) freeInputsIfShort(o *order, i int) bool {
	for _, a := range o.Stages[i].After {
		if q := sc.queues[o.Stages[a].Service]; q != nil && q.isSpaceShort() { // nil: a stage without pieces
			sc.freeInputs(o, i)
			return true
		}
	}
	return false
}

// freeInputs removes stage i from the readers of its inputs and frees those
// without further readers.
func (sc *Scheduler) freeInputs(o *order, i int) {
	if o.state[i].inputsFreed {
		return
	}
	o.state[i].inputsFreed = true
	for _, a := range o.Stages[i].After {
		if o.state[a].readers--; o.state[a].readers == 0 {
			sc.free(o.Stages[a].Service, o.state[a].handles)
			o.state[a].handles = nil
		}
	}
}

// FreeHandles frees results of orders that a previous home ran.
func (sc *Scheduler) FreeHandles(handles []string) {
	for service, q := range sc.queues {
		for id, list := range q.groupByTarget(handles) {
			start := q.targets[id].target.StartMillis
			list = slices.DeleteFunc(list, func(h string) bool { return !IsOfStart(h, start) })
			if len(list) == 0 {
				continue
			}
			if sc.freedElsewhere[service] == nil {
				sc.freedElsewhere[service] = map[string][]string{}
			}
			sc.freedElsewhere[service][id] = append(sc.freedElsewhere[service][id], list...)
		}
	}
}

// free adds results to those that TakeFreed returns.
func (sc *Scheduler) free(service string, handles []string) {
	if len(handles) > 0 {
		sc.freed[service] = append(sc.freed[service], handles...)
	}
}

// TakeFreed returns and forgets the results freed since the last call, by service
// and target.
func (sc *Scheduler) TakeFreed(now time.Time) map[string]map[string][]string {
	out := map[string]map[string][]string{}
	for service, handles := range sc.freed {
		if targets := sc.queues[service].Free(handles, now); len(targets) > 0 {
			out[service] = targets
		}
	}
	clear(sc.freed)
	for service, targets := range sc.freedElsewhere {
		if out[service] == nil {
			out[service] = map[string][]string{}
		}
		for id, handles := range targets {
			out[service][id] = append(out[service][id], handles...)
		}
	}
	clear(sc.freedElsewhere)
	return out
}

// HasFreed reports whether TakeFreed has results to return.
func (sc *Scheduler) HasFreed() bool { return len(sc.freed) > 0 || len(sc.freedElsewhere) > 0 }

// resultTTL returns how long targets keep results of an order that aren't freed.
func (sc *Scheduler) resultTTL(o *order) time.Duration {
	ttl := time.Duration(0)
	for service := range o.load {
		ttl = max(ttl, sc.queues[service].spec.ResultTTL)
	}
	return ttl
}
