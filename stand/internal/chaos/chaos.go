// Package chaos draws a schedule of faults for a run of a whole deployment. It only
// plans: a script carries the steps out, since no program signals another.
package chaos

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/oops"

	"chivepost/share/hosts"
)

// Action says what is to be done in a step.
type Action string

// The actions and their arguments.
const (
	Kill       Action = "kill"        // host: SIGKILL
	Start      Action = "start"       // host: start it again
	Stop       Action = "stop"        // host: SIGSTOP
	Continue   Action = "cont"        // host: SIGCONT
	Terminate  Action = "term"        // host: SIGTERM, a graceful shutdown
	Log        Action = "log"         // JSON: faults of the log service
	HostList   Action = "hosts"       // JSON: faults of the host list
	HostAdd    Action = "host_add"    // JSON: entry of the host list
	HostRemove Action = "host_remove" // host
	HostState  Action = "host_state"  // host or target, JSON: its state in the host list
	Targets    Action = "targets"     // data centre, JSON: faults of targets
	Out        Action = "dc_out"      // data centre: taken out by an operator
	In         Action = "dc_in"       // data centre: brought back
	Race       Action = "race"        // two operators publish from one base version
)

// Step is one line of a schedule. At counts from the start of the load.
type Step struct {
	At     time.Duration
	Action Action
	Args   []string
}

// Options set up a schedule.
type Options struct {
	Seed uint64
	// Duration is the time by which every fault has ended.
	Duration time.Duration
	// Tracks is the number of faults in force at once, apart from short pauses.
	Tracks int
	// Hosts are the entry hosts and targets of the deployment.
	Hosts []hosts.Host
}

// planner is a schedule in progress.
type planner struct {
	opts    Options
	random  *rand.Rand
	entries []hosts.Host
	targets []hosts.Host
	centres []string
	// busy says until when a host, target or service is in use by a fault.
	busy  map[string]time.Duration
	steps []Step
}

// first is the time before which nothing fails, so that each run sees the steady state.
const first = 3 * time.Second

// Plan returns the steps in order of time. It depends only on the options.
func Plan(opts Options) ([]Step, error) {
	p := &planner{
		opts: opts, random: rand.New(rand.NewPCG(opts.Seed, 4)), busy: map[string]time.Duration{},
	}
	for _, h := range opts.Hosts {
		if h.Role == hosts.RoleEntry {
			p.entries = append(p.entries, h)
		} else {
			p.targets = append(p.targets, h)
		}
		if !slices.Contains(p.centres, h.DataCentre) {
			p.centres = append(p.centres, h.DataCentre)
		}
	}
	// Neither the order of the list nor ports may change what a seed stands for.
	byName := func(a, b hosts.Host) int { return cmp.Compare(a.Name, b.Name) }
	slices.SortFunc(p.entries, byName)
	slices.SortFunc(p.targets, byName)
	slices.Sort(p.centres)
	if len(p.entries) == 0 || len(p.targets) == 0 || opts.Tracks < 1 {
		return nil, oops.Errorf("want entry hosts, targets and at least one track, found %d, %d and %d",
			len(p.entries), len(p.targets), opts.Tracks)
	}
	free := make([]time.Duration, opts.Tracks)
	for i := range free {
		free[i] = first + time.Duration(i)*time.Second
	}
	for {
		track := 0
		for i := range free {
			if free[i] < free[track] {
				track = i
			}
		}
		at := free[track]
		if at >= opts.Duration {
			break
		}
		end := at
		if f, ok := p.draw(at); ok {
			p.steps = append(p.steps, f.steps...)
			for _, name := range f.uses {
				p.busy[name] = f.end
			}
			end = f.end
		}
		free[track] = end + p.between(200*time.Millisecond, 2*time.Second)
	}
	slices.SortStableFunc(p.steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return p.steps, nil
}

// fault is a drawn fault: its steps, what it uses, and its end.
type fault struct {
	steps []Step
	uses  []string
	end   time.Duration
}

// add appends a step and moves the end to it.
func (f *fault) add(at time.Duration, action Action, args ...string) {
	f.steps = append(f.steps, Step{At: at, Action: action, Args: args})
	f.end = max(f.end, at)
}

// draw returns a fault that begins at the given time, ends in time and uses nothing
// that another fault uses.
func (p *planner) draw(at time.Duration) (fault, bool) {
	const tries = 20
	for range tries {
		f := p.pick()(at)
		clash := slices.ContainsFunc(f.uses, func(name string) bool { return p.busy[name] > at })
		if len(f.steps) > 0 && !clash && f.end <= p.opts.Duration {
			return f, true
		}
	}
	return fault{}, false
}

// pick chooses a kind of fault by weight.
func (p *planner) pick() func(time.Duration) fault {
	kinds := []struct {
		weight int
		draw   func(time.Duration) fault
	}{
		{4, p.kill},
		{4, p.pause},
		{3, p.terminate},
		{1, p.logDown},
		{1, p.logSlow},
		{2, p.logLosing},
		{1, p.listDown},
		{1, p.listLagging},
		{3, p.cold},
		{2, p.coldPool},
		{1, p.slow},
		{1, p.failing},
		{1, p.damaged},
		{3, p.leave},
		{1, p.cut},
		{2, p.out},
		{2, p.race},
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

// between returns a time between two bounds, in whole milliseconds.
func (p *planner) between(from, to time.Duration) time.Duration {
	return from + time.Duration(p.random.Int64N(int64((to-from)/time.Millisecond)+1))*time.Millisecond
}

// share returns a number between two bounds in hundredths.
func (p *planner) share(from, to int) float64 {
	return float64(from+p.random.IntN(to-from+1)) / 100
}

func one[T any](random *rand.Rand, list []T) T { return list[random.IntN(len(list))] }
