package batch

import (
	"expvar"
	"maps"
	"slices"
	"time"
)

var resultsOutlived = expvar.NewInt("stage_results_outlived_count")

// maxRestartPause is how long a target that must have started again, since it repeats handles,
// gets no calls while its new start isn't known. Results that it made before have expired by
// then.
const maxRestartPause = 5 * time.Second

// noStart means that no start of a target is known whose results still exist.
const noStart = -1

// outlived holds the addresses of targets that have started again, with the start whose results
// still exist.
type outlived map[string]int64

// includes reports whether a result is lost. Nothing is known of one whose start isn't known.
func (l outlived) includes(handle string) bool {
	valid, ok := l[addressOf(handle)]
	if !ok {
		return false
	}
	_, made, isBound := SplitHandle(handle)
	return isBound && made != valid
}

// forgetResults forgets the results of a target but those of the valid start.
func (q *Queue) forgetResults(ts *targetState, valid int64) {
	if q.outlived == nil {
		q.outlived = outlived{}
	}
	q.outlived[ts.target.Address] = valid
	for h, r := range ts.results {
		if _, made, isBound := SplitHandle(h); !isBound || made != valid {
			resultsOutlived.Add(1)
			ts.bytes -= r.bytes
			delete(ts.results, h)
		}
	}
}

// takeOutlived returns and forgets which results have been lost since the last call.
func (q *Queue) takeOutlived() outlived {
	out := q.outlived
	q.outlived = nil
	return out
}

// repeatsHandles reports whether an answer has handles of results that its target still holds
// from an earlier call. A target that has started again gives its handles anew, and is seen to
// do so before its entry is read.
func (ts *targetState) repeatsHandles(outcomes []Outcome) bool {
	return slices.ContainsFunc(outcomes, func(o Outcome) bool {
		_, _, isBound := SplitHandle(o.Handle)
		_, isHeld := ts.results[o.Handle]
		return isBound && isHeld
	})
}

// checkStart returns the failure of a call of which it is known, or must be assumed, that its
// answer comes from another start of the target than the one that the call is for.
func (q *Queue) checkStart(ts *targetState, c *Call, outcomes []Outcome, failure Failure, now time.Time) Failure {
	isOutlived := c.Start != ts.target.StartMillis || !c.started.After(ts.repeatedAt)
	switch {
	case isOutlived && (failure == FailureNone || failure == FailureRepeated || c.Start != ts.target.StartMillis):
		return failureOutlived
	case failure == FailureRepeated, failure == FailureNone && ts.repeatsHandles(outcomes):
		q.forgetResults(ts, noStart)
		ts.repeatedAt, ts.pausedUntil = now, later(ts.pausedUntil, now.Add(maxRestartPause))
		return failureOutlived
	}
	return failure
}

// requeueOutlived queues the pieces of running jobs again whose results are lost.
func (q *Queue) requeueOutlived(lost outlived) {
	for _, j := range slices.Clone(q.jobs) {
		for n, h := range j.handles {
			if j.finished || !lost.includes(h) {
				continue
			}
			j.handles[n] = ""
			j.fetched-- // the piece reads its inputs again
			if j.inputsFreed {
				q.finish(j, Result{Reason: ReasonGone})
				break
			}
			if j.isHeld {
				j.held = append(j.held, n)
			} else {
				j.todo = append(j.todo, n)
			}
		}
	}
}

// dropOutlived runs what depends on lost results of a service again.
func (sc *Scheduler) dropOutlived(service string) {
	q := sc.queues[service]
	lost := q.takeOutlived()
	if len(lost) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(sc.byID)) {
		o := sc.byID[id]
		if o == nil {
			continue // dropped with an order before
		}
		for i, s := range o.Stages {
			if s.Service == service && o.loseResults(i, lost) {
				sc.handleStageResult(o, i, Result{Reason: ReasonGone})
				break
			}
		}
	}
	q.requeueOutlived(lost)
}

// loseResults forgets lost results of stage i, and reports whether the order can't go on
// without them.
func (o *order) loseResults(i int, lost outlived) bool {
	st := &o.state[i]
	for n, h := range st.partial {
		if lost.includes(h) {
			st.partial[n] = ""
		}
	}
	if !slices.ContainsFunc(st.handles, lost.includes) {
		return false
	}
	if !o.ended {
		return true
	}
	// Its host has the results; what a later start made under their handles mustn't be freed.
	st.handles = slices.DeleteFunc(slices.Clone(st.handles), lost.includes)
	return false
}

// withoutOutlived returns what is left of the progress of an order from another home, without
// results whose makers have started again since.
func (sc *Scheduler) withoutOutlived(o *order, progress []StageProgress) []StageProgress {
	out := slices.Clone(progress)
	for i := range out {
		q := sc.queues[o.Stages[i].Service]
		if q == nil || !slices.ContainsFunc(out[i].Handles, func(h string) bool { return IsOutlived(h, q.starts) }) {
			continue
		}
		out[i].IsDone = false
		out[i].Handles = slices.Clone(out[i].Handles)
		for n, h := range out[i].Handles {
			if IsOutlived(h, q.starts) {
				out[i].Handles[n] = ""
			}
		}
	}
	return out
}
