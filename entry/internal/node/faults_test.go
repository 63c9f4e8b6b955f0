package node

import (
	"fmt"
	"time"

	"chivepost/entry/internal/memlog"
	"chivepost/share/hosts"
	"chivepost/share/target"
)

// faultList lists all faults. Each function starts a fault and returns its name and the
// function that ends it, which runHistory calls after 1 to 12 s.
func faultList() []func(env *testEnv, h *history) (name string, end func()) {
	return []func(env *testEnv, h *history) (string, func()){
		func(env *testEnv, h *history) (string, func()) {
			name := pick(h.rng, env.entryNames())
			p := env.process(name)
			if p == nil {
				return "kill: no process", func() {}
			}
			env.kill(name)
			return "kill " + name, func() { env.startProcess(p.self) }
		},
		func(env *testEnv, h *history) (string, func()) {
			p := env.process(pick(h.rng, env.entryNames()))
			if p == nil {
				return "pause: no process", func() {}
			}
			p.gate.pause()
			return "pause " + p.self.Name, p.gate.resume
		},
		func(env *testEnv, h *history) (string, func()) {
			a, b := pick(h.rng, dataCentres), pick(h.rng, dataCentres)
			env.partitions.set(a, b, a != b)
			return "block " + a + " to " + b, func() { env.partitions.set(a, b, false) }
		},
		func(env *testEnv, h *history) (string, func()) {
			a := pick(h.rng, dataCentres)
			for _, b := range dataCentres {
				env.partitions.set(a, b, a != b)
				env.partitions.set(b, a, a != b)
			}
			var disconnected []*process
			for _, p := range env.live() {
				if p.self.DataCentre == a {
					p.log.SetDisconnected(true)
					disconnected = append(disconnected, p)
				}
			}
			return "region " + a + " cut off, without the log", func() {
				for _, b := range dataCentres {
					env.partitions.set(a, b, false)
					env.partitions.set(b, a, false)
				}
				for _, p := range disconnected {
					p.log.SetDisconnected(false)
				}
			}
		},
		func(env *testEnv, _ *history) (string, func()) {
			env.log.SetDown(true)
			return "log down", func() { env.log.SetDown(false) }
		},
		func(env *testEnv, h *history) (string, func()) {
			d := time.Duration(100+h.rng.IntN(900)) * time.Millisecond
			env.logDelay.Store(int64(d))
			return fmt.Sprintf("log slow by %s", d), func() { env.logDelay.Store(0) }
		},
		func(env *testEnv, h *history) (string, func()) {
			var faults []memlog.Fault
			for range 5 + h.rng.IntN(20) {
				faults = append(faults, memlog.Fault(h.rng.IntN(4)))
			}
			env.log.Inject(faults...)
			return "log loses responses", func() {}
		},
		func(env *testEnv, _ *history) (string, func()) {
			env.list.mu.Lock()
			env.list.unavailable = true
			env.list.mu.Unlock()
			return "host list down", func() {
				env.list.mu.Lock()
				env.list.unavailable = false
				env.list.mu.Unlock()
			}
		},
		func(env *testEnv, h *history) (string, func()) {
			t := pick(h.rng, env.doc.Targets)
			env.targetsByName[t.Name].setState(target.StateCold, h.rng.IntN(2) == 0, env.recorder)
			return t.Name + " cold", func() { env.targetsByName[t.Name].setState(target.StateWarm, false, env.recorder) }
		},
		func(env *testEnv, h *history) (string, func()) {
			pool := pick(h.rng, env.doc.Pools).Name
			set := func(state target.State) {
				for _, t := range env.doc.Targets {
					if t.Pool == pool {
						env.targetsByName[t.Name].setState(state, state == target.StateCold, env.recorder)
					}
				}
			}
			set(target.StateCold)
			return "all of " + pool + " cold", func() { set(target.StateWarm) }
		},
		func(env *testEnv, h *history) (string, func()) {
			t := pick(h.rng, env.doc.Targets)
			env.setHostState(t.Name, hosts.StateLeaving)
			env.targetsByName[t.Name].setState(target.StateLeaving, false, env.recorder)
			return t.Name + " leaving", func() {
				env.setHostState(t.Name, hosts.StateLive)
				env.targetsByName[t.Name].setState(target.StateCold, true, env.recorder)
				time.Sleep(3 * time.Second)
				env.targetsByName[t.Name].setState(target.StateWarm, false, env.recorder)
			}
		},
		func(env *testEnv, h *history) (string, func()) {
			p := env.process(pick(h.rng, env.entryNames()))
			if p == nil {
				return "leave: no process", func() {}
			}
			env.wg.Go(func() { env.leave(p) })
			return p.self.Name + " leaves", func() { env.restart(p) }
		},
		func(env *testEnv, h *history) (string, func()) {
			dc := pick(h.rng, dataCentres)
			var all []*process
			for _, p := range env.live() {
				if p.self.DataCentre == dc {
					all = append(all, p)
					env.wg.Go(func() { env.leave(p) })
				}
			}
			return "all hosts of " + dc + " leave", func() {
				for _, p := range all {
					env.restart(p)
				}
			}
		},
		func(env *testEnv, _ *history) (string, func()) {
			all := env.live()
			for _, p := range all {
				env.kill(p.self.Name)
			}
			return "all hosts killed", func() {
				for _, p := range all {
					env.startProcess(p.self)
				}
			}
		},
		func(env *testEnv, h *history) (string, func()) {
			dc := pick(h.rng, dataCentres)
			env.raceOperators(h.rng, dc, true)
			return dc + " taken out", func() { env.raceOperators(h.rng, dc, false) }
		},
	}
}

// restart starts a new process of the host of p after p has ended.
func (env *testEnv) restart(p *process) {
	env.wg.Go(func() {
		<-p.gate.killed
		time.Sleep(time.Second)
		if env.process(p.self.Name) == nil {
			env.setHostState(p.self.Name, hosts.StateLive)
			env.startProcess(p.self)
		}
	})
}

// setHostState sets the state of a host in the host list.
func (env *testEnv) setHostState(name string, state hosts.State) {
	env.list.update(func(list []hosts.Host) []hosts.Host {
		for i := range list {
			if list[i].Name == name {
				list[i].State = state
			}
		}
		return list
	})
}
