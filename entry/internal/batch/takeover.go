package batch

// takeOver takes the results that an order already has from another home.
func (d *Desk) takeOver(o *order) {
	made := o.Made
	o.Made = nil // only once: results that prove gone are made again
	if len(made) != len(o.Stages) {
		return
	}
	for i, m := range made {
		st := &o.state[i]
		if !m.IsDone || st.done || len(m.Handles) != o.pieces(i) && len(m.Handles) > 0 {
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
			for _, a := range s.After {
				o.state[a].users--
			}
		}
	}
	d.endIfDone(o)
}

// Made returns what there is of the stages of an order under way.
func (d *Desk) Made(id string) []Made {
	o := d.byID[id]
	if o == nil || o.ended {
		return nil
	}
	var out []Made
	for i := range o.state {
		if o.state[i].done && o.pieces(i) > 0 && out == nil {
			out = make([]Made, len(o.state))
		}
	}
	for i := range out {
		out[i] = Made{IsDone: o.state[i].done, Handles: o.state[i].handles}
	}
	return out
}
