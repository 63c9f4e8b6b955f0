package canary

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr/testr"

	"chivepost/entry/internal/roster"
	"chivepost/entry/internal/table"
	"chivepost/platform/feed"
	"chivepost/share/fleet"
	"chivepost/share/hosts"
)

const (
	testShare    = 0.1
	testSlack    = 50
	testRollback = 5 * time.Second
	testDuration = 12 * time.Second
)

// response is what a target of the simulation does with a request.
type response struct {
	took   time.Duration
	failed bool
}

// simFleet is a fleet of hosts in virtual time with the real gates and controllers. The
// store, the calls between hosts and the targets are simulated.
type simFleet struct {
	t     *testing.T
	start time.Time
	hosts []*simHost
	rate  float64 // requests per second, of all hosts
	serve func(f *simFleet, target *table.Target, route string, rng *rand.Rand) response

	mu        sync.Mutex
	view      table.View
	records   []statusRecord
	isAway    bool            // the store
	loseReply int             // responses to writes that are lost
	lag       time.Duration   // after which a write takes effect whose response is lost
	sent      []time.Time     // to the new version
	bad       []time.Time     // bad responses of the new version
	requests  int             // before the deadline
	old       int             // requests in progress at the old version
	oldSent   []time.Time     // to the old version
	perTarget map[string]int  // requests in progress
	reached   map[string]int  // requests by target
	routes    map[string]int  // requests to the new version by route
	cut       map[string]bool // hosts that are cut off from the others and from the store
	refused   int
	isClosed  bool
}

type statusRecord struct {
	at      time.Time
	service string
	status  fleet.RolloutStatus
}

// simHost is one host. It implements Roster, Bus, Tables and Statuses for its controller.
type simHost struct {
	f          *simFleet
	i          int
	name       string
	gate       *Gate
	controller *Controller
	handler    func(ctx context.Context, from string, incarnation uint64, body []byte) (any, error)

	mu       sync.Mutex
	isDown   bool
	thaw     chan struct{} // closed when the host runs
	isFrozen bool
	avoided  map[string]time.Time
}

// await blocks while the host is frozen.
func (h *simHost) await() {
	h.mu.Lock()
	thaw := h.thaw
	h.mu.Unlock()
	<-thaw
}

func (h *simHost) freeze(d time.Duration) {
	h.mu.Lock()
	h.thaw, h.isFrozen = make(chan struct{}), true
	h.mu.Unlock()
	time.AfterFunc(d, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.isFrozen = false
		close(h.thaw)
	})
}

func (h *simHost) Era() feed.Era { return 0 }

func (h *simHost) View() *table.View {
	h.await()
	h.f.mu.Lock()
	defer h.f.mu.Unlock()
	v := h.f.view
	return &v
}

// reaches reports whether messages pass between two hosts.
func (h *simHost) reaches(o *simHost) bool {
	h.f.mu.Lock()
	defer h.f.mu.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.isDown && !o.isFrozen && h.f.cut[h.name] == h.f.cut[o.name]
}

func (h *simHost) Home(string) (roster.Host, bool) {
	h.await()
	for _, o := range h.f.hosts {
		h.mu.Lock()
		isAvoided := time.Since(h.avoided[o.name]) < 3*time.Second
		h.mu.Unlock()
		if o == h || h.reaches(o) && !isAvoided {
			return roster.Host{Name: o.name}, o != h
		}
	}
	return roster.Host{}, false
}

func (h *simHost) Avoid(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.avoided[name] = time.Now()
}

func (h *simHost) HostCount() int { return len(h.f.hosts) }

func (h *simHost) Alive() (out []roster.Peer) {
	for _, o := range h.f.hosts {
		if o != h && h.reaches(o) {
			out = append(out, roster.Peer{Host: roster.Host{Name: o.name}})
		}
	}
	return out
}

func (h *simHost) Handle(_ string, handle func(ctx context.Context, from string, incarnation uint64, body []byte) (any, error)) {
	h.handler = handle
}

func (h *simHost) Call(ctx context.Context, to hosts.Host, _ string, body, reply any) error {
	i := slices.IndexFunc(h.f.hosts, func(o *simHost) bool { return o.name == to.Name })
	time.Sleep(5 * time.Millisecond)
	if !h.reaches(h.f.hosts[i]) {
		<-ctx.Done()
		return ctx.Err()
	}
	data, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	out, err := h.f.hosts[i].handler(ctx, h.name, 1, data)
	if err != nil {
		return err
	}
	time.Sleep(5 * time.Millisecond)
	if data, err = cbor.Marshal(out); err != nil {
		return err
	}
	return cbor.Unmarshal(data, reply)
}

var errStoreAway = errors.New("the store doesn't respond")

func (h *simHost) storeCall() error {
	h.await()
	time.Sleep(5 * time.Millisecond)
	h.f.mu.Lock()
	defer h.f.mu.Unlock()
	if h.f.isAway || h.f.cut[h.name] {
		return errStoreAway
	}
	return nil
}

func (h *simHost) Read(context.Context) (map[string]fleet.RolloutStatus, int64, error) {
	if err := h.storeCall(); err != nil {
		return nil, 0, err
	}
	h.f.mu.Lock()
	defer h.f.mu.Unlock()
	out := map[string]fleet.RolloutStatus{}
	for _, r := range h.f.records {
		out[r.service] = r.status
	}
	return out, int64(len(h.f.records)), nil
}

func (h *simHost) Write(_ context.Context, service string, status fleet.RolloutStatus, end int64) error {
	if err := h.storeCall(); err != nil {
		return err
	}
	f := h.f
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loseReply > 0 {
		f.loseReply--
		time.AfterFunc(f.lag, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			_ = f.append(service, status, end)
		})
		return errors.New("no response")
	}
	return f.append(service, status, end)
}

func (f *simFleet) append(service string, status fleet.RolloutStatus, end int64) error {
	if int64(len(f.records)) != end {
		return errors.New("412")
	}
	f.records = append(f.records, statusRecord{time.Now(), service, status})
	return nil
}

// newFleet starts hosts, with old targets of version v1 in two data centres.
func newFleet(t *testing.T, seed uint64, count int, rate float64) *simFleet {
	f := &simFleet{
		t: t, start: time.Now(), rate: rate, perTarget: map[string]int{}, reached: map[string]int{}, routes: map[string]int{}, cut: map[string]bool{},
		serve: good,
		view:  table.View{Config: &fleet.Config{}, TargetsLoaded: true, Targets: map[string][]*table.Target{}, Orders: map[string]fleet.Order{}},
	}
	f.setTargets("v1", 10)
	for i := range count {
		h := &simHost{f: f, i: i, name: fmt.Sprintf("h%d", i), avoided: map[string]time.Time{}, thaw: make(chan struct{})}
		close(h.thaw)
		f.hosts = append(f.hosts, h)
	}
	for i, h := range f.hosts {
		opts := Options{Share: testShare, Slack: testSlack, Regions: map[string]string{"a": "r", "b": "r"}, Hosts: h.HostCount}
		h.gate = NewGate(opts)
		h.controller = New(h.name, 1, h.gate, opts, h, h, h, h, testr.New(t))
		go h.load(rand.New(rand.NewPCG(seed, uint64(i))))
	}
	return f
}

// close ends the hosts, so that the bubble can end and the fields can be read without a lock.
func (f *simFleet) close() {
	if f.isClosed {
		return
	}
	f.isClosed = true
	for _, h := range f.hosts {
		h.mu.Lock()
		h.isDown = true
		h.mu.Unlock()
		h.controller.Close()
	}
	time.Sleep(time.Minute)
	f.mu.Lock() // orders the reads after this behind all that the hosts did
	defer f.mu.Unlock()
}

func (f *simFleet) setTargets(version string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := slices.DeleteFunc(slices.Clone(f.view.Targets["s"]), func(t *table.Target) bool { return t.Version == version })
	for i := range n {
		list = append(list, &table.Target{Target: fleet.Target{ID: fmt.Sprintf("%s-%d", version, i), Service: "s", Version: version, DataCentre: []string{"a", "b"}[i%2]}})
	}
	f.view.Targets = map[string][]*table.Target{"s": list}
}

// order gives, replaces or withdraws (empty version) the order.
func (f *simFleet) order(version string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.Orders = map[string]fleet.Order{}
	if version != "" {
		f.view.Orders["s"] = fleet.Order{Service: "s", Target: version, Duration: d}
	}
}

func (f *simFleet) status() fleet.RolloutStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.records) == 0 {
		return fleet.RolloutStatus{}
	}
	return f.records[len(f.records)-1].status
}

// good answers in 20 to 60 ms, and in ten times that on one of 100 requests.
func good(_ *simFleet, _ *table.Target, _ string, rng *rand.Rand) response {
	took := time.Duration(20+rng.IntN(40)) * time.Millisecond
	if rng.IntN(100) == 0 {
		took *= 10
	}
	return response{took: took, failed: rng.IntN(1000) == 0}
}

// load sends this host's part of the requests: on one route 70 of 100, on another 25, on the
// third 5.
func (h *simHost) load(rng *rand.Rand) {
	mean := float64(time.Second) * float64(len(h.f.hosts)) / h.f.rate
	for {
		time.Sleep(time.Duration(rng.ExpFloat64() * mean))
		h.await()
		h.mu.Lock()
		isDown := h.isDown
		h.mu.Unlock()
		if isDown {
			return
		}
		route := "main"
		if n := rng.IntN(100); n >= 95 {
			route = "rare"
		} else if n >= 70 {
			route = "side"
		}
		go h.request(route, rand.New(rand.NewPCG(rng.Uint64(), 1)))
	}
}

// request sends one request as the edge does, and once more to another target after a
// failure.
func (h *simHost) request(route string, rng *rand.Rand) {
	triedNew := false
	for try := range 2 {
		now, view := time.Now(), h.View()
		s := h.gate.Select(view, "s", route, triedNew, now)
		var target *table.Target
		var use *Use
		for _, list := range [][]*table.Target{s.Targets, s.Others} {
			if len(list) == 0 {
				continue
			}
			t := list[rng.IntN(len(list))]
			if u, ok := h.gate.Begin(view, t, route, try == 0, now); ok {
				target, use = t, u
				break
			}
		}
		if target == nil {
			h.f.mu.Lock()
			h.f.refused++
			h.f.mu.Unlock()
			return
		}
		time.Sleep(time.Millisecond) // dialling
		h.await()
		if use.Check(h.View(), time.Now()) != nil {
			use.Done(Outcome{Kind: NotSent}, time.Now())
			continue
		}
		if triedNew = use.IsTrial(); h.send(target, use, route, rng) {
			return
		}
	}
}

// send has a target answer a request, and reports whether it did.
func (h *simHost) send(target *table.Target, use *Use, route string, rng *rand.Rand) bool {
	f := h.f
	f.mu.Lock()
	isNew := target.Version != "v1"
	if now := time.Now(); isNew {
		f.sent = append(f.sent, now)
		f.routes[route]++
	} else {
		f.old++
		f.oldSent = append(f.oldSent, now)
	}
	f.requests++
	f.reached[target.ID]++
	f.perTarget[target.ID]++
	r := f.serve(f, target, route, rng)
	f.mu.Unlock()
	time.Sleep(r.took)
	f.mu.Lock()
	f.perTarget[target.ID]--
	if !isNew {
		f.old--
	} else if r.failed || r.took > 150*time.Millisecond && r.took < 200*time.Millisecond {
		f.bad = append(f.bad, time.Now())
	}
	f.mu.Unlock()
	kind := Answered
	if r.failed {
		kind = Failed
	}
	use.Done(Outcome{Kind: kind, FirstByte: r.took}, time.Now())
	return !r.failed
}

// runRollout lets the fleet serve for 5 s, gives the order for v2 at once with its targets, and
// returns after the deadline. It returns the requests to v2 and to all targets since then.
func (f *simFleet) runRollout(during func()) (sent, requests int) {
	time.Sleep(5 * time.Second)
	f.mu.Lock()
	f.requests, f.start = 0, time.Now()
	f.mu.Unlock()
	f.setTargets("v2", 10)
	f.order("v2", testDuration)
	if during != nil {
		go during()
	}
	time.Sleep(testDuration)
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.sent), f.requests
}

// serveBy makes the targets answer by a function.
func (f *simFleet) serveBy(serve func(f *simFleet, target *table.Target, route string, rng *rand.Rand) response) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.serve = serve
}

// checkBad checks the bounds for a bad version.
func (f *simFleet) checkBad(sent, requests int) {
	f.t.Helper()
	if limit := testShare*float64(requests) + testSlack; float64(sent) > limit {
		f.t.Errorf("the bad version got %d of %d requests, want at most %.0f", sent, requests, limit)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.bad) >= badLimit && f.sent[len(f.sent)-1].Sub(f.bad[badLimit-1]) > testRollback {
		f.t.Errorf("the last request was sent %s after the 50th bad response", f.sent[len(f.sent)-1].Sub(f.bad[badLimit-1]))
	}
}

func (f *simFleet) checkStatus(want fleet.RolloutStatus) {
	f.t.Helper()
	f.close()
	if got := f.status(); got != want {
		f.t.Errorf("status %+v, want %+v; %d requests to the new version, %d bad responses", got, want, len(f.sent), len(f.bad))
	}
	last := f.records[len(f.records)-1]
	f.t.Logf("%s after %s; %d of %d requests to the new version, %d bad, %d refused, by route %v", last.status.State, last.at.Sub(f.start), len(f.sent), f.requests, len(f.bad), f.refused, f.routes)
	finals := map[fleet.RolloutStatus]bool{}
	for _, r := range f.records {
		if r.status.IsFinal() {
			finals[r.status] = true
		}
	}
	for s := range maps.Keys(finals) {
		if other := (fleet.RolloutStatus{Target: s.Target, State: fleet.RolloutCompleted}); s.State == fleet.RolloutRolledBack && finals[other] {
			f.t.Errorf("version %s has two outcomes: %+v", s.Target, f.records)
		}
	}
}

var (
	completed  = fleet.RolloutStatus{Target: "v2", State: fleet.RolloutCompleted}
	rolledBack = fleet.RolloutStatus{Target: "v2", State: fleet.RolloutRolledBack}
)

// A good version must take over in time although some of its responses fail or are slow, as
// those of the old one, and no request may be at an old target when they stop.
func TestGoodVersionCompletes(t *testing.T) {
	for _, test := range []struct {
		hosts int
		rate  float64
		took  time.Duration // longer than the shortest cutover: requests at old targets are waited for
	}{{9, 3, 0}, {9, 15, 0}, {9, 100, 0}, {62, 300, 0}, {9, 100, 1500 * time.Millisecond}} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%d hosts, %g per s, taking %s, seed %d", test.hosts, test.rate, test.took, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, seed, test.hosts, test.rate)
					defer f.close()
					if test.took > 0 {
						f.serveBy(func(*simFleet, *table.Target, string, *rand.Rand) response { return response{took: test.took} })
					}
					atEnd := -1
					go func() {
						for !f.status().IsFinal() {
							time.Sleep(time.Millisecond)
						}
						f.mu.Lock()
						defer f.mu.Unlock()
						atEnd = f.old
					}()
					f.runRollout(nil)
					f.checkStatus(completed)
					f.mu.Lock()
					defer f.mu.Unlock()
					if atEnd != 0 {
						t.Errorf("%d requests were in progress at old targets at the verdict, want none", atEnd)
					}
					if last := f.records[len(f.records)-1].at; !f.oldSent[len(f.oldSent)-1].Before(last) {
						t.Errorf("a request was sent to an old target %s after the verdict", f.oldSent[len(f.oldSent)-1].Sub(last))
					}
				})
			})
		}
	}
}

// slowOrFailing returns a serve function for a bad v2: part of its responses, when isBad holds.
func slowOrFailing(part float64, failed bool, isBad func(f *simFleet, target *table.Target, route string) bool) func(*simFleet, *table.Target, string, *rand.Rand) response {
	return func(f *simFleet, target *table.Target, route string, rng *rand.Rand) response {
		r := good(f, target, route, rng)
		if target.Version == "v1" || !isBad(f, target, route) || rng.Float64() >= part {
			return r
		}
		if failed {
			return response{took: r.took, failed: true}
		}
		return response{took: 4 * r.took}
	}
}

// A version may be bad from the start, later, on one route or under load, in a part of its
// responses. A comparison of means over all routes misses most of these.
func TestBadVersionIsRolledBack(t *testing.T) {
	always := func(*simFleet, *table.Target, string) bool { return true }
	tests := map[string]func(*simFleet, *table.Target, string, *rand.Rand) response{
		"all fail":      slowOrFailing(1, true, always),
		"some fail":     slowOrFailing(0.2, true, always),
		"all are slow":  slowOrFailing(1, false, always),
		"some are slow": slowOrFailing(0.4, false, always),
		"one route":     slowOrFailing(0.5, true, func(_ *simFleet, _ *table.Target, route string) bool { return route == "rare" }),
		"later":         slowOrFailing(0.5, true, func(f *simFleet, _ *table.Target, _ string) bool { return time.Since(f.start) > 6*time.Second }),
		"under load":    slowOrFailing(0.9, false, func(f *simFleet, target *table.Target, _ string) bool { return f.perTarget[target.ID] > 1 }),
	}
	for name, serve := range tests {
		for _, count := range []int{9, 62} {
			for seed := range uint64(4) {
				t.Run(fmt.Sprintf("%s, %d hosts, seed %d", name, count, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := newFleet(t, seed, count, 200)
						defer f.close()
						f.serveBy(serve)
						f.checkBad(f.runRollout(nil))
						f.checkStatus(rolledBack)
					})
				})
			}
		}
	}
}
