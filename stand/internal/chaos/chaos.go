// Package chaos plans a random schedule of faults for a run of a whole deployment. A script
// executes the steps, since no program of chivepost sends signals to another.
package chaos

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/oops"

	"chivepost/share/hosts"
)

// Action is the kind of a step.
type Action string

// The actions and their arguments.
const (
	Kill           Action = "kill"        // host: SIGKILL
	Start          Action = "start"       // host: start it again
	Stop           Action = "stop"        // host: SIGSTOP
	Continue       Action = "cont"        // host: SIGCONT
	Terminate      Action = "term"        // host: SIGTERM, a graceful shutdown
	LogFaults      Action = "log"         // JSON: faults of the log service
	HostListFaults Action = "hosts"       // JSON: faults of the host list
	HostAdd        Action = "host_add"    // JSON: entry of the host list
	HostRemove     Action = "host_remove" // host
	HostState      Action = "host_state"  // host or target, JSON: its state in the host list
	TargetFaults   Action = "targets"     // data centre, JSON: faults of targets
	TakeOut        Action = "dc_out"      // data centre: an operator takes it out
	BringBack      Action = "dc_in"       // data centre: an operator brings it back
	PublishRace    Action = "race"        // two operators publish from the same base version
)

// Step is one step of a schedule. At is the time since the start of the load.
type Step struct {
	At     time.Duration
	Action Action
	Args   []string
}

// Options configure a schedule.
type Options struct {
	Seed uint64
	// Duration is the time by which every fault has ended.
	Duration time.Duration
	// Tracks is the number of faults in force at once, apart from short gaps between faults.
	Tracks int
	// Hosts are the entry hosts and targets of the deployment.
	Hosts []hosts.Host
}

// planner holds the state of Plan.
type planner struct {
	opts        Options
	random      *rand.Rand
	entries     []hosts.Host
	targets     []hosts.Host
	dataCentres []string
	// busyUntil maps a host, target or other resource to the end of the fault that uses it.
	busyUntil map[string]time.Duration
	steps     []Step
}

// firstFaultAt is the earliest time of a fault. Before it, each run has a steady state.
const firstFaultAt = 3 * time.Second

// Plan returns the steps in order of time. It depends only on the options.
func Plan(opts Options) ([]Step, error) {
	p := &planner{
		opts: opts, random: rand.New(rand.NewPCG(opts.Seed, 4)), busyUntil: map[string]time.Duration{},
	}
	for _, h := range opts.Hosts {
		if h.Role == hosts.RoleEntry {
			p.entries = append(p.entries, h)
		} else {
			p.targets = append(p.targets, h)
		}
		if !slices.Contains(p.dataCentres, h.DataCentre) {
			p.dataCentres = append(p.dataCentres, h.DataCentre)
		}
	}
	// Sorted by name, so that a seed gives the same schedule for any order of the list and any ports.
	byName := func(a, b hosts.Host) int { return cmp.Compare(a.Name, b.Name) }
	slices.SortFunc(p.entries, byName)
	slices.SortFunc(p.targets, byName)
	slices.Sort(p.dataCentres)
	if len(p.entries) == 0 || len(p.targets) == 0 || opts.Tracks < 1 {
		return nil, oops.Errorf("want entry hosts, targets and at least one track, found %d, %d and %d",
			len(p.entries), len(p.targets), opts.Tracks)
	}
	freeAt := make([]time.Duration, opts.Tracks)
	for i := range freeAt {
		freeAt[i] = firstFaultAt + time.Duration(i)*time.Second
	}
	for {
		track := 0
		for i := range freeAt {
			if freeAt[i] < freeAt[track] {
				track = i
			}
		}
		at := freeAt[track]
		if at >= opts.Duration {
			break
		}
		end := at
		if f, ok := p.drawFault(at); ok {
			p.steps = append(p.steps, f.steps...)
			for _, name := range f.resources {
				p.busyUntil[name] = f.end
			}
			end = f.end
		}
		freeAt[track] = end + p.between(200*time.Millisecond, 2*time.Second)
	}
	slices.SortStableFunc(p.steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return p.steps, nil
}

// fault is a fault of the schedule: its steps, the resources it uses, and its end.
type fault struct {
	steps     []Step
	resources []string
	end       time.Duration
}

// add appends a step and moves the end to it.
func (f *fault) add(at time.Duration, action Action, args ...string) {
	f.steps = append(f.steps, Step{At: at, Action: action, Args: args})
	f.end = max(f.end, at)
}

// drawFault returns a random fault that begins at the given time, ends within the duration
// and uses no resource of another fault. It returns false if it finds none.
func (p *planner) drawFault(at time.Duration) (fault, bool) {
	const maxTries = 20
	for range maxTries {
		f := p.randomKind()(at)
		conflict := slices.ContainsFunc(f.resources, func(name string) bool { return p.busyUntil[name] > at })
		if len(f.steps) > 0 && !conflict && f.end <= p.opts.Duration {
			return f, true
		}
	}
	return fault{}, false
}

// randomKind returns the function of a kind of fault, drawn by weight.
func (p *planner) randomKind() func(time.Duration) fault {
	kinds := []struct {
		weight int
		draw   func(time.Duration) fault
	}{
		{4, p.kill},
		{4, p.pause},
		{3, p.terminate},
		{1, p.logDown},
		{1, p.logSlow},
		{2, p.logLosesAnswers},
		{1, p.listDown},
		{1, p.listLagging},
		{3, p.turnCold},
		{2, p.turnPoolCold},
		{1, p.slow},
		{1, p.failing},
		{1, p.damaged},
		{3, p.leave},
		{1, p.partition},
		{2, p.takeOut},
		{2, p.publishRace},
	}
	sum := 0
	for _, k := range kinds {
		sum += k.weight
	}
	n := p.random.IntN(sum)
	for _, k := range kinds {
		if n -= k.weight; n < 0 {
			return k.draw
		}
	}
	return nil // Not reached: n is below the sum.
}

// between returns a random duration between two bounds, in whole milliseconds.
func (p *planner) between(from, to time.Duration) time.Duration {
	return from + time.Duration(p.random.Int64N(int64((to-from)/time.Millisecond)+1))*time.Millisecond
}

// randomShare returns a random number between two bounds that are given in hundredths.
func (p *planner) randomShare(from, to int) float64 {
	return float64(from+p.random.IntN(to-from+1)) / 100
}

// randomOf returns a random element of a list.
func randomOf[T any](random *rand.Rand, list []T) T { return list[random.IntN(len(list))] }
