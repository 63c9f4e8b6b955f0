package batch

import (
	"slices"
	"time"
)

// Hold stops an order for which no host polls at present: another home may go on with it. No
// call is started for it, no stage, and no result is freed that the other home may read, until
// Resume. Calls that run go on.
func (sc *Scheduler) Hold(id string) {
	o := sc.byID[id]
	if o == nil || o.isHeld {
		return
	}
	o.isHeld = true
	for i := range o.state {
		st := &o.state[i]
		sc.committed[o.Stages[i].Service] -= st.committed
		st.committed = 0
		if st.jobID != "" && !st.done {
			sc.queues[o.Stages[i].Service].Hold(st.jobID)
		}
	}
}

// Resume goes on with an order that was held.
func (sc *Scheduler) Resume(id string, now time.Time) {
	sc.now = now
	o := sc.byID[id]
	if o == nil || !o.isHeld {
		return
	}
	o.isHeld = false
	if slices.Contains(sc.waiting, o) {
		return
	}
	for i := range o.state {
		st := &o.state[i]
		switch {
		case st.done:
			sc.freeInputs(o, i)
		case !o.ended:
			st.committed = o.pieceCount(i)
			sc.committed[o.Stages[i].Service] += st.committed
			if st.jobID != "" {
				sc.queues[o.Stages[i].Service].Resume(st.jobID)
			}
		}
	}
	for i := range o.state {
		if !o.ended && o.state[i].jobID == "" && !o.state[i].done && sc.isReady(o, i) {
			sc.startStage(o, i, now)
		}
	}
}

// Hold keeps the pieces of a job that aren't in a call until Resume.
func (q *Queue) Hold(id string) {
	if j := q.byID[id]; j != nil && !j.isHeld {
		j.isHeld, j.held, j.todo = true, j.todo, nil
	}
}

// Resume lets the pieces of a job that was held be sent.
func (q *Queue) Resume(id string) {
	if j := q.byID[id]; j != nil && j.isHeld {
		j.isHeld, j.held, j.todo = false, nil, j.held
	}
}

// left returns the number of pieces to send, at once or once the job isn't held.
func (j *queuedJob) left() int { return len(j.todo) + len(j.held) }
