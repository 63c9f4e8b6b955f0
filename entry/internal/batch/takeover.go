package batch

import "slices"

// resumeProgress reuses the results that an order has from its previous home.
func (sc *Scheduler) resumeProgress(o *order) {
	progress := o.Progress
	o.Progress = nil // used only once: a restarted order runs all stages again
	if len(progress) != len(o.Stages) {
		return
	}
	progress = sc.withoutOutlived(o, progress)
	reusable := o.reusableStages(progress)
	for i, p := range progress {
		st := &o.state[i]
		if !reusable[i] || st.done {
			if q := sc.queues[o.Stages[i].Service]; q != nil && !p.IsDone && len(p.Handles) == o.pieceCount(i) {
				st.partial = p.Handles
				q.adopt(p.Handles, o.Stages[i].ResultBytes, sc.now)
			}
			continue
		}
		st.done, st.handles = true, p.Handles
		sc.committed[o.Stages[i].Service] -= st.committed
		st.committed = 0
		o.stagesLeft--
		if q := sc.queues[o.Stages[i].Service]; q != nil {
			q.adopt(p.Handles, o.Stages[i].ResultBytes, sc.now)
		}
	}
	for i, s := range o.Stages {
		if o.state[i].done {
			o.state[i].inputsFreed = true
			for _, a := range s.After {
				o.state[a].readers--
			}
		}
	}
	sc.endIfDone(o)
}

// reusableStages returns which stages needn't run again: those that are done and
// whose results either exist, or were freed after all stages that read them, which
// are reusable too.
func (o *order) reusableStages(progress []StageProgress) []bool {
	out := make([]bool, len(progress))
	for i, p := range progress {
		out[i] = p.IsDone && (len(p.Handles) == 0 || len(p.Handles) == o.pieceCount(i))
	}
	// Stages may be listed in any order; as many passes as there are stages suffice.
	for range progress {
		for i, p := range progress {
			out[i] = out[i] && (len(p.Handles) == o.pieceCount(i) || o.isConsumed(out, i))
		}
	}
	return out
}

// isConsumed reports whether some stage reads the results of stage i and all stages
// that do are reusable.
func (o *order) isConsumed(reusable []bool, i int) bool {
	hasReader := false
	for k, s := range o.Stages {
		if slices.Contains(s.After, i) && o.pieceCount(k) > 0 {
			if !reusable[k] {
				return false
			}
			hasReader = true
		}
	}
	return hasReader
}

// Progress returns the results so far of the stages of a running order, or nil if
// there are none.
func (sc *Scheduler) Progress(id string) []StageProgress {
	o := sc.byID[id]
	if o == nil || o.ended {
		return nil
	}
	out, isAny := make([]StageProgress, len(o.state)), false
	for i := range o.state {
		st := &o.state[i]
		out[i] = StageProgress{IsDone: st.done, Handles: st.handles}
		if !st.done && st.jobID != "" {
			out[i].Handles = sc.queues[o.Stages[i].Service].partialResults(st.jobID)
		}
		isAny = isAny || st.done && o.pieceCount(i) > 0 || out[i].Handles != nil
	}
	if !isAny {
		return nil
	}
	return out
}
