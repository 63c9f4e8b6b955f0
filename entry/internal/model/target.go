package model

import (
	"strconv"
	"time"

	"chivepost/entry/internal/batch"
)

// target is the model of a stage target: it works on one call at a time.
type target struct {
	service    *Service
	index      int
	dataCentre string
	freeAt     time.Time
	waiting    int
	held       map[string]int64 // results and their bytes
	bytes      int64
}

func (t *target) free(handles []string) {
	for _, h := range handles {
		t.bytes -= t.held[h]
		delete(t.held, h)
	}
}

func (w *world) call(desk int, service string, c *batch.Call) {
	w.out.Calls++
	w.out.Pieces += len(c.Pieces)
	if w.inBurst() {
		w.filled(service, len(c.Pieces))
	}
	t := w.targets[c.Target]
	done, caller := false, w.desks[desk]
	finish := func(made []batch.Outcome, f batch.Failure) {
		if done || w.desks[desk] != caller {
			return
		}
		done = true
		w.desks[desk].CompleteCall(service, c, made, f, w.now)
		w.advance(desk)
	}
	w.after(c.Timeout, func() { finish(nil, batch.FailureTimeout) })
	w.after(w.load.Transit, func() {
		if t.waiting > t.service.Spec.Queue {
			w.after(w.load.Transit, func() { finish(nil, batch.FailureRefused) })
			return
		}
		slow, dead := w.fault(t)
		if dead {
			return // no answer
		}
		begin := w.now
		if t.freeAt.After(begin) {
			begin = t.freeAt
		}
		t.waiting++
		took := time.Duration(0)
		made := make([]batch.Outcome, len(c.Pieces))
		// The end is known once the turn comes; until then a full call is assumed.
		t.freeAt = begin.Add(time.Duration(slow * float64(w.callTime(t, c))))
		w.after(begin.Sub(w.now), func() {
			took = w.makePieces(t, c, made)
			took = time.Duration(slow * float64(took))
			w.out.Busy += took
			w.after(took, func() {
				t.waiting--
				for i := range made {
					if h := made[i].Handle; h != "" {
						w.after(t.service.Spec.HoldFor, func() { t.free([]string{h}) })
					}
				}
				w.after(w.load.Transit, func() { finish(made, batch.FailureNone) })
			})
		})
	})
}

// callTime returns what a call takes if all its pieces have space.
func (w *world) callTime(t *target, c *batch.Call) time.Duration {
	took := t.service.Spec.Call
	for _, p := range c.Pieces {
		took += time.Duration(w.work[p.Request][p.Stage] * float64(t.service.Spec.Item))
	}
	return took
}

// makePieces makes the pieces of a call for which there is space and returns its time.
func (w *world) makePieces(t *target, c *batch.Call, made []batch.Outcome) time.Duration {
	took := t.service.Spec.Call
	for i, p := range c.Pieces {
		size := int64(w.sizes[p.Request][p.Stage])
		if t.bytes+size > t.service.Spec.RoomBytes {
			made[i].Fault = batch.FaultNoSpace
			w.out.NoRoom++
			continue
		}
		h := c.Target + "/" + p.Request + "/" + strconv.Itoa(p.Stage) + "/" + strconv.Itoa(p.Number)
		made[i].Handle = h
		t.held[h] = size
		t.bytes += size
		own := time.Duration(w.work[p.Request][p.Stage] * float64(t.service.Spec.Item))
		took += own
		w.made[p.Request] += own + t.service.Spec.Call/time.Duration(len(c.Pieces))
		w.where[h] = result{dataCentre: t.dataCentre, bytes: size}
		w.read(p.Inputs, t.dataCentre)
	}
	return took
}

// result is what is known of a result by its handle.
type result struct {
	dataCentre string
	bytes      int64
}

// read counts what is read in a data centre.
func (w *world) read(handles []string, dataCentre string) {
	for _, h := range handles {
		r := w.where[h]
		w.out.Read += r.bytes
		if r.dataCentre != dataCentre {
			w.out.Crossed += r.bytes
		}
	}
}

// inBurst reports whether a burst has lasted for a second, so that work waits.
func (w *world) inBurst() bool {
	at := w.now.Sub(w.start)
	for _, b := range w.load.Bursts {
		if at >= b.At+time.Second && at < b.At+b.For {
			return true
		}
	}
	return false
}

func (w *world) filled(service string, pieces int) {
	for i := range w.load.Services {
		if s := &w.load.Services[i]; s.Name == service {
			w.fills[service]++
			w.out.Fill[service] += (float64(pieces)/float64(s.Spec.Batch) - w.out.Fill[service]) / float64(w.fills[service])
		}
	}
}

func (w *world) fault(t *target) (slow float64, dead bool) {
	at := w.now.Sub(w.start)
	for _, f := range w.load.Faults {
		if f.Service == t.service.Name && t.index < f.Targets && t.index%max(f.Every, 1) == 0 && at >= f.At && at < f.At+f.For {
			if f.Slow == 0 {
				return 1, true
			}
			return f.Slow, false
		}
	}
	return 1, false
}
