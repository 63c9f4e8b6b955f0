package chaos

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"chivepost/share/hosts"
	"chivepost/share/units"
)

// body is the JSON body of a step.
type body map[string]any

func (b body) text() string {
	data, err := json.Marshal(b)
	if err != nil {
		panic(err) // Not reached: bodies hold plain values.
	}
	return string(data)
}

func duration(d time.Duration) units.Duration { return units.Duration(d) }

// kill ends a host without notice and starts it again. The platform sees its end and
// its return after a while, or neither if the host is back sooner.
func (p *planner) kill(at time.Duration) fault {
	h := one(p.random, p.entries)
	f := fault{uses: []string{h.Name}}
	back := at + p.between(2*time.Second, 10*time.Second)
	removed := at + p.between(time.Second, 5*time.Second)
	f.add(at, Kill, h.Name)
	f.add(back, Start, h.Name)
	if removed < back {
		f.add(removed, HostRemove, h.Name)
		f.add(back+p.between(200*time.Millisecond, 2*time.Second), HostAdd, entryOf(h))
	}
	return f
}

// pause stops a host for up to several times its leases.
func (p *planner) pause(at time.Duration) fault {
	h := one(p.random, p.entries)
	f := fault{uses: []string{h.Name}}
	f.add(at, Stop, h.Name)
	f.add(at+p.between(time.Second, 15*time.Second), Continue, h.Name)
	return f
}

// terminate shuts a host down gracefully. The platform shows it as leaving and
// removes it when it is about to start it again.
func (p *planner) terminate(at time.Duration) fault {
	h := one(p.random, p.entries)
	f := fault{uses: []string{h.Name}}
	f.add(at, Terminate, h.Name)
	f.add(at+p.between(0, 500*time.Millisecond), HostState, h.Name, body{"state": hosts.StateLeaving}.text())
	back := at + p.between(10*time.Second, 18*time.Second)
	f.add(back-time.Second, HostRemove, h.Name)
	f.add(back, Start, h.Name)
	f.add(back+p.between(200*time.Millisecond, 2*time.Second), HostAdd, entryOf(h))
	return f
}

func entryOf(h hosts.Host) string {
	h.State = hosts.StateLive
	data, err := json.Marshal(h)
	if err != nil {
		panic(err) // Not reached: a host holds plain values.
	}
	return string(data)
}

func (p *planner) logFault(at, length time.Duration, on, off body) fault {
	f := fault{uses: []string{"log"}}
	f.add(at, Log, on.text())
	f.add(at+length, Log, off.text())
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

func (p *planner) logLosing(at time.Duration) fault {
	return p.logFault(at, p.between(5*time.Second, 15*time.Second),
		body{"lose_answers": p.share(20, 80)}, body{"lose_answers": 0})
}

func (p *planner) listFault(at, length time.Duration, on, off body) fault {
	f := fault{uses: []string{"hosts"}}
	f.add(at, HostList, on.text())
	f.add(at+length, HostList, off.text())
	return f
}

func (p *planner) listDown(at time.Duration) fault {
	return p.listFault(at, p.between(3*time.Second, 12*time.Second), body{"down": true}, body{"down": false})
}

// listLagging makes versions go backwards within the stated bound of the lag.
func (p *planner) listLagging(at time.Duration) fault {
	return p.listFault(at, p.between(5*time.Second, 15*time.Second),
		body{"uneven": true, "delay": duration(p.between(0, 300*time.Millisecond))},
		body{"uneven": false, "delay": duration(0)})
}

// some returns one to three targets of one data centre.
func (p *planner) some() (dc string, names []string) {
	dc = one(p.random, p.targets).DataCentre
	var all []string
	for _, t := range p.targets {
		if t.DataCentre == dc {
			all = append(all, t.Name)
		}
	}
	for range 1 + p.random.IntN(3) {
		if name := one(p.random, all); !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return dc, names
}

// cold turns targets cold without notice. They become warm by themselves.
func (p *planner) cold(at time.Duration) fault {
	dc, names := p.some()
	f := fault{uses: names}
	kind := one(p.random, []string{"cold", "restart"})
	f.add(at, Targets, dc, body{"targets": names, kind: true}.text())
	f.end = at + p.between(2*time.Second, 10*time.Second)
	return f
}

// coldPool turns all targets of a pool cold at once: only then is more work waiting
// than the cold limits allow.
func (p *planner) coldPool(at time.Duration) fault {
	pool := poolOf(one(p.random, p.targets))
	var f fault
	for _, dc := range p.centres {
		var names []string
		for _, t := range p.targets {
			if t.DataCentre == dc && poolOf(t) == pool {
				names = append(names, t.Name)
			}
		}
		if len(names) > 0 {
			f.uses = append(f.uses, names...)
			f.add(at+p.between(0, time.Second), Targets, dc, body{"targets": names, "cold": true}.text())
		}
	}
	f.end = at + p.between(4*time.Second, 10*time.Second)
	return f
}

// poolOf returns the pool in a target's name, which is data centre, pool and number.
func poolOf(t hosts.Host) string {
	name := strings.TrimPrefix(t.Name, t.DataCentre+"-")
	return name[:max(0, strings.LastIndexByte(name, '-'))]
}

func (p *planner) targetFault(at time.Duration, on, off body) fault {
	dc, names := p.some()
	on["targets"], off["targets"] = names, names
	f := fault{uses: names}
	f.add(at, Targets, dc, on.text())
	f.add(at+p.between(3*time.Second, 12*time.Second), Targets, dc, off.text())
	return f
}

func (p *planner) slow(at time.Duration) fault {
	return p.targetFault(at, body{"slow": p.share(200, 2000)}, body{"slow": 0})
}

func (p *planner) failing(at time.Duration) fault {
	return p.targetFault(at,
		body{"fail": p.share(5, 50), "refuse": p.share(0, 20), "lose_answers": p.share(0, 20)},
		body{"fail": 0, "refuse": 0, "lose_answers": 0})
}

// damaged gives answers of other calls, parts of answers and late answers.
func (p *planner) damaged(at time.Duration) fault {
	return p.targetFault(at,
		body{
			"crossed": p.share(5, 30), "truncated": p.share(5, 30),
			"late": duration(p.between(0, 800*time.Millisecond)),
		},
		body{"crossed": 0, "truncated": 0, "late": duration(0)})
}

// leave makes targets leave and return. The platform's list says so at about the
// same time, or not at all.
func (p *planner) leave(at time.Duration) fault {
	dc, names := p.some()
	f := fault{uses: names}
	back := at + p.between(6*time.Second, 15*time.Second)
	f.add(at, Targets, dc, body{"targets": names, "leaving": true}.text())
	listed := p.random.IntN(3) > 0
	for _, name := range names {
		if listed {
			f.add(at+p.between(0, 2*time.Second), HostState, name, body{"state": hosts.StateLeaving}.text())
			f.add(back+p.between(0, 2*time.Second), HostState, name, body{"state": hosts.StateLive}.text())
		}
	}
	f.add(back, Targets, dc, body{"targets": names, "leaving": false}.text())
	return f
}

// cut parts a data centre from the platform and from the targets of the others.
func (p *planner) cut(at time.Duration) fault {
	dc := one(p.random, p.centres)
	f := fault{uses: []string{"cut"}}
	end := at + p.between(3*time.Second, 12*time.Second)
	set := func(at time.Duration, far []string, own string) {
		f.add(at, Log, body{"cut": far}.text())
		f.add(at, HostList, body{"cut": far}.text())
		for _, c := range p.centres {
			switch {
			case c != dc:
				f.add(at, Targets, c, body{"cut": far}.text())
			case own == "":
				f.add(at, Targets, c, body{"cut": []string{}}.text())
			default:
				f.add(at, Targets, c, body{"cut": slices.DeleteFunc(slices.Clone(p.centres),
					func(c string) bool { return c == dc })}.text())
			}
		}
	}
	set(at, []string{dc}, dc)
	set(end, []string{}, "")
	return f
}

// out takes a data centre out and brings it back.
func (p *planner) out(at time.Duration) fault {
	dc := one(p.random, p.centres)
	f := fault{uses: []string{"out"}}
	f.add(at, Out, dc)
	f.add(at+p.between(8*time.Second, 20*time.Second), In, dc)
	return f
}

func (p *planner) race(at time.Duration) fault {
	f := fault{uses: []string{"race"}}
	f.add(at, Race)
	f.end = at + p.between(2*time.Second, 6*time.Second)
	return f
}
