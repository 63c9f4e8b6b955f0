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

// boot is one start of a target: the calls that it works on and those that wait
// there, in order.
type boot struct {
	inFlight int
	waiting  []chan struct{}
	ended    chan struct{}
}

func newBoot() *boot { return &boot{ended: make(chan struct{})} }

// node is a stand-in for a target. All its state is guarded by the world's lock.
type node struct {
	pool   *Pool
	name   string
	region int

	cache     []uint64
	slow      float64
	failing   float64
	downUntil time.Time
	coldUntil time.Time
	boot      *boot
	// own and grants are the calls in flight and the slots of each host.
	own, grants [3]int
	// seenCold and warmSeen are what the slots know of the state.
	seenCold bool
	warmSeen time.Time
}

func (n *node) isCold(now time.Time) bool { return now.Before(n.coldUntil) }

// restart ends all calls in flight; the target is down for a while, then cold.
func (n *node) restart(now time.Time, down time.Duration) {
	close(n.boot.ended)
	n.boot = newBoot()
	n.cache = nil
	n.downUntil = now.Add(down)
	n.coldUntil = n.downUntil.Add(n.pool.ColdFor)
}

// touch reports whether the prefix is cached and makes it the newest.
func (n *node) touch(prefix uint64) bool {
	i := slices.Index(n.cache, prefix)
	if i >= 0 {
		n.cache = slices.Delete(n.cache, i, i+1)
	}
	n.cache = append(n.cache, prefix)
	if len(n.cache) > n.pool.CacheSize {
		n.cache = n.cache[1:]
	}
	return i >= 0
}

// world is the targets of all regions and what was counted at them.
type world struct {
	mu      sync.Mutex
	pools   []Pool
	nodes   map[string][]*node
	byName  map[string]*node
	out     [3]bool
	changed []chan struct{}
	tally   Run
	// plain slots do not know that a target is cold; those of a client count only
	// the calls of their own host.
	plain, client bool
	// granted slots belong to one host until the next division; wants are the calls
	// that wait at each host, by pool.
	granted bool
	wants   [3]map[string]int
}

func newWorld(pools []Pool, policy string) *world {
	w := &world{pools: pools, nodes: map[string][]*node{}, byName: map[string]*node{}, plain: isPlain(policy), client: isClient(policy), granted: strings.HasSuffix(policy, grantedSuffix)}
	for i := range pools {
		p := &pools[i]
		for r, count := range p.Targets {
			for k := range count {
				n := &node{pool: p, region: r, slow: 1, boot: newBoot()}
				n.name = p.Name + "-" + Regions[r] + "-" + string(rune('a'+k))
				w.nodes[p.Name] = append(w.nodes[p.Name], n)
				w.byName[n.name] = n
			}
		}
	}
	for i := range Regions {
		w.wants[i] = map[string]int{}
		w.changed = append(w.changed, make(chan struct{}, 1))
	}
	return w
}

func (w *world) wake() {
	for _, c := range w.changed {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// run is one call: its time grows with the calls in flight; a cold target is
// slower and restarts above its cold limit. Above the limit, calls wait there.
func (w *world) run(ctx context.Context, n *node, from int, a *Arrival, stage int, roll float64) (target.Result, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if from != n.region {
		w.tally.CrossBytes += int64(n.pool.Bytes)
	}
	if now.Before(n.downUntil) {
		return target.Result{Err: errFailed, Sent: target.SentNo}, 0
	}
	if n.isCold(now) && n.boot.inFlight >= n.pool.ColdLimit {
		w.tally.ColdRestarts++
		n.restart(now, time.Second)
		return target.Result{Err: errFailed, Sent: target.SentMaybe}, 0
	}
	boot := n.boot
	if err := w.begin(ctx, n, boot); err != nil {
		return target.Result{Err: err, Sent: target.SentMaybe}, 0
	}
	start := time.Now()
	err := w.unlocked(ctx, n.serviceTime(w, from, a, stage), boot)
	if err == nil && roll < n.failing {
		err = errFailed
	}
	boot.end()
	state := target.StateWarm
	if n.isCold(time.Now()) {
		state = target.StateCold
	}
	return target.Result{Err: err, Sent: target.SentYes, State: state}, time.Since(start)
}

// begin waits until the target works on the call.
func (w *world) begin(ctx context.Context, n *node, b *boot) error {
	if b.inFlight < n.pool.Limit {
		b.inFlight++
		return nil
	}
	turn := make(chan struct{})
	b.waiting = append(b.waiting, turn)
	w.mu.Unlock()
	var err error
	select {
	case <-turn:
	case <-b.ended:
		err = errFailed
	case <-ctx.Done():
		err = ctx.Err()
	}
	w.mu.Lock()
	if i := slices.Index(b.waiting, turn); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
	} else if err != nil {
		b.end()
	}
	return err
}

// end passes the place of a call on.
func (b *boot) end() {
	if len(b.waiting) == 0 {
		b.inFlight--
		return
	}
	close(b.waiting[0])
	b.waiting = b.waiting[1:]
}

func (n *node) serviceTime(w *world, from int, a *Arrival, stage int) time.Duration {
	d := n.pool.Base.Seconds() * (1 + float64(n.boot.inFlight)/float64(n.pool.Limit)) * a.Factors[stage] * n.slow
	if n.isCold(time.Now()) {
		d *= 2
	}
	if n.pool.CacheSize > 0 && !n.touch(a.Prefix) {
		d += n.pool.Prefill.Seconds()
		w.tally.Recomputed += int64(n.pool.PrefixTokens)
	}
	if from != n.region {
		d += RoundTrip.Seconds()
	}
	return time.Duration(d * float64(time.Second))
}

// unlocked lets the time of a call pass.
func (w *world) unlocked(ctx context.Context, d time.Duration, b *boot) error {
	w.mu.Unlock()
	defer w.mu.Lock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-b.ended:
		return errFailed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// apply makes an event happen.
func (w *world) apply(e Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, n := range w.byName {
		switch {
		case e.Kind == EventSlow && n.pool.Name == e.Pool:
			n.slow = e.Factor
		case e.Kind == EventFail && n.pool.Name == e.Pool:
			n.failing = e.Factor
		case e.Kind == EventCold && n.pool.Name == e.Pool:
			n.restart(now, 0)
		case e.Kind == EventBack && n.region == e.Region && n.pool.CacheSize > 0:
			n.restart(now, 0)
			n.seenCold = true
		}
	}
	if e.Kind == EventOut || e.Kind == EventBack {
		w.out[e.Region] = e.Kind == EventOut
	}
	w.wake()
}

// poll is the load report: it tells the slots the state of all targets.
func (w *world) poll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.byName {
		w.see(n)
		w.divide(n)
	}
	w.wake()
}

func (w *world) see(n *node) {
	now := time.Now()
	cold := n.isCold(now)
	if n.seenCold && !cold {
		n.warmSeen = now
	}
	n.seenCold = cold
}

// limit is what the slots allow: all for plain ones, otherwise the cold limit of
// a cold target and half as much again each second after it is warm.
func (w *world) limit(n *node) int {
	switch {
	case w.plain:
		return n.pool.Limit
	case n.seenCold:
		return n.pool.ColdLimit
	case n.warmSeen.IsZero():
		return n.pool.Limit
	default:
		grown := float64(n.pool.ColdLimit) * math.Pow(1.5, time.Since(n.warmSeen).Seconds())
		return min(n.pool.Limit, int(grown))
	}
}

// divide grants the free slots of a target to the hosts, by their calls there and,
// in its own region, by the calls that wait.
func (w *world) divide(n *node) {
	n.grants = n.own
	for free := w.limit(n) - n.held(); free > 0; free-- {
		best, most := 0, 0.0
		for i := range n.grants {
			weight := float64(n.own[i]) + 0.5
			if i == n.region {
				weight += 1 + float64(w.wants[i][n.pool.Name])
			}
			if part := weight / float64(n.grants[i]+1); part > most {
				best, most = i, part
			}
		}
		n.grants[best]++
	}
}

func (n *node) held() int { return n.own[0] + n.own[1] + n.own[2] }

// slots are those of one entry host; the limits are shared by all hosts.
type slots struct {
	world *world
	at    int
}

func (s *slots) View(pool string) []route.Target {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	var view []route.Target
	for _, n := range s.world.nodes[pool] {
		if s.world.out[n.region] {
			continue
		}
		t := route.Target{
			Name: n.name, DataCentre: Regions[n.region], Region: Regions[n.region], State: target.StateWarm,
			Limit: s.world.limit(n), InUse: n.own[s.at],
		}
		t.Prepare(Regions[s.at], Regions[s.at])
		t.Free = s.free(n)
		if s.world.granted {
			t.Limit = n.grants[s.at]
		}
		if n.seenCold && !s.world.plain {
			t.State = target.StateCold
		}
		view = append(view, t)
	}
	return view
}

func (s *slots) free(n *node) int {
	free := s.world.limit(n) - n.held()
	switch {
	case s.world.client:
		return s.world.limit(n) - n.own[s.at]
	case s.world.granted:
		return min(free, n.grants[s.at]-n.own[s.at])
	default:
		return free
	}
}

func (s *slots) Take(name string) (queue.Hold, bool) {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	n := s.world.byName[name]
	if s.free(n) <= 0 || s.world.out[n.region] {
		return nil, false
	}
	n.own[s.at]++
	return &hold{slots: s, node: n}, true
}

// SetWaiting divides the slots anew at once when calls begin to wait.
func (s *slots) SetWaiting(pool string, n int) {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	rises := n > 0 && s.world.wants[s.at][pool] == 0
	s.world.wants[s.at][pool] = n
	if rises && s.world.granted {
		for _, n := range s.world.nodes[pool] {
			s.world.divide(n)
		}
		s.world.wake()
	}
}

func (s *slots) Changed() <-chan struct{} { return s.world.changed[s.at] }

type hold struct {
	slots *slots
	node  *node
}

func (h *hold) Check() error  { return nil }
func (h *hold) Fence() uint64 { return 1 }

func (h *hold) Done(res target.Result, _ time.Duration) {
	w := h.slots.world
	w.mu.Lock()
	defer w.mu.Unlock()
	h.node.own[h.slots.at]--
	if res.Err != nil && !errors.Is(res.Err, context.DeadlineExceeded) || res.State == target.StateCold {
		w.see(h.node)
	}
	w.wake()
}
