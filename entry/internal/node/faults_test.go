package node

import (
	"fmt"
	"time"

	"chivepost/entry/internal/memlog"
	"chivepost/share/hosts"
	"chivepost/share/target"
)

// faultList lists all faults. Each begins, lasts 1 to 12 s and ends.
func faultList() []func(w *world, h *history) (name string, end func()) {
	return []func(w *world, h *history) (string, func()){
		func(w *world, h *history) (string, func()) {
			name := pick(h.rng, w.entryNames())
			p := w.proc(name)
			if p == nil {
				return "kill nobody", func() {}
			}
			w.kill(name)
			return "kill " + name, func() { w.start(p.self) }
		},
		func(w *world, h *history) (string, func()) {
			p := w.proc(pick(h.rng, w.entryNames()))
			if p == nil {
				return "pause nobody", func() {}
			}
			p.gate.pause()
			return "pause " + p.self.Name, p.gate.resume
		},
		func(w *world, h *history) (string, func()) {
			a, b := pick(h.rng, dataCentres), pick(h.rng, dataCentres)
			w.cuts.set(a, b, a != b)
			return "cut " + a + " to " + b, func() { w.cuts.set(a, b, false) }
		},
		func(w *world, h *history) (string, func()) {
			a := pick(h.rng, dataCentres)
			for _, b := range dataCentres {
				w.cuts.set(a, b, a != b)
				w.cuts.set(b, a, a != b)
			}
			var cut []*proc
			for _, p := range w.live() {
				if p.self.DataCentre == a {
					p.log.SetDisconnected(true)
					cut = append(cut, p)
				}
			}
			return "region " + a + " cut off, without the log", func() {
				for _, b := range dataCentres {
					w.cuts.set(a, b, false)
					w.cuts.set(b, a, false)
				}
				for _, p := range cut {
					p.log.SetDisconnected(false)
				}
			}
		},
		func(w *world, _ *history) (string, func()) {
			w.log.SetDown(true)
			return "log down", func() { w.log.SetDown(false) }
		},
		func(w *world, h *history) (string, func()) {
			d := time.Duration(100+h.rng.IntN(900)) * time.Millisecond
			w.logDelay.Store(int64(d))
			return fmt.Sprintf("log slow by %s", d), func() { w.logDelay.Store(0) }
		},
		func(w *world, h *history) (string, func()) {
			var faults []memlog.Fault
			for range 5 + h.rng.IntN(20) {
				faults = append(faults, memlog.Fault(h.rng.IntN(4)))
			}
			w.log.Inject(faults...)
			return "log loses answers", func() {}
		},
		func(w *world, _ *history) (string, func()) {
			w.list.mu.Lock()
			w.list.down = true
			w.list.mu.Unlock()
			return "host list down", func() {
				w.list.mu.Lock()
				w.list.down = false
				w.list.mu.Unlock()
			}
		},
		func(w *world, h *history) (string, func()) {
			t := pick(h.rng, w.doc.Targets)
			w.byName[t.Name].set(target.StateCold, h.rng.IntN(2) == 0, w.record)
			return t.Name + " cold", func() { w.byName[t.Name].set(target.StateWarm, false, w.record) }
		},
		func(w *world, h *history) (string, func()) {
			pool := pick(h.rng, w.doc.Pools).Name
			set := func(state target.State) {
				for _, t := range w.doc.Targets {
					if t.Pool == pool {
						w.byName[t.Name].set(state, state == target.StateCold, w.record)
					}
				}
			}
			set(target.StateCold)
			return "all of " + pool + " cold", func() { set(target.StateWarm) }
		},
		func(w *world, h *history) (string, func()) {
			t := pick(h.rng, w.doc.Targets)
			w.setListed(t.Name, hosts.StateLeaving)
			w.byName[t.Name].set(target.StateLeaving, false, w.record)
			return t.Name + " leaving", func() {
				w.setListed(t.Name, hosts.StateLive)
				w.byName[t.Name].set(target.StateCold, true, w.record)
				time.Sleep(3 * time.Second)
				w.byName[t.Name].set(target.StateWarm, false, w.record)
			}
		},
		func(w *world, h *history) (string, func()) {
			p := w.proc(pick(h.rng, w.entryNames()))
			if p == nil {
				return "nobody leaves", func() {}
			}
			w.wait.Go(func() { w.leave(p) })
			return p.self.Name + " leaves", func() { w.restart(p) }
		},
		func(w *world, h *history) (string, func()) {
			dc := pick(h.rng, dataCentres)
			var all []*proc
			for _, p := range w.live() {
				if p.self.DataCentre == dc {
					all = append(all, p)
					w.wait.Go(func() { w.leave(p) })
				}
			}
			return "all hosts of " + dc + " leave", func() {
				for _, p := range all {
					w.restart(p)
				}
			}
		},
		func(w *world, _ *history) (string, func()) {
			all := w.live()
			for _, p := range all {
				w.kill(p.self.Name)
			}
			return "all hosts killed", func() {
				for _, p := range all {
					w.start(p.self)
				}
			}
		},
		func(w *world, h *history) (string, func()) {
			dc := pick(h.rng, dataCentres)
			w.race(h.rng, dc, true)
			return dc + " taken out", func() { w.race(h.rng, dc, false) }
		},
	}
}

// restart starts a process for the host of p once p has ended.
func (w *world) restart(p *proc) {
	w.wait.Go(func() {
		<-p.gate.killed
		time.Sleep(time.Second)
		if w.proc(p.self.Name) == nil {
			w.setListed(p.self.Name, hosts.StateLive)
			w.start(p.self)
		}
	})
}

func (w *world) setListed(name string, state hosts.State) {
	w.list.change(func(list []hosts.Host) []hosts.Host {
		for i := range list {
			if list[i].Name == name {
				list[i].State = state
			}
		}
		return list
	})
}
