package pick

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"chivepost/entry/internal/loads"
	"chivepost/entry/internal/notice"
	"chivepost/entry/internal/table"
	"chivepost/share/fleet"
)

// scenario describes a service and its load in virtual time.
type scenario struct {
	hosts, targets, dataCentres, slots, maxQueue int
	work                                         time.Duration // mean time of a request
	use                                          float64       // share of the slots that the load needs
	burst                                        float64       // factor of the load in seconds 8 to 12; 0: none
	slow                                         float64       // factor of the time at every fourth target; 0: none
	jitter                                       bool          // each target's time changes each 50 ms between half and three times the usual
	sessions                                     int           // number of prompt prefixes, used by most requests; 0: none
	elsewhere                                    float64       // share of requests whose stage results lie in another data centre of the region
	restartAt                                    time.Duration // all hosts start anew; 0: never
	skew                                         float64       // share of requests that arrive at the hosts of the first data centre beyond an even one
	lost                                         float64       // share of datagrams between hosts
	isReporting                                  bool          // targets report their load in responses
	seed                                         uint64
	noSpill                                      bool // plain services: no number of slots is configured
}

// outcome is what a run of a scenario measures from its fourth second on.
type outcome struct {
	spread              float64 // fullest target over the mean, of running and waiting, mean of samples
	deviation           float64 // standard deviation of a target's load over the mean
	requests            int
	refused, lost       int // refused sends; requests that no target took
	waited, waitedIdle  int // requests that waited; that waited while a target as near had a free slot
	far, hits, sessions int // requests that left their region; of requests with a prefix, those whose target had it cached
	queueing            []time.Duration
	swings              int // times that a target's load went from below half the mean to above one and a half times
	bytes, sends        int
}

func (o *outcome) percent(n int) float64 { return 100 * float64(n) / float64(max(o.requests, 1)) }

func (o *outcome) queueMillis() (mean, p99 float64) {
	slices.Sort(o.queueing)
	if len(o.queueing) == 0 {
		return 0, 0
	}
	var sum time.Duration
	for _, d := range o.queueing {
		sum += d
	}
	ms := float64(time.Millisecond)
	return float64(sum) / ms / float64(len(o.queueing)), float64(o.queueing[len(o.queueing)*99/100]) / ms
}

func (o *outcome) String() string {
	mean, p99 := o.queueMillis()
	hits := 100 * float64(o.hits) / float64(max(o.sessions, 1))
	return fmt.Sprintf("max/mean %.2f | deviation %.2f | refused sends %.1f%% | lost %.1f%% | waited %.1f%% | with a slot idle %.1f%% | queueing %.0f / %.0f ms | far %.1f%% | prefix hits %.0f%% | swings %d",
		o.spread, o.deviation, o.percent(o.refused), o.percent(o.lost), o.percent(o.waited), o.percent(o.waitedIdle), mean, p99, o.percent(o.far), hits, o.swings)
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

type modelTarget struct {
	*table.Target
	running  int
	waiting  []*modelRequest
	factor   float64
	prefixes []string // cached, the newest last
	isLow    bool
}

type modelHost struct {
	dataCentre string
	balancer   *Balancer
	board      *loads.Board
}

type modelRequest struct {
	host      *modelHost
	chosen    *Chosen
	query     Query
	size      float64
	sends     int
	arrivedAt time.Time
}

type model struct {
	scenario
	now     time.Time
	begin   time.Time
	events  events
	seq     int
	rng     *rand.Rand
	regions map[string]string
	list    []*table.Target
	byID    map[string]*modelTarget
	all     []*modelTarget
	nodes   []*modelHost
	policy  func(m *model) policy
	out     outcome
	// snapshot holds the load of each target as of snapshotAt, for policies on figures of a
	// given age.
	snapshot     map[string]float64
	snapshotAt   time.Time
	snapshotMean float64
	ownThen      map[*health]float64 // a host's own requests when the loads were taken
}

const modelTime, modelWarmUp = 20 * time.Second, 4 * time.Second

func newModel(s scenario, p func(m *model) policy) *model {
	m := &model{scenario: s, begin: time.Unix(1_000_000_000, 0), rng: rand.New(rand.NewPCG(s.seed, 1)), regions: map[string]string{}, byID: map[string]*modelTarget{}, policy: p, snapshot: map[string]float64{}}
	m.now = m.begin
	for i := range s.dataCentres {
		m.regions[fmt.Sprintf("d%02d", i)] = fmt.Sprintf("r%d", i%3)
	}
	for i := range s.targets {
		t := &table.Target{Target: fleet.Target{ID: fmt.Sprintf("t%03d", i), DataCentre: fmt.Sprintf("d%02d", i%s.dataCentres)}}
		mt := &modelTarget{Target: t, factor: 1}
		if s.slow > 0 && i/s.dataCentres%4 == 0 {
			mt.factor = s.slow
		}
		m.list, m.all, m.byID[t.ID] = append(m.list, t), append(m.all, mt), mt
	}
	for i := range s.hosts {
		n := &modelHost{dataCentre: fmt.Sprintf("d%02d", i%s.dataCentres)}
		m.nodes = append(m.nodes, n)
		m.start(n, i, 1)
	}
	return m
}

// start starts a host without any knowledge.
func (m *model) start(n *modelHost, i int, incarnation uint32) {
	n.board = loads.NewBoard(uint32(i+1), incarnation)
	n.balancer = New(Options{DataCentre: n.dataCentre, Region: m.regions[n.dataCentre], Regions: m.regions, Others: n.board}, fixedHosts{m.hosts, i}, notice.None{})
	n.balancer.policy = m.policy(m)
	n.balancer.rng = rand.New(rand.NewPCG(m.seed, uint64(i)))
}

func (m *model) after(d time.Duration, run func()) {
	m.seq++
	heap.Push(&m.events, event{m.now.Add(d), m.seq, run})
}

func (m *model) every(d time.Duration, run func()) {
	m.after(d, func() { run(); m.every(d, run) })
}

func (m *model) run() *outcome {
	m.after(0, m.arrive)
	m.every(50*time.Millisecond, m.sample)
	for i, n := range m.nodes {
		m.after(time.Duration(m.rng.Int64N(int64(400*time.Millisecond))), func() { m.gossip(n, i) })
	}
	if m.jitter {
		for _, t := range m.all {
			m.every(50*time.Millisecond, func() { t.factor = 0.5 * math.Pow(6, m.rng.Float64()) })
		}
	}
	if m.restartAt > 0 {
		m.after(m.restartAt, func() {
			for i, n := range m.nodes {
				m.start(n, i, 2)
			}
		})
	}
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		if e.at.Sub(m.begin) > modelTime {
			break
		}
		m.now = e.at
		e.run()
	}
	return &m.out
}

func (m *model) isMeasured() bool { return m.now.Sub(m.begin) >= modelWarmUp }

// gossip sends a host's records to three hosts of its region.
func (m *model) gossip(n *modelHost, i int) {
	records := n.board.Next(n.balancer.InFlight(), m.now)
	for range min(3, len(m.nodes)-1) {
		to := m.nodes[m.rng.IntN(len(m.nodes))]
		for to == n || m.regions[to.dataCentre] != m.regions[n.dataCentre] {
			to = m.nodes[m.rng.IntN(len(m.nodes))]
		}
		for _, r := range records {
			m.out.bytes += 16 + 4*len(r.Counts)/2
		}
		m.out.sends++
		if m.rng.Float64() >= m.lost {
			board := to.board
			m.after(time.Millisecond, func() { board.Merge(records, m.now) })
		}
	}
	m.after(400*time.Millisecond, func() { m.gossip(n, i) })
}

func (m *model) arrive() {
	perSecond := m.use * float64(m.targets*m.slots) / m.work.Seconds()
	if at := m.now.Sub(m.begin); m.burst > 0 && at > 8*time.Second && at < 12*time.Second {
		perSecond *= m.burst
	}
	m.after(time.Duration(m.rng.ExpFloat64()/perSecond*float64(time.Second)), m.arrive)
	n := m.nodes[m.rng.IntN(len(m.nodes))]
	for m.rng.Float64() < m.skew && n.dataCentre != "d00" {
		n = m.nodes[m.rng.IntN(len(m.nodes))]
	}
	r := &modelRequest{host: n, size: math.Exp(0.6*m.rng.NormFloat64() - 0.18), query: Query{Targets: m.list, Tried: map[string]bool{}}}
	if !m.noSpill {
		r.query.Slots = m.slots
	}
	if m.sessions > 0 && m.rng.Float64() < 0.8 {
		r.query.Affinity = fmt.Sprint("p", int(float64(m.sessions)*math.Pow(m.rng.Float64(), 2.5)))
	}
	if m.rng.Float64() < m.elsewhere {
		for r.query.DataCentre == "" || m.regions[r.query.DataCentre] != m.regions[n.dataCentre] {
			r.query.DataCentre = m.list[m.rng.IntN(len(m.list))].DataCentre
		}
	}
	if m.isMeasured() {
		m.out.requests++
	}
	m.send(r)
}

func (m *model) send(r *modelRequest) {
	chosen, _ := r.host.balancer.Choose(r.query, m.now)
	if r.sends++; chosen == nil || r.sends > 3 {
		if m.isMeasured() {
			m.out.lost++
		}
		if chosen != nil {
			chosen.doneAt(Cancelled, 0, m.now)
		}
		return
	}
	r.chosen = chosen
	r.query.Tried[chosen.ID] = true
	t := m.byID[chosen.ID]
	m.after(m.transit(r, t), func() { m.accept(r, t) })
}

func (m *model) transit(r *modelRequest, t *modelTarget) time.Duration {
	if m.regions[r.host.dataCentre] == m.regions[t.DataCentre] {
		return 500 * time.Microsecond
	}
	return 20 * time.Millisecond
}

func (m *model) accept(r *modelRequest, t *modelTarget) {
	r.arrivedAt = m.now
	isNear := func(x *modelTarget) bool { return x.DataCentre == t.DataCentre }
	switch {
	case t.running < m.slots:
		m.begins(r, t)
	case len(t.waiting) < m.maxQueue:
		t.waiting = append(t.waiting, r)
		if m.isMeasured() {
			m.out.waited++
			if slices.ContainsFunc(m.all, func(x *modelTarget) bool { return isNear(x) && x.running < m.slots }) {
				m.out.waitedIdle++
			}
		}
	default:
		if m.isMeasured() {
			m.out.refused++
		}
		m.after(m.transit(r, t), func() { m.answered(r, t, Refused, 0); m.send(r) })
	}
}

func (m *model) begins(r *modelRequest, t *modelTarget) {
	t.running++
	took := r.size * t.factor * float64(m.work)
	if key := r.query.Affinity; key != "" {
		i := slices.Index(t.prefixes, key)
		if i >= 0 {
			t.prefixes = slices.Delete(t.prefixes, i, i+1)
		} else {
			took *= 1.25
		}
		if t.prefixes = append(t.prefixes, key); len(t.prefixes) > 12 {
			t.prefixes = t.prefixes[1:]
		}
		if m.isMeasured() {
			m.out.sessions++
			if i >= 0 {
				m.out.hits++
			}
		}
	}
	queued := m.now.Sub(r.arrivedAt)
	if m.isMeasured() {
		m.out.queueing = append(m.out.queueing, queued)
		if m.regions[r.host.dataCentre] != m.regions[t.DataCentre] {
			m.out.far++
		}
	}
	m.after(time.Duration(took), func() {
		t.running--
		if len(t.waiting) > 0 {
			next := t.waiting[0]
			t.waiting = t.waiting[1:]
			m.begins(next, t)
		}
		m.after(m.transit(r, t), func() {
			m.answered(r, t, Answered, 2*m.transit(r, t)+queued+time.Duration(took/10))
		})
	})
}

func (m *model) answered(r *modelRequest, t *modelTarget, o Outcome, firstByte time.Duration) {
	if m.isReporting {
		r.chosen.Report(fleet.LoadReport{Running: t.running, Waiting: len(t.waiting), Slots: m.slots, Slowdown: t.factor}, m.now)
	}
	r.chosen.doneAt(o, firstByte, m.now)
}

// sample measures how evenly the load is spread at one moment.
func (m *model) sample() {
	sum, top, squares := 0.0, 0.0, 0.0
	for _, t := range m.all {
		n := float64(t.running + len(t.waiting))
		sum, top, squares = sum+n, max(top, n), squares+n*n
	}
	mean := sum / float64(len(m.all))
	for _, t := range m.all {
		n := float64(t.running + len(t.waiting))
		if t.isLow && n > 1.5*mean && m.isMeasured() {
			m.out.swings++
		}
		t.isLow = n < 0.5*mean || t.isLow && n <= 1.5*mean
	}
	if !m.isMeasured() || mean == 0 {
		return
	}
	samples := float64((modelTime - modelWarmUp) / (50 * time.Millisecond))
	m.out.spread += top / mean / samples
	m.out.deviation += math.Sqrt(max(squares/float64(len(m.all))-mean*mean, 0)) / mean / samples
}

// look takes the loads of all targets, at most age ago.
func (m *model) look(age time.Duration) {
	if !m.snapshotAt.IsZero() && m.now.Sub(m.snapshotAt) < age {
		return
	}
	m.snapshotAt, m.snapshotMean, m.ownThen = m.now, 0, map[*health]float64{}
	for _, t := range m.all {
		m.snapshot[t.ID] = float64(t.running + len(t.waiting))
		m.snapshotMean += m.snapshot[t.ID] / float64(len(m.all))
	}
}

// aged returns the policy that chooses by loads of a given age, which are the same for all
// hosts: as they are, or with the host's own sends since then, or nearer to the mean the
// older they are.
func aged(age time.Duration, sample int, withOwn, isInterpreted bool) func(m *model) policy {
	return func(m *model) policy {
		p := defaultPolicy
		p.sample, p.isForced = sample, true
		p.figure = func(k *candidate, _ time.Time) float64 {
			m.look(age)
			x := m.snapshot[k.target.ID]
			if _, isKnown := m.ownThen[k.health]; !isKnown {
				m.ownThen[k.health] = k.own
			}
			if isInterpreted {
				x = m.snapshotMean + math.Exp(-m.now.Sub(m.snapshotAt).Seconds())*(x-m.snapshotMean)
			}
			if withOwn {
				x += k.own - m.ownThen[k.health]
			}
			return x
		}
		return p
	}
}

// option is a way to choose, by the name that the tables of the design page have.
type option struct {
	name   string
	policy func(m *model) policy
}

func fixed(change func(p *policy)) func(*model) policy {
	return func(*model) policy {
		p := defaultPolicy
		change(&p)
		return p
	}
}

// ownLoad is the choice by the host's own requests alone.
func ownLoad(p *policy) {
	p.isForced = true
	p.figure = func(k *candidate, _ time.Time) float64 { return k.own }
}

var options = []option{
	{"own requests, by ID (before)", fixed(func(p *policy) { p.isPlain, p.ignoresReports = true, true })},
	{"own, random among equals", fixed(ownLoad)},
	{"own, two random", fixed(func(p *policy) { ownLoad(p); p.sample = 2 })},
	{"own, each host its own order", func(m *model) policy {
		p := defaultPolicy
		p.isForced = true
		salt := m.rng.Uint64() // the policy is made once for each host
		p.figure = func(k *candidate, _ time.Time) float64 {
			return k.own + float64((xxhash.Sum64String(k.target.ID)^salt)*0x9e3779b97f4a7c15>>54)/1025
		}
		return p
	}},
	{"heard in full, least", fixed(func(p *policy) { p.othersWeight, p.isForced = 1, true })},
	{"heard in full, two random", fixed(func(p *policy) { p.othersWeight, p.sample, p.isForced = 1, 2, true })},
	{"heard at 0.15, with any number of hosts", fixed(func(p *policy) { p.isForced = true })},
	{"heard at 0.15 (built)", fixed(func(*policy) {})},
	{"all loads, 0.05 s old, least", aged(50*time.Millisecond, 0, false, false)},
	{"all loads, 0.4 s old, least", aged(400*time.Millisecond, 0, false, false)},
	{"all loads, 2 s old, least", aged(2*time.Second, 0, false, false)},
	{"all loads, 2 s old, two random", aged(2*time.Second, 2, false, false)},
	{"all loads, 2 s old, own sends", aged(2*time.Second, 0, true, false)},
	{"all loads, 2 s old, by age, own sends", aged(2*time.Second, 0, true, true)},
}

// BenchmarkModel prints the figures of docs/design/target-load.md.
func BenchmarkModel(b *testing.B) {
	sizes := []scenario{
		{hosts: 9, targets: 6, dataCentres: 3}, {hosts: 62, targets: 90, dataCentres: 6}, {hosts: 295, targets: 280, dataCentres: 11},
	}
	loads := []struct {
		name   string
		change func(s *scenario)
	}{
		{"even", func(*scenario) {}},
		{"prompts in common", func(s *scenario) { s.sessions, s.elsewhere = 300, 0.3 }},
		{"results elsewhere", func(s *scenario) { s.elsewhere = 0.5 }},
		{"a quarter of the targets 1.3 times as slow", func(s *scenario) { s.slow = 1.3 }},
		{"burst of 1.4", func(s *scenario) { s.burst = 1.4 }},
		{"restart at 6 s", func(s *scenario) { s.restartAt = 6 * time.Second }},
	}
	reporting := []scenario{
		{hosts: 1, targets: 18, dataCentres: 3, slots: 1, maxQueue: 2, work: 600 * time.Millisecond},
		{hosts: 9, targets: 6, dataCentres: 1, slots: 6, work: 100 * time.Millisecond, noSpill: true},
		{hosts: 62, targets: 90, dataCentres: 6, slots: 12, work: 2 * time.Second},
	}
	var names []string
	var runs []func() *outcome
	for _, size := range sizes {
		for i, l := range loads {
			if size.hosts > 100 && i > 1 {
				continue // these take minutes
			}
			s := size
			s.slots, s.maxQueue, s.work, s.use, s.lost, s.seed = 12, 24, 2*time.Second, 0.8, 0.05, 1
			l.change(&s)
			for _, o := range options {
				names = append(names, fmt.Sprintf("%d/%d %s | %s", s.hosts, s.targets, l.name, o.name))
				runs = append(runs, func() *outcome { return newModel(s, o.policy).run() })
			}
		}
	}
	for _, s := range reporting {
		s.use, s.lost, s.seed, s.isReporting, s.maxQueue = 0.5, 0.05, 1, true, max(s.maxQueue, 2)
		for _, l := range []string{"a quarter of the targets 3 times as slow", "time changes each 50 ms"} {
			s := s
			if s.jitter, s.slow = true, 0; l[0] == 'a' {
				s.jitter, s.slow = false, 3
			}
			for _, o := range []option{options[0], options[7], {"built, without reports", fixed(func(p *policy) { p.ignoresReports = true })}} {
				names = append(names, fmt.Sprintf("reporting %d/%d %s | %s", s.hosts, s.targets, l, o.name))
				runs = append(runs, func() *outcome { return newModel(s, o.policy).run() })
			}
		}
	}
	slots := make(chan struct{}, 2)
	var wg sync.WaitGroup
	for i, run := range runs {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			fmt.Println(names[i] + " | " + run().String())
		})
	}
	wg.Wait()
}
