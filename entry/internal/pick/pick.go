package pick

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chivepost/entry/internal/table"
)

const (
	// loadSlack and loadFactor bound the load of a target that a request prefers for
	// its cache: this many requests, and this many times the mean.
	loadSlack  = 2.0
	loadFactor = 1.35
	// keepUnseen is how long a target without requests is remembered.
	keepUnseen = time.Minute
	// sweepEach is the number of choices between two looks for such targets.
	sweepEach = 4096
)

// Hosts tells how this host stands among the others.
type Hosts interface {
	Count() int
	Rank(key string) int
}

// Options sets up a Book.
type Options struct {
	DataCentre  string
	Region      string
	Regions     map[string]string // data centre to region
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
}

// Balancer holds what this host knows of all targets.
type Balancer struct {
	opts  Options
	hosts Hosts

	mu      sync.Mutex
	targets map[string]*health
	budgets map[string]*RetryBudget
	choices int
}

// New returns an empty book.
func New(opts Options, hosts Hosts) *Balancer {
	return &Balancer{opts: opts, hosts: hosts, targets: map[string]*health{}, budgets: map[string]*RetryBudget{}}
}

// Query describes a request for which a target is wanted.
type Query struct {
	Targets      []*table.Target
	Regions      []string        // allowed; empty: all
	Tried        map[string]bool // targets that are not to be chosen again
	Affinity     string          // requests with the same one prefer the same target; empty: none
	ColdLimit    float64         // requests a second that a cold target bears from all hosts
	Slots        int             // requests that a target runs at once; 0: not known
	DataCentre   string          // data centre where a target is wanted; empty: this host's
	PrefixTarget string          // target that is wanted unless it is overloaded; empty: none
}

// Chosen is a target that counts a request until Done.
type Chosen struct {
	*table.Target
	book *Balancer
	sent time.Time
	took time.Duration // to the first byte
	done bool
}

// FirstByte notes that the first byte of the answer is here.
func (c *Chosen) FirstByte() {
	if c.took == 0 {
		c.took = time.Since(c.sent)
	}
}

// Done notes how the request went.
func (c *Chosen) Done(o Outcome) {
	if c.done {
		return
	}
	c.done = true
	c.book.mu.Lock()
	defer c.book.mu.Unlock()
	h := c.book.health(c.ID)
	h.inFlight--
	h.note(o, c.took, time.Now())
}

func (b *Balancer) health(id string) *health {
	h := b.targets[id]
	if h == nil {
		h = &health{}
		b.targets[id] = h
	}
	return h
}

// candidate is a target with what a choice weighs.
type candidate struct {
	target *table.Target
	health *health
	away   int // 0: this data centre, 1: this region, 2: elsewhere
	load   float64
	rank   uint64 // for the affinity
}

// Choose returns a target, or false if none may get the request now. Why says
// what stood in the way.
func (b *Balancer) Choose(q Query, now time.Time) (c *Chosen, why string) {
	hosts := b.hosts.Count()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep(now)
	near, nearRegion := b.opts.DataCentre, b.opts.Region
	if q.DataCentre != "" {
		near, nearRegion = q.DataCentre, b.opts.Regions[q.DataCentre]
	}
	var fit, out []candidate
	why = "no target is known"
	for _, t := range q.Targets {
		region := b.opts.Regions[t.DataCentre]
		if q.Tried[t.ID] || len(q.Regions) > 0 && !slices.Contains(q.Regions, region) {
			continue
		}
		h := b.health(t.ID)
		if t.IsCold(now) && !b.bearsCold(t, h, q.ColdLimit, hosts, now) {
			why = "targets are cold"
			continue
		}
		k := candidate{target: t, health: h, load: float64(h.inFlight + 1), away: 2}
		switch {
		case t.DataCentre == near:
			k.away = 0
		case region == nearRegion:
			k.away = 1
		}
		if q.Affinity != "" {
			k.rank = xxhash.Sum64String(q.Affinity + "\x00" + t.ID)
		}
		if h.isOut(now) {
			out = append(out, k)
			continue
		}
		fit = append(fit, k)
	}
	if len(fit) == 0 {
		// With all left alone the one that comes back first is as good as any.
		if len(out) == 0 {
			return nil, why
		}
		fit = []candidate{slices.MinFunc(out, func(x, y candidate) int { return x.health.ejected.Compare(y.health.ejected) })}
	}
	best := b.best(fit, q)
	h := best.health
	if h.ejects > 0 {
		h.probing = true
	}
	h.inFlight++
	h.seen = now
	if best.target.IsCold(now) {
		h.coldSent = append(h.coldSent, now)
	}
	return &Chosen{Target: best.target, book: b, sent: now}, ""
}

// best weighs candidates: the nearest ones that aren't overloaded, among them
// the one preferred for its cache, or the least loaded.
func (b *Balancer) best(fit []candidate, q Query) candidate {
	slowness(fit)
	if k, ok := preferred(fit, q.PrefixTarget); ok {
		return k
	}
	for away := range 3 {
		near := slices.DeleteFunc(slices.Clone(fit), func(k candidate) bool { return k.away != away })
		if len(near) == 0 {
			continue
		}
		sum := 0.0
		for _, k := range near {
			sum += k.load
		}
		least := slices.MinFunc(near, byLoad)
		// Places are shared with other hosts; a host that fills half of them by itself
		// goes further away.
		if away < 2 && q.Slots > 0 && least.load > max(float64(q.Slots)/2, 2) {
			continue
		}
		if q.Affinity == "" {
			return least
		}
		bound := loadSlack + loadFactor*sum/float64(len(near))
		slices.SortFunc(near, func(x, y candidate) int {
			if x.rank > y.rank {
				return -1
			}
			return 1
		})
		for _, k := range near {
			if k.load <= bound {
				return k
			}
		}
		return least
	}
	return slices.MinFunc(fit, byLoad)
}

// preferred returns the candidate with the wanted id unless it is overloaded.
func preferred(fit []candidate, id string) (candidate, bool) {
	sum := 0.0
	for _, k := range fit {
		sum += k.load
	}
	for _, k := range fit {
		if id != "" && k.target.ID == id {
			return k, k.load <= loadSlack+loadFactor*sum/float64(len(fit))
		}
	}
	return candidate{}, false
}

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

// slowness raises the load of targets that answer more slowly than the median.
func slowness(list []candidate) {
	var times []time.Duration
	for _, k := range list {
		if k.health.first > 0 {
			times = append(times, k.health.first)
		}
	}
	if len(times) < 3 {
		return
	}
	slices.Sort(times)
	median := float64(times[len(times)/2])
	for i := range list {
		if f := float64(list[i].health.first) / median; f > 2 {
			list[i].load *= min(f, maxSlowness)
		}
	}
}

// bearsCold reports whether this host may send a request to a cold target now.
func (b *Balancer) bearsCold(t *table.Target, h *health, limit float64, hosts int, now time.Time) bool {
	gap, ok := coldGap(limit, hosts, b.hosts.Rank(t.ID))
	if !ok {
		return false
	}
	h.coldSent = slices.DeleteFunc(h.coldSent, func(at time.Time) bool { return now.Sub(at) > time.Second })
	n := len(h.coldSent)
	return n == 0 || now.Sub(h.coldSent[n-1]) >= gap
}

// sweep forgets targets that haven't been used for long.
func (b *Balancer) sweep(now time.Time) {
	if b.choices++; b.choices%sweepEach != 0 {
		return
	}
	for id, h := range b.targets {
		if h.inFlight == 0 && now.Sub(h.seen) > keepUnseen {
			delete(b.targets, id)
		}
	}
}

// budget returns the budget of a service.
func (b *Balancer) budget(service string) *RetryBudget {
	out := b.budgets[service]
	if out == nil {
		out = NewRetryBudget(b.opts.RetryRatio, b.opts.RetryExtra, b.opts.RetryWindow)
		b.budgets[service] = out
	}
	return out
}

// First notes a request's first send to a service.
func (b *Balancer) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).RecordRequest(now)
}

// TakeRepeat reports whether a request may be sent once more, and notes it.
func (b *Balancer) TakeRetry(service string, now time.Time) bool {
	hosts := b.hosts.Count()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(service).TakeRetry(hosts, now)
}

// Usual returns the usual time to the first byte of a target; 0 if it isn't known.
func (b *Balancer) UsualFirstByte(target string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.health(target).first
}

// Channels returns how many connections to one target of a service this host may
// hold.
func (b *Balancer) ConnectionShare(limit int) int { return ConnectionShare(limit, b.hosts.Count()) }
