package model

import (
	"strconv"
	"time"

	"chivepost/entry/internal/batch"
)

// target models a stage target that runs one call at a time.
type target struct {
	service    *Service
	index      int
	dataCentre string
	freeAt     time.Time        // end of the last accepted call
	calls      int              // queued or running
	results    map[string]int64 // bytes, by handle
	bytes      int64            // of all results
}

// free removes results.
func (t *target) free(handles []string) {
	for _, h := range handles {
		t.bytes -= t.results[h]
		delete(t.results, h)
	}
}

// runCall simulates a call from a scheduler to a target, including its timeout.
func (sim *simulation) runCall(index int, service string, c *batch.Call) {
	sim.outcome.Calls++
	sim.outcome.Pieces += len(c.Pieces)
	if sim.inBurst() {
		sim.countFill(service, len(c.Pieces))
	}
	t := sim.targets[c.Target]
	done, scheduler := false, sim.schedulers[index]
	finish := func(outcomes []batch.Outcome, f batch.Failure) {
		if done || sim.schedulers[index] != scheduler {
			return // already timed out, or the home is lost
		}
		done = true
		sim.schedulers[index].CompleteCall(service, c, outcomes, f, sim.now)
		sim.advance(index)
	}
	sim.after(c.Timeout, func() { finish(nil, batch.FailureTimeout) })
	sim.after(sim.load.Transit, func() {
		if t.calls > t.service.Spec.MaxQueued {
			sim.after(sim.load.Transit, func() { finish(nil, batch.FailureRefused) })
			return
		}
		slowdown, noAnswer := sim.currentFault(t)
		if noAnswer {
			return // the call gets no answer
		}
		begin := sim.now
		if t.freeAt.After(begin) {
			begin = t.freeAt
		}
		t.calls++
		took := time.Duration(0)
		outcomes := make([]batch.Outcome, len(c.Pieces))
		// The time of the call is known only when it starts. Until then, it is assumed
		// that all its pieces find space.
		t.freeAt = begin.Add(time.Duration(slowdown * float64(sim.callTime(t, c))))
		sim.after(begin.Sub(sim.now), func() {
			took = sim.runPieces(t, c, outcomes)
			took = time.Duration(slowdown * float64(took))
			sim.outcome.Busy += took
			sim.after(took, func() {
				t.calls--
				for i := range outcomes {
					if h := outcomes[i].Handle; h != "" {
						sim.after(t.service.Spec.ResultTTL, func() { t.free([]string{h}) })
					}
				}
				sim.after(sim.load.Transit, func() { finish(outcomes, batch.FailureNone) })
			})
		})
	})
}

// callTime returns the time of a call if all its pieces find space.
func (sim *simulation) callTime(t *target, c *batch.Call) time.Duration {
	took := t.service.Spec.CallOverhead
	for _, p := range c.Pieces {
		took += time.Duration(sim.workFactors[p.Request][p.Stage] * float64(t.service.Spec.ItemTime))
	}
	return took
}

// runPieces runs the pieces of a call that find space for their results. It returns
// the time of the call.
func (sim *simulation) runPieces(t *target, c *batch.Call, outcomes []batch.Outcome) time.Duration {
	took := t.service.Spec.CallOverhead
	for i, p := range c.Pieces {
		size := int64(sim.resultSizes[p.Request][p.Stage])
		if t.bytes+size > t.service.Spec.ResultSpaceBytes {
			outcomes[i].Fault = batch.FaultNoSpace
			sim.outcome.NoSpace++
			continue
		}
		h := c.Target + "/" + p.Request + "/" + strconv.Itoa(p.Stage) + "/" + strconv.Itoa(p.Number)
		outcomes[i].Handle = h
		t.results[h] = size
		t.bytes += size
		workTime := time.Duration(sim.workFactors[p.Request][p.Stage] * float64(t.service.Spec.ItemTime))
		took += workTime
		sim.workDone[p.Request] += workTime + t.service.Spec.CallOverhead/time.Duration(len(c.Pieces))
		sim.results[h] = result{dataCentre: t.dataCentre, bytes: size}
		sim.countReads(p.Inputs, t.dataCentre)
	}
	return took
}

// result is the location and size of a result.
type result struct {
	dataCentre string
	bytes      int64
}

// countReads counts results that are read in a data centre.
func (sim *simulation) countReads(handles []string, dataCentre string) {
	for _, h := range handles {
		r := sim.results[h]
		sim.outcome.ReadBytes += r.bytes
		if r.dataCentre != dataCentre {
			sim.outcome.CrossBytes += r.bytes
		}
	}
}

// inBurst reports whether a burst has lasted for at least a second, so that pieces
// are waiting.
func (sim *simulation) inBurst() bool {
	at := sim.now.Sub(sim.start)
	for _, b := range sim.load.Bursts {
		if at >= b.At+time.Second && at < b.At+b.Duration {
			return true
		}
	}
	return false
}

// countFill adds a call to the mean fill of a service.
func (sim *simulation) countFill(service string, pieces int) {
	for i := range sim.load.Services {
		if s := &sim.load.Services[i]; s.Name == service {
			sim.burstCalls[service]++
			sim.outcome.Fill[service] += (float64(pieces)/float64(s.Spec.BatchSize) - sim.outcome.Fill[service]) / float64(sim.burstCalls[service])
		}
	}
}

// currentFault returns the current slowdown of a target, and whether it doesn't answer.
func (sim *simulation) currentFault(t *target) (slowdown float64, noAnswer bool) {
	at := sim.now.Sub(sim.start)
	for _, f := range sim.load.Faults {
		if f.Service == t.service.Name && t.index < f.Targets && t.index%max(f.Every, 1) == 0 && at >= f.At && at < f.At+f.Duration {
			if f.Slowdown == 0 {
				return 1, true
			}
			return f.Slowdown, false
		}
	}
	return 1, false
}
