package bench

import (
	"context"
	"errors"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"chivepost/entry/internal/queue"
	"chivepost/entry/internal/route"
	"chivepost/share/target"
)

var errFailed = errors.New("the call failed")

// process is the state of a target between two restarts: the number of calls in flight and
// the calls that wait there, in order of arrival.
type process struct {
	inFlight int
	waiting  []chan struct{}
	ended    chan struct{}
}

func newProcess() *process { return &process{ended: make(chan struct{})} }

// simTarget is a simulated target. The lock of the cluster guards its state.
type simTarget struct {
	pool   *Pool
	name   string
	region int

	cache     []uint64
	slow      float64
	failing   float64
	downUntil time.Time
	coldUntil time.Time
	process   *process
	// inUse and grants are the calls in flight and the granted slots of each host.
	inUse, grants [3]int
	// knownCold and warmSince are the state according to the last load report.
	knownCold bool
	warmSince time.Time
}

func (st *simTarget) isCold(now time.Time) bool { return now.Before(st.coldUntil) }

// restart fails all calls in flight. The target is down for the given time and then cold.
func (st *simTarget) restart(now time.Time, down time.Duration) {
	close(st.process.ended)
	st.process = newProcess()
	st.cache = nil
	st.downUntil = now.Add(down)
	st.coldUntil = st.downUntil.Add(st.pool.ColdTime)
}

// touch reports whether the prefix is cached and makes it the most recently used one.
func (st *simTarget) touch(prefix uint64) bool {
	i := slices.Index(st.cache, prefix)
	if i >= 0 {
		st.cache = slices.Delete(st.cache, i, i+1)
	}
	st.cache = append(st.cache, prefix)
	if len(st.cache) > st.pool.CacheSize {
		st.cache = st.cache[1:]
	}
	return i >= 0
}

// cluster simulates the targets of all regions and counts events at them.
type cluster struct {
	mu      sync.Mutex
	pools   []Pool
	targets map[string][]*simTarget
	byName  map[string]*simTarget
	out     [3]bool
	changed []chan struct{}
	totals  Run
	// With isBaseline, slots ignore that a target is cold. With isClientSide, they count only
	// the calls of their own host.
	isBaseline, isClientSide bool
	// With isGranted, each slot belongs to one host until the slots are divided again.
	// waiting is the number of calls that wait at each host, by pool.
	isGranted bool
	waiting   [3]map[string]int
}

func newCluster(pools []Pool, policy string) *cluster {
	c := &cluster{pools: pools, targets: map[string][]*simTarget{}, byName: map[string]*simTarget{}, isBaseline: isBaseline(policy), isClientSide: isClient(policy), isGranted: strings.HasSuffix(policy, grantedSuffix)}
	for i := range pools {
		p := &pools[i]
		for r, count := range p.Targets {
			for k := range count {
				st := &simTarget{pool: p, region: r, slow: 1, process: newProcess()}
				st.name = p.Name + "-" + Regions[r] + "-" + string(rune('a'+k))
				c.targets[p.Name] = append(c.targets[p.Name], st)
				c.byName[st.name] = st
			}
		}
	}
	for i := range Regions {
		c.waiting[i] = map[string]int{}
		c.changed = append(c.changed, make(chan struct{}, 1))
	}
	return c
}

// notifyHosts signals to all hosts that slots may have become free.
func (c *cluster) notifyHosts() {
	for _, ch := range c.changed {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// run simulates one call. Its time grows with the number of calls in flight. A cold target is
// slower and restarts above its cold limit. Calls above the limit of a target wait there.
func (c *cluster) run(ctx context.Context, st *simTarget, from int, a *Arrival, stage int, roll float64) (target.Result, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if from != st.region {
		c.totals.CrossBytes += int64(st.pool.Bytes)
	}
	if now.Before(st.downUntil) {
		return target.Result{Err: errFailed, Execution: target.NotExecuted}, 0
	}
	if st.isCold(now) && st.process.inFlight >= st.pool.ColdLimit {
		c.totals.ColdRestarts++
		st.restart(now, time.Second)
		return target.Result{Err: errFailed, Execution: target.MayHaveExecuted}, 0
	}
	p := st.process
	if err := c.begin(ctx, st, p); err != nil {
		return target.Result{Err: err, Execution: target.MayHaveExecuted}, 0
	}
	start := time.Now()
	err := c.sleepUnlocked(ctx, st.serviceTime(c, from, a, stage), p)
	if err == nil && roll < st.failing {
		err = errFailed
	}
	p.end()
	state := target.StateWarm
	if st.isCold(time.Now()) {
		state = target.StateCold
	}
	return target.Result{Err: err, Execution: target.Executed, State: state}, time.Since(start)
}

// begin waits until the target starts the call.
func (c *cluster) begin(ctx context.Context, st *simTarget, p *process) error {
	if p.inFlight < st.pool.Limit {
		p.inFlight++
		return nil
	}
	turn := make(chan struct{})
	p.waiting = append(p.waiting, turn)
	c.mu.Unlock()
	var err error
	select {
	case <-turn:
	case <-p.ended:
		err = errFailed
	case <-ctx.Done():
		err = ctx.Err()
	}
	c.mu.Lock()
	if i := slices.Index(p.waiting, turn); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	} else if err != nil {
		p.end()
	}
	return err
}

// end ends a call and starts the next waiting one.
func (p *process) end() {
	if len(p.waiting) == 0 {
		p.inFlight--
		return
	}
	close(p.waiting[0])
	p.waiting = p.waiting[1:]
}

func (st *simTarget) serviceTime(c *cluster, from int, a *Arrival, stage int) time.Duration {
	d := st.pool.ServiceTime.Seconds() * (1 + float64(st.process.inFlight)/float64(st.pool.Limit)) * a.ServiceFactors[stage] * st.slow
	if st.isCold(time.Now()) {
		d *= 2
	}
	if st.pool.CacheSize > 0 && !st.touch(a.Prefix) {
		d += st.pool.Prefill.Seconds()
		c.totals.Recomputed += int64(st.pool.PrefixTokens)
	}
	if from != st.region {
		d += RoundTrip.Seconds()
	}
	return time.Duration(d * float64(time.Second))
}

// sleepUnlocked waits for the duration of a call with the cluster unlocked. It returns early
// with an error if the target restarts or ctx ends.
func (c *cluster) sleepUnlocked(ctx context.Context, d time.Duration, p *process) error {
	c.mu.Unlock()
	defer c.mu.Lock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-p.ended:
		return errFailed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// apply applies an event to the targets.
func (c *cluster) apply(e Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, st := range c.byName {
		switch {
		case e.Kind == EventSlow && st.pool.Name == e.Pool:
			st.slow = e.Factor
		case e.Kind == EventFail && st.pool.Name == e.Pool:
			st.failing = e.Factor
		case e.Kind == EventCold && st.pool.Name == e.Pool:
			st.restart(now, 0)
		case e.Kind == EventBack && st.region == e.Region && st.pool.CacheSize > 0:
			st.restart(now, 0)
			st.knownCold = true
		}
	}
	if e.Kind == EventOut || e.Kind == EventBack {
		c.out[e.Region] = e.Kind == EventOut
	}
	c.notifyHosts()
}

// poll simulates the load reports: it updates the known state of all targets and divides
// their slots again.
func (c *cluster) poll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, st := range c.byName {
		c.updateState(st)
		c.divideSlots(st)
	}
	c.notifyHosts()
}

func (c *cluster) updateState(st *simTarget) {
	now := time.Now()
	cold := st.isCold(now)
	if st.knownCold && !cold {
		st.warmSince = now
	}
	st.knownCold = cold
}

// limit returns the number of calls that the slots allow at a target. For a baseline it is
// the limit of the pool. Otherwise it is the cold limit while the target is cold, and then
// grows by half each second up to the limit of the pool.
func (c *cluster) limit(st *simTarget) int {
	switch {
	case c.isBaseline:
		return st.pool.Limit
	case st.knownCold:
		return st.pool.ColdLimit
	case st.warmSince.IsZero():
		return st.pool.Limit
	default:
		grown := float64(st.pool.ColdLimit) * math.Pow(1.5, time.Since(st.warmSince).Seconds())
		return min(st.pool.Limit, int(grown))
	}
}

// divideSlots grants the free slots of a target to the hosts, weighted by their calls in
// flight there and, for the host in the target's region, by its waiting calls.
func (c *cluster) divideSlots(st *simTarget) {
	st.grants = st.inUse
	for free := c.limit(st) - st.totalInUse(); free > 0; free-- {
		best, highest := 0, 0.0
		for i := range st.grants {
			weight := float64(st.inUse[i]) + 0.5
			if i == st.region {
				weight += 1 + float64(c.waiting[i][st.pool.Name])
			}
			if part := weight / float64(st.grants[i]+1); part > highest {
				best, highest = i, part
			}
		}
		st.grants[best]++
	}
}

func (st *simTarget) totalInUse() int { return st.inUse[0] + st.inUse[1] + st.inUse[2] }

// slots implements queue.Slots for one entry host. The limits are shared by all hosts.
type slots struct {
	cluster *cluster
	region  int
}

func (s *slots) View(pool string) []route.Target {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	var view []route.Target
	for _, st := range s.cluster.targets[pool] {
		if s.cluster.out[st.region] {
			continue
		}
		t := route.Target{
			Name: st.name, DataCentre: Regions[st.region], Region: Regions[st.region], State: target.StateWarm,
			Limit: s.cluster.limit(st), InUse: st.inUse[s.region],
		}
		t.Prepare(Regions[s.region], Regions[s.region])
		t.Free = s.free(st)
		if s.cluster.isGranted {
			t.Limit = st.grants[s.region]
		}
		if st.knownCold && !s.cluster.isBaseline {
			t.State = target.StateCold
		}
		view = append(view, t)
	}
	return view
}

func (s *slots) free(st *simTarget) int {
	free := s.cluster.limit(st) - st.totalInUse()
	switch {
	case s.cluster.isClientSide:
		return s.cluster.limit(st) - st.inUse[s.region]
	case s.cluster.isGranted:
		return min(free, st.grants[s.region]-st.inUse[s.region])
	default:
		return free
	}
}

func (s *slots) Take(name string) (queue.Hold, bool) {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	st := s.cluster.byName[name]
	if s.free(st) <= 0 || s.cluster.out[st.region] {
		return nil, false
	}
	st.inUse[s.region]++
	return &hold{slots: s, target: st}, true
}

// SetWaiting divides granted slots again at once when the first call begins to wait.
func (s *slots) SetWaiting(pool string, calls int) {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	isFirst := calls > 0 && s.cluster.waiting[s.region][pool] == 0
	s.cluster.waiting[s.region][pool] = calls
	if isFirst && s.cluster.isGranted {
		for _, st := range s.cluster.targets[pool] {
			s.cluster.divideSlots(st)
		}
		s.cluster.notifyHosts()
	}
}

func (s *slots) Changed() <-chan struct{} { return s.cluster.changed[s.region] }

type hold struct {
	slots  *slots
	target *simTarget
}

func (h *hold) Check() error  { return nil }
func (h *hold) Fence() uint64 { return 1 }

func (h *hold) Done(res target.Result, _ time.Duration) {
	c := h.slots.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	h.target.inUse[h.slots.region]--
	if res.Err != nil && !errors.Is(res.Err, context.DeadlineExceeded) || res.State == target.StateCold {
		c.updateState(h.target)
	}
	c.notifyHosts()
}
