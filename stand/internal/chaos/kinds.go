package chaos

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"chivepost/share/hosts"
	"chivepost/share/units"
)

// body is the JSON argument of a step.
type body map[string]any

func (b body) encode() string {
	data, err := json.Marshal(b)
	if err != nil {
		panic(err) // Not reached: bodies hold plain values.
	}
	return string(data)
}

func duration(d time.Duration) units.Duration { return units.Duration(d) }

// kill kills a host and starts it again. The host list follows with a delay, or doesn't
// change if the host is back before it would be removed.
func (p *planner) kill(at time.Duration) fault {
	h := randomOf(p.random, p.entries)
	f := fault{resources: []string{h.Name}}
	back := at + p.between(2*time.Second, 10*time.Second)
	removed := at + p.between(time.Second, 5*time.Second)
	f.add(at, Kill, h.Name)
	f.add(back, Start, h.Name)
	if removed < back {
		f.add(removed, HostRemove, h.Name)
		f.add(back+p.between(200*time.Millisecond, 2*time.Second), HostAdd, hostEntry(h))
	}
	return f
}

// pause suspends a host, at most for several times the duration of its leases.
func (p *planner) pause(at time.Duration) fault {
	h := randomOf(p.random, p.entries)
	f := fault{resources: []string{h.Name}}
	f.add(at, Stop, h.Name)
	f.add(at+p.between(time.Second, 15*time.Second), Continue, h.Name)
	return f
}

// terminate shuts a host down gracefully and starts it again. The host list shows it as
// leaving and removes it a second before the start.
func (p *planner) terminate(at time.Duration) fault {
	h := randomOf(p.random, p.entries)
	f := fault{resources: []string{h.Name}}
	f.add(at, Terminate, h.Name)
	f.add(at+p.between(0, 500*time.Millisecond), HostState, h.Name, body{"state": hosts.StateLeaving}.encode())
	back := at + p.between(10*time.Second, 18*time.Second)
	f.add(back-time.Second, HostRemove, h.Name)
	f.add(back, Start, h.Name)
	f.add(back+p.between(200*time.Millisecond, 2*time.Second), HostAdd, hostEntry(h))
	return f
}

// hostEntry returns the JSON entry of a live host for the host list.
func hostEntry(h hosts.Host) string {
	h.State = hosts.StateLive
	data, err := json.Marshal(h)
	if err != nil {
		panic(err) // Not reached: a host holds plain values.
	}
	return string(data)
}

func (p *planner) logFault(at, length time.Duration, on, off body) fault {
	f := fault{resources: []string{"log"}}
	f.add(at, LogFaults, on.encode())
	f.add(at+length, LogFaults, off.encode())
	return f
}

func (p *planner) logDown(at time.Duration) fault {
	return p.logFault(at, p.between(2*time.Second, 10*time.Second), body{"down": true}, body{"down": false})
}

func (p *planner) logSlow(at time.Duration) fault {
	return p.logFault(at, p.between(5*time.Second, 15*time.Second),
		body{
			"delay":        duration(p.between(100*time.Millisecond, time.Second)),
			"answer_delay": duration(p.between(0, time.Second)),
		},
		body{"delay": duration(0), "answer_delay": duration(0)})
}

func (p *planner) logLosesAnswers(at time.Duration) fault {
	return p.logFault(at, p.between(5*time.Second, 15*time.Second),
		body{"lose_answers": p.randomShare(20, 80)}, body{"lose_answers": 0})
}

func (p *planner) listFault(at, length time.Duration, on, off body) fault {
	f := fault{resources: []string{"hosts"}}
	f.add(at, HostListFaults, on.encode())
	f.add(at+length, HostListFaults, off.encode())
	return f
}

func (p *planner) listDown(at time.Duration) fault {
	return p.listFault(at, p.between(3*time.Second, 12*time.Second), body{"down": true}, body{"down": false})
}

// listLagging makes the versions of the host list go backwards, within the documented
// bound of its lag.
func (p *planner) listLagging(at time.Duration) fault {
	return p.listFault(at, p.between(5*time.Second, 15*time.Second),
		body{"uneven": true, "delay": duration(p.between(0, 300*time.Millisecond))},
		body{"uneven": false, "delay": duration(0)})
}

// randomTargets returns one to three targets of one data centre.
func (p *planner) randomTargets() (dc string, names []string) {
	dc = randomOf(p.random, p.targets).DataCentre
	var all []string
	for _, t := range p.targets {
		if t.DataCentre == dc {
			all = append(all, t.Name)
		}
	}
	for range 1 + p.random.IntN(3) {
		if name := randomOf(p.random, all); !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return dc, names
}

// turnCold turns targets cold without notice, with or without a restart. They warm up by
// themselves.
func (p *planner) turnCold(at time.Duration) fault {
	dc, names := p.randomTargets()
	f := fault{resources: names}
	kind := randomOf(p.random, []string{"cold", "restart"})
	f.add(at, TargetFaults, dc, body{"targets": names, kind: true}.encode())
	f.end = at + p.between(2*time.Second, 10*time.Second)
	return f
}

// turnPoolCold turns all targets of a pool cold at about the same time: only then does more
// work wait than the cold limits allow.
func (p *planner) turnPoolCold(at time.Duration) fault {
	pool := poolOf(randomOf(p.random, p.targets))
	var f fault
	for _, dc := range p.dataCentres {
		var names []string
		for _, t := range p.targets {
			if t.DataCentre == dc && poolOf(t) == pool {
				names = append(names, t.Name)
			}
		}
		if len(names) > 0 {
			f.resources = append(f.resources, names...)
			f.add(at+p.between(0, time.Second), TargetFaults, dc, body{"targets": names, "cold": true}.encode())
		}
	}
	f.end = at + p.between(4*time.Second, 10*time.Second)
	return f
}

// poolOf returns the pool of a target from its name, which has the form
// <data centre>-<pool>-<number>.
func poolOf(t hosts.Host) string {
	name := strings.TrimPrefix(t.Name, t.DataCentre+"-")
	return name[:max(0, strings.LastIndexByte(name, '-'))]
}

func (p *planner) targetFault(at time.Duration, on, off body) fault {
	dc, names := p.randomTargets()
	on["targets"], off["targets"] = names, names
	f := fault{resources: names}
	f.add(at, TargetFaults, dc, on.encode())
	f.add(at+p.between(3*time.Second, 12*time.Second), TargetFaults, dc, off.encode())
	return f
}

func (p *planner) slow(at time.Duration) fault {
	return p.targetFault(at, body{"slow": p.randomShare(200, 2000)}, body{"slow": 0})
}

func (p *planner) failing(at time.Duration) fault {
	return p.targetFault(at,
		body{"fail": p.randomShare(5, 50), "refuse": p.randomShare(0, 20), "lose_answers": p.randomShare(0, 20)},
		body{"fail": 0, "refuse": 0, "lose_answers": 0})
}

// damaged makes targets give answers of other calls, truncated answers and late answers.
func (p *planner) damaged(at time.Duration) fault {
	return p.targetFault(at,
		body{
			"crossed": p.randomShare(5, 30), "truncated": p.randomShare(5, 30),
			"late": duration(p.between(0, 800*time.Millisecond)),
		},
		body{"crossed": 0, "truncated": 0, "late": duration(0)})
}

// leave makes targets leave and return. In two of three cases the host list follows within
// two seconds, otherwise not at all.
func (p *planner) leave(at time.Duration) fault {
	dc, names := p.randomTargets()
	f := fault{resources: names}
	back := at + p.between(6*time.Second, 15*time.Second)
	f.add(at, TargetFaults, dc, body{"targets": names, "leaving": true}.encode())
	listed := p.random.IntN(3) > 0
	for _, name := range names {
		if listed {
			f.add(at+p.between(0, 2*time.Second), HostState, name, body{"state": hosts.StateLeaving}.encode())
			f.add(back+p.between(0, 2*time.Second), HostState, name, body{"state": hosts.StateLive}.encode())
		}
	}
	f.add(back, TargetFaults, dc, body{"targets": names, "leaving": false}.encode())
	return f
}

// partition disconnects a data centre from the platform's services and from the targets of
// the other data centres.
func (p *planner) partition(at time.Duration) fault {
	dc := randomOf(p.random, p.dataCentres)
	f := fault{resources: []string{"cut"}}
	end := at + p.between(3*time.Second, 12*time.Second)
	set := func(at time.Duration, cutOff []string, partitioned string) {
		f.add(at, LogFaults, body{"cut": cutOff}.encode())
		f.add(at, HostListFaults, body{"cut": cutOff}.encode())
		for _, c := range p.dataCentres {
			switch {
			case c != dc:
				f.add(at, TargetFaults, c, body{"cut": cutOff}.encode())
			case partitioned == "":
				f.add(at, TargetFaults, c, body{"cut": []string{}}.encode())
			default:
				f.add(at, TargetFaults, c, body{"cut": slices.DeleteFunc(slices.Clone(p.dataCentres),
					func(c string) bool { return c == dc })}.encode())
			}
		}
	}
	set(at, []string{dc}, dc)
	set(end, []string{}, "")
	return f
}

// takeOut takes a data centre out and brings it back.
func (p *planner) takeOut(at time.Duration) fault {
	dc := randomOf(p.random, p.dataCentres)
	f := fault{resources: []string{"out"}}
	f.add(at, TakeOut, dc)
	f.add(at+p.between(8*time.Second, 20*time.Second), BringBack, dc)
	return f
}

// publishRace makes two operators publish at the same time.
func (p *planner) publishRace(at time.Duration) fault {
	f := fault{resources: []string{"race"}}
	f.add(at, PublishRace)
	f.end = at + p.between(2*time.Second, 6*time.Second)
	return f
}
