package batch

import "slices"

// takeOver takes the results that an order already has from another home.
func (d *Scheduler) takeOver(o *order) {
	made := o.Progress
	o.Progress = nil // only once: results that prove gone are made again
	if len(made) != len(o.Stages) {
		return
	}
	kept := o.kept(made)
	for i, m := range made {
		st := &o.state[i]
		if !kept[i] || st.done {
			if q := d.queues[o.Stages[i].Service]; q != nil && !m.IsDone && len(m.Handles) == o.pieces(i) {
				st.part = m.Handles
				q.adopt(m.Handles, o.Stages[i].ResultBytes, d.now)
			}
			continue
		}
		st.done, st.handles = true, m.Handles
		d.committed[o.Stages[i].Service] -= st.missing
		st.missing = 0
		o.left--
		if q := d.queues[o.Stages[i].Service]; q != nil {
			q.adopt(m.Handles, o.Stages[i].ResultBytes, d.now)
		}
	}
	for i, s := range o.Stages {
		if o.state[i].done {
			o.state[i].hasRead = true
			for _, a := range s.After {
				o.state[a].users--
			}
		}
	}
	d.endIfDone(o)
}

// kept returns which stages need not run again: those that are done and whose
// results are there, or were given up since all stages that read them are kept.
func (o *order) kept(made []StageProgress) []bool {
	out := make([]bool, len(made))
	for i, m := range made {
		out[i] = m.IsDone && (len(m.Handles) == 0 || len(m.Handles) == o.pieces(i))
	}
	// Stages may stand in any order; as many passes as stages settle everything.
	for range made {
		for i, m := range made {
			out[i] = out[i] && (len(m.Handles) == o.pieces(i) || o.isPast(out, i))
		}
	}
	return out
}

// isPast reports whether some stage reads the results of stage i and all that do
// are kept.
func (o *order) isPast(kept []bool, i int) bool {
	used := false
	for k, s := range o.Stages {
		if slices.Contains(s.After, i) && o.pieces(k) > 0 {
			if !kept[k] {
				return false
			}
			used = true
		}
	}
	return used
}

// Progress returns what there is of the stages of an order under way.
func (d *Scheduler) Progress(id string) []StageProgress {
	o := d.byID[id]
	if o == nil || o.ended {
		return nil
	}
	out, isAny := make([]StageProgress, len(o.state)), false
	for i := range o.state {
		st := &o.state[i]
		out[i] = StageProgress{IsDone: st.done, Handles: st.handles}
		if !st.done && st.job != "" {
			out[i].Handles = d.queues[o.Stages[i].Service].part(st.job)
		}
		isAny = isAny || st.done && o.pieces(i) > 0 || out[i].Handles != nil
	}
	if !isAny {
		return nil
	}
	return out
}
