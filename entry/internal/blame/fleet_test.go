package blame

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

var start = time.Now()

// event is something that happens at a time in a simulation.
type event struct {
	at  time.Duration
	seq int // keeps events of the same time in order
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// simTarget is a target that runs requests until it crashes.
type simTarget struct {
	name        string
	incarnation int64
	isUp        bool
	running     map[*simRequest]bool
}

// simHost is a host whose state sends as the Controller does.
type simHost struct {
	state    *state
	sentAt   time.Duration
	isQueued bool // a send of news is scheduled
	isDown   bool
}

// simRequest is a request at a host.
type simRequest struct {
	host     *simHost
	parts    []string
	own      string
	isDeadly bool
	isTrial  bool
	attempts int
	beganAt  time.Duration // negative: not begun at the current target
	target   *simTarget
}

// simulation is a fleet of hosts that send requests to targets, in virtual time.
type simulation struct {
	rng      *rand.Rand
	now      time.Duration
	queue    eventQueue
	seq      int
	hosts    []*simHost
	targets  []*simTarget
	lossRate float64 // of datagrams
	attempts int
	systems  int  // number of first parts of sound requests
	index    int  // of the deadly part in its prompts
	isSticky bool // requests with the same last part prefer the same target
	off      bool // the hosts check nothing

	deadlySent    []time.Duration // when requests with the deadly part reached targets
	deadlyCrashes []time.Duration
	soundSent     int
	soundRefused  int
	sentBytes     int
}

func newSimulation(seed uint64, hosts, targets int) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), attempts: 2, systems: 6, index: 1}
	for i := range targets {
		sim.targets = append(sim.targets, &simTarget{name: fmt.Sprintf("t%d", i), isUp: true, running: map[*simRequest]bool{}})
	}
	for range hosts {
		sim.addHost()
	}
	return sim
}

// addHost starts a host.
func (sim *simulation) addHost() *simHost {
	h := &simHost{state: newState(), sentAt: -time.Hour}
	sim.hosts = append(sim.hosts, h)
	round := 0
	var tick func()
	tick = func() {
		if h.isDown {
			return
		}
		round++
		h.state.expire(sim.time())
		sim.sendNews(h)
		if round%syncRounds == 0 {
			sim.send(h, h.state.all(recordsPerDatagram, sim.time()), 1)
		}
		if round <= startRounds {
			sim.send(h, message{WantsAll: true}, 1)
		}
		sim.after(roundInterval, tick)
	}
	sim.after(sim.between(0, roundInterval), tick)
	return h
}

func (sim *simulation) time() time.Time { return start.Add(sim.now) }

func (sim *simulation) after(d time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.queue, event{sim.now + d, sim.seq, run})
}

func (sim *simulation) between(from, to time.Duration) time.Duration {
	return from + time.Duration(sim.rng.Int64N(int64(to-from)))
}

// run runs the simulation for d.
func (sim *simulation) run(d time.Duration) {
	end := sim.now + d
	for len(sim.queue) > 0 && sim.queue[0].at <= end {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.run()
	}
	sim.now = end
}

// sendNews sends the news of a host, and in rounds what is still being repeated.
func (sim *simulation) sendNews(h *simHost) {
	for _, m := range h.state.nextRound(sim.time()).split() {
		sim.send(h, m, fanout)
	}
	h.sentAt = sim.now
}

// noteNews schedules a send if the host has news.
func (sim *simulation) noteNews(h *simHost) {
	if h.isQueued || !h.state.hasNews() {
		return
	}
	h.isQueued = true
	sim.after(max(0, h.sentAt+minSendInterval-sim.now), func() {
		h.isQueued = false
		sim.sendNews(h)
	})
}

// send delivers a datagram to n other hosts. Some are lost.
func (sim *simulation) send(from *simHost, m message, n int) {
	if m.isEmpty() || from.isDown {
		return
	}
	for _, i := range sim.rng.Perm(len(sim.hosts)) {
		to := sim.hosts[i]
		if to == from || to.isDown {
			continue
		}
		if n--; n < 0 {
			return
		}
		sim.deliver(from, to, m)
	}
}

func (sim *simulation) deliver(from, to *simHost, m message) {
	sim.sentBytes += 40 * len(m.Records)
	if sim.rng.Float64() < sim.lossRate {
		return
	}
	delay := sim.between(5*time.Millisecond, 120*time.Millisecond)
	// The records travel with ages as of now.
	sim.after(delay, func() {
		if to.isDown {
			return
		}
		to.state.merge(m, sim.time())
		sim.noteNews(to)
		if m.WantsAll {
			for _, reply := range to.state.all(maxReply, sim.time()).split() {
				sim.deliver(to, from, reply)
			}
		}
	})
}

// arrive lets a request arrive at a random host, which sends it on after its stages.
func (sim *simulation) arrive(parts []string, isDeadly bool) {
	if r := sim.newRequest(parts, isDeadly); !sim.isRefused(r) {
		sim.after(sim.between(0, time.Second), func() { sim.sendToTarget(r) })
	}
}

// arriveUnstaged lets a request without stages arrive at a random host.
func (sim *simulation) arriveUnstaged(parts []string, isDeadly bool) {
	sim.sendToTarget(sim.newRequest(parts, isDeadly))
}

func (sim *simulation) newRequest(parts []string, isDeadly bool) *simRequest {
	up := slices.DeleteFunc(slices.Clone(sim.hosts), func(h *simHost) bool { return h.isDown })
	return &simRequest{host: up[sim.rng.IntN(len(up))], parts: parts, own: fmt.Sprint(sim.seq), isDeadly: isDeadly, beganAt: -1}
}

// isRefused checks a request and counts it if it is refused.
func (sim *simulation) isRefused(r *simRequest) bool {
	if sim.off {
		return false
	}
	i := slices.Index(sim.hosts, r.host)
	v := r.host.state.check("s", r.parts, r.isTrial, func(string) int { return i }, sim.time())
	r.isTrial = v.IsTrial
	if v.Part != "" && !r.isDeadly {
		sim.soundRefused++
	}
	return v.Part != ""
}

// sendToTarget sends a request to a random target that is up.
func (sim *simulation) sendToTarget(r *simRequest) {
	if r.host.isDown || sim.isRefused(r) {
		return
	}
	up := slices.DeleteFunc(slices.Clone(sim.targets), func(t *simTarget) bool { return !t.isUp })
	if len(up) == 0 {
		return
	}
	t := up[sim.rng.IntN(len(up))]
	if last := r.parts[len(r.parts)-1]; sim.isSticky && r.attempts == 0 {
		t = up[int(crashID(last, 0)%uint64(len(up)))]
	}
	r.attempts++
	r.target, r.beganAt = t, -1
	t.running[r] = true
	if r.isDeadly {
		sim.deadlySent = append(sim.deadlySent, sim.now)
	} else {
		sim.soundSent++
	}
	attempt := r.attempts
	isCurrent := func() bool { return r.target == t && r.attempts == attempt && t.running[r] }
	sim.after(sim.between(20*time.Millisecond, 400*time.Millisecond), func() {
		switch {
		case !isCurrent():
		case r.isDeadly:
			sim.deadlyCrashes = append(sim.deadlyCrashes, sim.now)
			sim.crash(t)
		default:
			r.beganAt = sim.now
		}
	})
	if !r.isDeadly {
		sim.after(sim.between(500*time.Millisecond, 4*time.Second), func() {
			if isCurrent() {
				delete(t.running, r)
				if !r.host.isDown {
					r.host.state.recordComplete("s", r.parts, sim.time())
					sim.noteNews(r.host)
				}
			}
		})
	}
}

// crash breaks all requests of a target, which is back some seconds later.
func (sim *simulation) crash(t *simTarget) {
	if !t.isUp {
		return
	}
	t.isUp = false
	incarnation := t.incarnation
	broken := t.running
	t.running = map[*simRequest]bool{}
	sim.after(sim.between(3*time.Second, 4*time.Second), func() {
		t.isUp, t.incarnation = true, t.incarnation+1
	})
	list := make([]*simRequest, 0, len(broken))
	for r := range broken {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *simRequest) int { return cmp.Or(slices.Compare(a.parts, b.parts), cmp.Compare(a.own, b.own)) })
	for _, r := range list {
		// As the handler does, only answers that had just begun are recorded.
		hasJustBegun := r.beganAt < 0 || sim.now-r.beganAt < time.Second
		sim.after(sim.between(time.Millisecond, 60*time.Millisecond), func() {
			if r.host.isDown {
				return
			}
			if hasJustBegun {
				b := Broken{Service: "s", Target: t.name, Address: t.name, StartMillis: incarnation, Parts: r.parts, Own: r.own}
				r.host.state.recordBroken(b, sim.time())
				sim.noteNews(r.host)
			}
			if r.attempts < sim.attempts {
				sim.sendToTarget(r)
			}
		})
	}
}

// prompt draws the parts of a prompt.
func (sim *simulation) prompt(isDeadly bool) []string {
	// Few subjects are asked for often and many seldom.
	subject := int(200 * sim.rng.Float64() * sim.rng.Float64())
	parts := []string{fmt.Sprintf("system%d", subject%sim.systems), fmt.Sprintf("subject%d", subject)}
	if isDeadly {
		return slices.Insert(parts, sim.index, "deadly")
	}
	return parts
}

// traffic lets requests arrive at a rate until the time end. A share of them has the
// deadly part.
func (sim *simulation) traffic(perSecond, deadlyShare float64, end time.Duration) {
	own := 0
	var next func()
	next = func() {
		if sim.now >= end {
			return
		}
		own++
		isDeadly := sim.rng.Float64() < deadlyShare
		sim.arrive(sim.prompt(isDeadly), isDeadly)
		sim.after(time.Duration(sim.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	sim.after(0, next)
}

// lateDeadly returns how many requests with the deadly part reached targets later than
// grace after the fifth crash.
func (sim *simulation) lateDeadly(grace time.Duration) int {
	if len(sim.deadlyCrashes) < 5 {
		return 0
	}
	n := 0
	for _, at := range sim.deadlySent {
		if at > sim.deadlyCrashes[4]+grace {
			n++
		}
	}
	return n
}
