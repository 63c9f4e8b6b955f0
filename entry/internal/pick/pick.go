package pick

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chivepost/entry/internal/notice"
	"chivepost/entry/internal/table"
)

const (
	// loadSlack and loadFactor bound the load up to which a request goes to the target
	// that it prefers for its cache: loadSlack requests plus loadFactor times the mean load.
	loadSlack  = 2.0
	loadFactor = 1.35
	// healthRetention is how long the health of an unused target is kept.
	healthRetention = time.Minute
	// choicesPerSweep is the number of choices between two removals of unused targets.
	choicesPerSweep = 4096
)

// Hosts provides the number of live hosts and this host's rank among them for a key.
type Hosts interface {
	Count() int
	Rank(key string) int
}

// Notices provides what targets have announced to this host.
type Notices interface {
	Status(t notice.Target, now time.Time) notice.Status
}

// Others provides how many requests the other hosts have in flight at a target, as far as
// this host has heard.
type Others interface {
	InFlight(target string, now time.Time) float64
}

// Options configures a Balancer.
type Options struct {
	DataCentre  string
	Region      string
	Regions     map[string]string // data centre to region
	RetryRatio  float64           // retries per request
	RetryExtra  float64           // further retries per window of all hosts together
	RetryWindow time.Duration     // window over which requests and retries are counted
	Others      Others            // nil: nothing is heard of other hosts
}

// Balancer chooses targets and tracks the health of each one and the retry budget of each
// service.
type Balancer struct {
	opts    Options
	hosts   Hosts
	notices Notices
	policy  policy

	mu      sync.Mutex
	rng     *rand.Rand // chooses among equal targets
	targets map[string]*health
	budgets map[string]*RetryBudget
	choices int
}

// New returns a Balancer without observations.
func New(opts Options, hosts Hosts, notices Notices) *Balancer {
	return &Balancer{
		opts: opts, hosts: hosts, notices: notices, policy: defaultPolicy,
		rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), targets: map[string]*health{}, budgets: map[string]*RetryBudget{},
	}
}

// Query describes a request that needs a target.
type Query struct {
	Targets      []*table.Target
	Regions      []string        // allowed regions; empty: all
	Tried        map[string]bool // IDs of targets that are not chosen again
	Affinity     string          // requests with the same key prefer the same target; empty: no preference
	ColdLimit    float64         // requests per second that a cold target takes from all hosts together
	Slots        int             // requests that a target runs at once; 0: unknown
	DataCentre   string          // nearest data centre; empty: this host's
	PrefixTarget string          // target that has the prompt prefix cached, chosen unless overloaded; empty: none
	IsPlaced     bool            // PrefixTarget was chosen by the load of all hosts of the region
}

// Chosen is the target chosen for a request. The request counts towards the target's load
// until Done.
type Chosen struct {
	*table.Target
	balancer  *Balancer
	sentAt    time.Time
	firstByte time.Duration // time to the first byte; 0: not received yet
	done      bool
}

// Announcer returns the incarnation of the target that its announcements bind.
func (c *Chosen) Announcer() notice.Target { return noticeOf(c.Target) }

func noticeOf(t *table.Target) notice.Target {
	return notice.Target{ID: t.ID, StartMillis: t.StartMillis}
}

// Refusal says why no target may get a request now.
type Refusal struct {
	Reason string
	// RetryAfter is when the first target opens again if all have asked for a pause; 0:
	// unknown.
	RetryAfter time.Duration
}

// FirstByte records the time to the first byte. Only the first call counts.
func (c *Chosen) FirstByte() {
	if c.firstByte == 0 {
		c.firstByte = time.Since(c.sentAt)
	}
}

// Done records the outcome of the request. Only the first call counts.
func (c *Chosen) Done(o Outcome) {
	if c.done {
		return
	}
	c.doneAt(o, c.firstByte, time.Now())
}

func (c *Chosen) doneAt(o Outcome, firstByte time.Duration, now time.Time) {
	c.done = true
	c.balancer.mu.Lock()
	defer c.balancer.mu.Unlock()
	h := c.balancer.health(c.ID)
	h.inFlight--
	h.record(o, firstByte, now)
}

func (b *Balancer) health(id string) *health {
	h := b.targets[id]
	if h == nil {
		h = &health{}
		b.targets[id] = h
	}
	return h
}

// candidate is a target with the criteria of the choice.
type candidate struct {
	target       *table.Target
	health       *health
	distance     int     // 0: the nearest data centre, 1: its region, 2: elsewhere
	own          float64 // this host's requests in flight there, with the one to send
	load         float64 // all requests there, as far as this host knows, times its slowness
	rank         float64 // load by which targets are compared: that of other hosts counts less
	isHeard      bool    // load includes requests of other hosts
	hasSlowdown  bool    // load includes a slowdown that the target reported
	affinityHash uint64  // the highest one is preferred (rendezvous hashing)
}

// Choose returns a target for a request, or nil and the refusal if no target may get it
// now.
func (b *Balancer) Choose(q Query, now time.Time) (*Chosen, Refusal) {
	hosts := b.hosts.Count()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep(now)
	s := b.survey(q, hosts, now, nil)
	best, ok := b.bestOf(s, q, now)
	if !ok {
		return nil, s.closed.refusal(s.why, now)
	}
	h := best.health
	if h.ejections > 0 {
		h.probing = true
	}
	h.inFlight++
	h.lastChosen = now
	if best.target.IsCold(now) {
		h.coldSends = append(h.coldSends, now)
	}
	return &Chosen{Target: best.target, balancer: b, sentAt: now}, Refusal{}
}

// survey holds the targets that a request may use, by their state.
type survey struct {
	available, leaving, unavailable []candidate
	why                             string // why targets were left out
	closed                          closures
	isCrowded                       bool
}

// survey sorts the targets of a query. leftOut, unless nil, is told of those that the request may
// not use.
func (b *Balancer) survey(q Query, hosts int, now time.Time, leftOut func(t *table.Target, why string)) survey {
	if leftOut == nil {
		leftOut = func(*table.Target, string) {}
	}
	near, nearRegion := b.opts.DataCentre, b.opts.Region
	if q.DataCentre != "" {
		near, nearRegion = q.DataCentre, b.opts.Regions[q.DataCentre]
	}
	s := survey{why: "no target is available"}
	s.isCrowded = (isCrowded(hosts, q.Slots) || b.policy.isForced) && !b.policy.isPlain
	for _, t := range q.Targets {
		region := b.opts.Regions[t.DataCentre]
		if len(q.Regions) > 0 && !slices.Contains(q.Regions, region) {
			leftOut(t, "its region isn't allowed")
			continue
		}
		status := b.notices.Status(noticeOf(t), now)
		s.closed.add(status)
		if status.Closed || q.Tried[t.ID] {
			leftOut(t, "it has announced that it leaves or is busy")
			continue
		}
		h := b.health(t.ID)
		if t.IsCold(now) && !b.allowsCold(t, h, q.ColdLimit, hosts, now) {
			s.why = "the cold limit of the targets is reached"
			leftOut(t, s.why)
			continue
		}
		k := candidate{target: t, health: h, own: float64(h.inFlight + 1), distance: 2}
		k.load, k.rank = k.own, k.own
		if s.isCrowded {
			b.addOthers(&k, now)
		}
		switch {
		case t.DataCentre == near:
			k.distance = 0
		case region == nearRegion:
			k.distance = 1
		}
		if q.Affinity != "" {
			k.affinityHash = xxhash.Sum64String(q.Affinity + "\x00" + t.ID)
		}
		switch {
		case h.isUnavailable(now):
			s.unavailable = append(s.unavailable, k)
		case status.Leaving:
			s.leaving = append(s.leaving, k)
		default:
			s.available = append(s.available, k)
		}
	}
	return s
}

// bestOf returns the best candidate, and false if there is none.
func (b *Balancer) bestOf(s survey, q Query, now time.Time) (candidate, bool) {
	available := s.available
	if len(available) == 0 {
		available = s.leaving // they serve on for a while
	}
	if len(available) == 0 {
		// If all are unavailable, the one whose ejection ends first is used.
		if len(s.unavailable) == 0 {
			return candidate{}, false
		}
		available = []candidate{slices.MinFunc(s.unavailable, func(x, y candidate) int { return x.health.ejectedUntil.Compare(y.health.ejectedUntil) })}
	}
	return b.selectBest(available, q, s.isCrowded, now), true
}

// closures tells whether all targets that a request may use are closed, and until when.
type closures struct {
	open, closed int
	until        time.Time // when the first one opens; zero: none does
}

func (c *closures) add(s notice.Status) {
	if !s.Closed {
		c.open++
		return
	}
	if c.closed++; !s.Until.IsZero() && (c.until.IsZero() || s.Until.Before(c.until)) {
		c.until = s.Until
	}
}

// refusal returns the refusal of a request that no target may get, for the given reason if
// some target isn't closed.
func (c *closures) refusal(why string, now time.Time) Refusal {
	switch {
	case c.open > 0 || c.closed == 0:
		return Refusal{Reason: why}
	case c.until.IsZero():
		return Refusal{Reason: "all targets are leaving"}
	}
	return Refusal{Reason: "all targets are busy", RetryAfter: c.until.Sub(now)}
}

// selectBest returns the target with the cached prefix unless it is overloaded. Otherwise
// it chooses among the nearest candidates that aren't overloaded, by affinity or else by
// load.
func (b *Balancer) selectBest(available []candidate, q Query, isCrowded bool, now time.Time) candidate {
	hasReports := b.applyReports(available, now)
	penalizeSlow(available)
	isHeard := slices.ContainsFunc(available, func(k candidate) bool { return k.isHeard })
	if k, ok := b.prefixCandidate(available, q, isHeard); ok {
		return k
	}
	for distance := range 3 {
		near := slices.DeleteFunc(slices.Clone(available), func(k candidate) bool { return k.distance != distance })
		if len(near) == 0 {
			continue
		}
		sum := 0.0
		for _, k := range near {
			sum += k.load
		}
		least := b.least(near, isCrowded || hasReports)
		// Slots are shared with other hosts, so a host that would fill more than half of
		// them alone goes to targets further away.
		if distance < 2 && q.Slots > 0 && isFull(least, q.Slots, isCrowded) {
			fullCount.Add(1)
			continue
		}
		if q.Affinity == "" {
			return least
		}
		bound := b.affinityBound(sum/float64(len(near)), isHeard)
		slices.SortFunc(near, func(x, y candidate) int {
			if x.affinityHash > y.affinityHash {
				return -1
			}
			return 1
		})
		if near[0].load > bound {
			overflowCount.Add(1)
		}
		for _, k := range near {
			if k.load <= bound {
				return k
			}
		}
		return least
	}
	return b.least(available, isCrowded || hasReports)
}

// prefixCandidate returns the candidate that is the prefix target of the query, and false if
// there is none or if it is overloaded. For a target that was chosen by the load of all hosts,
// only the requests of this host count: the older figures of the others would undo the choice.
func (b *Balancer) prefixCandidate(available []candidate, q Query, isHeard bool) (candidate, bool) {
	load := func(k candidate) float64 {
		if q.IsPlaced {
			return k.own
		}
		return k.load
	}
	sum := 0.0
	for _, k := range available {
		sum += load(k)
	}
	for _, k := range available {
		if q.PrefixTarget != "" && k.target.ID == q.PrefixTarget {
			isWithin := load(k) <= b.affinityBound(sum/float64(len(available)), isHeard && !q.IsPlaced)
			if !isWithin {
				overflowCount.Add(1)
			}
			return k, isWithin
		}
	}
	return candidate{}, false
}

// byLoad orders candidates by load, then by ID.
func byLoad(x, y candidate) int {
	switch {
	case x.load < y.load:
		return -1
	case x.load > y.load:
		return 1
	case x.target.ID < y.target.ID:
		return -1
	}
	return 1
}

// penalizeSlow raises the load of targets whose time to the first byte is more than twice
// the median, so that they are chosen less often.
func penalizeSlow(available []candidate) {
	var times []time.Duration
	for _, k := range available {
		if k.health.firstByte > 0 {
			times = append(times, k.health.firstByte)
		}
	}
	if len(times) < 3 {
		return
	}
	slices.Sort(times)
	median := float64(times[len(times)/2])
	for i := range available {
		if available[i].hasSlowdown {
			continue // the target's own report says it better
		}
		if f := float64(available[i].health.firstByte) / median; f > 2 {
			f = min(f, maxSlowFactor)
			available[i].load, available[i].rank = f*available[i].load, f*available[i].rank
		}
	}
}

// allowsCold reports whether this host may send a request to a cold target now, within
// its share of the target's limit.
func (b *Balancer) allowsCold(t *table.Target, h *health, limit float64, hosts int, now time.Time) bool {
	gap, ok := coldSendInterval(limit, hosts, b.hosts.Rank(t.ID))
	if !ok {
		return false
	}
	h.coldSends = slices.DeleteFunc(h.coldSends, func(at time.Time) bool { return now.Sub(at) > time.Second })
	n := len(h.coldSends)
	return n == 0 || now.Sub(h.coldSends[n-1]) >= gap
}

// sweep removes the health of targets that have been unused for healthRetention.
func (b *Balancer) sweep(now time.Time) {
	if b.choices++; b.choices%choicesPerSweep != 0 {
		return
	}
	for id, h := range b.targets {
		if h.inFlight == 0 && now.Sub(h.lastChosen) > healthRetention {
			delete(b.targets, id)
		}
	}
}

// budget returns the retry budget of a service.
func (b *Balancer) budget(service string) *RetryBudget {
	out := b.budgets[service]
	if out == nil {
		out = NewRetryBudget(b.opts.RetryRatio, b.opts.RetryExtra, b.opts.RetryWindow)
		b.budgets[service] = out
	}
	return out
}

// RecordRequest records the first send of a request to a service.
func (b *Balancer) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).RecordRequest(now)
}

// TakeRetry reports whether a request may be sent once more, and counts the retry if so.
func (b *Balancer) TakeRetry(service string, now time.Time) bool {
	hosts := b.hosts.Count()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(service).TakeRetry(hosts, now)
}

// UsualFirstByte returns a target's moving average of the time to the first byte, or 0 if
// it isn't known.
func (b *Balancer) UsualFirstByte(target string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.health(target).firstByte
}

// ConnectionShare returns this host's share of a limit on the connections to one target.
func (b *Balancer) ConnectionShare(limit int) int { return ConnectionShare(limit, b.hosts.Count()) }
