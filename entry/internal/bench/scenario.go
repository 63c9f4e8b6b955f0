// Package bench compares routing policies on the decision path of entry hosts:
// admission, queue, choice of target and retries, in virtual time, before small
// stand-ins for targets. It holds the scenarios and the stand-ins and renders the
// results; the runner is its test, since virtual time needs one.
package bench

import (
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"chivepost/entry/internal/route"
)

// Pool is the behaviour of the targets of one stage.
type Pool struct {
	Name string
	// Targets is the number per region.
	Targets [3]int
	// Limit and ColdLimit are calls in flight at once per target.
	Limit, ColdLimit int
	// Base is the service time of a call alone; with Limit calls in flight it doubles.
	Base time.Duration
	// Prefill is the additional time of a call whose prefix is not cached, and
	// PrefixTokens the tokens computed again. CacheSize is in prefixes.
	Prefill      time.Duration
	PrefixTokens int
	CacheSize    int
	// Bytes is the size of a call and its answer.
	Bytes int
	// Spread is the standard deviation of the logarithm of the service time.
	Spread float64
	// ColdFor is how long a target stays cold after its start.
	ColdFor time.Duration
}

// Regions of the Union deployment, with one data centre each.
var Regions = [3]string{"thies", "kaolack", "ziguinchor"}

// RoundTrip is the time of a call and its answer between regions.
const RoundTrip = 40 * time.Millisecond

// Deadline is that of every request.
const Deadline = 5 * time.Second

// Union returns the stages of the pipeline, in order.
func Union() []Pool {
	small := [3]int{2, 2, 2}
	return []Pool{
		{Name: "encode", Targets: small, Limit: 8, ColdLimit: 4, Base: 30 * time.Millisecond, Bytes: 4 << 10, Spread: 0.2, ColdFor: time.Second},
		{Name: "retrieve", Targets: small, Limit: 8, ColdLimit: 4, Base: 50 * time.Millisecond, Bytes: 16 << 10, Spread: 0.3, ColdFor: time.Second},
		{Name: "rerank", Targets: small, Limit: 8, ColdLimit: 4, Base: 60 * time.Millisecond, Bytes: 40 << 10, Spread: 0.2, ColdFor: time.Second},
		{
			Name: "generate", Targets: [3]int{7, 7, 6}, Limit: 16, ColdLimit: 2, Base: 800 * time.Millisecond,
			Prefill: 250 * time.Millisecond, PrefixTokens: 1000, CacheSize: 16, Bytes: 20 << 10, Spread: 0.4, ColdFor: 3 * time.Second,
		},
	}
}

// Rated returns the calls a second of one target with all slots in use and half
// of the prefixes cached. It is a property of the targets, not of a policy.
func (p Pool) Rated() float64 {
	mean := (2*p.Base.Seconds() + p.Prefill.Seconds()/2)
	return float64(p.Limit) / mean
}

// Capacity returns the requests a second that the targets of the slowest pool can
// serve, without those of the regions that are out.
func Capacity(pools []Pool, out ...int) float64 {
	least := math.Inf(1)
	for _, p := range pools {
		n := 0
		for i, c := range p.Targets {
			n += c
			for _, o := range out {
				if i == o {
					n -= c
				}
			}
		}
		least = min(least, float64(n)*p.Rated())
	}
	return least
}

// Account is a client account. Demand is its part of the capacity.
type Account struct {
	Name   string
	Share  int
	Demand float64
}

// EventKind says what happens to targets during a scenario.
type EventKind int

// The kinds of events.
const (
	// EventSlow multiplies the service time of a pool by Factor.
	EventSlow EventKind = iota
	// EventFail makes a part Factor of the calls of a pool fail.
	EventFail
	// EventOut and EventBack take the data centre of a region out and bring it
	// back, its engines cold.
	EventOut
	EventBack
	// EventCold restarts all targets of a pool.
	EventCold
)

// Event happens at a time after the start.
type Event struct {
	At     time.Duration
	Kind   EventKind
	Pool   string
	Region int
	Factor float64
}

// Scenario is one load on the system. Requests arrive for Length after a linear
// rise over Ramp.
type Scenario struct {
	Name     string
	Length   time.Duration
	Ramp     time.Duration
	Accounts []Account
	Events   []Event
}

// Lengths of scenarios. Without admission, the wait at 1.3 times the capacity takes
// some 15 s to grow to the deadline, so the hour at the peak is cut to a minute.
const (
	full = 30 * time.Second
	peak = time.Minute
)

// accounts returns two large and three small accounts with equal shares that
// together send load times the capacity.
func accounts(load float64) []Account {
	return []Account{
		{"exchange", 1, 0.35 * load},
		{"dispatch", 1, 0.35 * load},
		{"clinic", 1, 0.10 * load},
		{"harbour", 1, 0.10 * load},
		{"school", 1, 0.10 * load},
	}
}

// large returns accounts of which the small ones send as in the opening hour and
// the two large ones the given parts of the capacity.
func large(first, second float64) []Account {
	a := accounts(1.3)
	a[0].Demand, a[1].Demand = first, second
	return a
}

// Names of the scenarios that the aims refer to.
const (
	OpeningHour  = "opening_hour"
	OpeningQuiet = "opening_quiet"
	OneLarge     = "one_large"
	CentreOut    = "data_centre_out"
	OutAt        = 10 * time.Second
	BackAt       = 20 * time.Second
	OutRegion    = 1
	ColdAt       = 8 * time.Second
)

// Suffixes of the policies' names: clientSuffix marks a baseline whose host counts
// only its own calls, grantedSuffix the default policy with slots granted in
// advance.
const (
	clientSuffix  = "_client"
	grantedSuffix = "_granted"
)

// Policies returns the policies compared. The baselines run twice: in plain
// client-side use, where a host knows only its own calls at a target and the rest
// wait there, and with the slots that all hosts share, which no plain client has.
// The default policy runs with shared slots, and with slots that each host is
// granted for a while.
func Policies() []string {
	return []string{
		route.Chivepost, route.Chivepost + grantedSuffix, route.RoundRobin + clientSuffix, route.LeastOutstanding + clientSuffix,
		route.RoundRobin, route.LeastOutstanding,
	}
}

func isClient(policy string) bool { return strings.HasSuffix(policy, clientSuffix) }

func isPlain(policy string) bool { return !strings.HasPrefix(policy, route.Chivepost) }

// policyOf returns the name of the routing policy without its suffix.
func policyOf(name string) string {
	return strings.TrimSuffix(strings.TrimSuffix(name, clientSuffix), grantedSuffix)
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	ramp := 2 * time.Second
	return []Scenario{
		{Name: OpeningHour, Length: peak, Ramp: ramp, Accounts: accounts(1.3)},
		{Name: OpeningQuiet, Length: peak, Ramp: ramp, Accounts: large(0.2, 0.2)},
		{Name: OneLarge, Length: peak, Ramp: ramp, Accounts: large(1.6, 0.2)},
		{Name: "steady_day", Length: full, Accounts: accounts(0.7)},
		{Name: "stage_slow", Length: full, Accounts: accounts(0.8), Events: []Event{{At: 5 * time.Second, Kind: EventSlow, Pool: "rerank", Factor: 3}}},
		{Name: "stage_failing", Length: full, Accounts: accounts(0.8), Events: []Event{{At: 5 * time.Second, Kind: EventFail, Pool: "retrieve", Factor: 0.2}}},
		{Name: CentreOut, Length: full + 5*time.Second, Ramp: ramp, Accounts: accounts(0.9), Events: []Event{
			{At: OutAt, Kind: EventOut, Region: OutRegion}, {At: BackAt, Kind: EventBack, Region: OutRegion},
		}},
		{Name: "engines_cold", Length: full, Accounts: accounts(0.7), Events: []Event{{At: ColdAt, Kind: EventCold, Pool: "generate"}}},
	}
}

// Arrival is one request of a scenario. Factors are those of the service time per
// stage, Rolls decide whether an attempt fails.
type Arrival struct {
	At      time.Duration
	Account Account
	Prefix  uint64
	Region  int
	Factors []float64
	Seed    uint64
}

// prefixes is the number of prompt prefixes per account: all engines together can
// cache about half as many again, those of one region fewer than all.
const prefixes = 24

// Arrivals returns the requests of the scenario, in order, for a seed.
func (s Scenario) Arrivals(seed uint64, pools []Pool) []Arrival {
	r := rand.New(rand.NewPCG(seed, 1))
	rate, demand := Capacity(pools), 0.0
	for _, a := range s.Accounts {
		demand += a.Demand
	}
	zipf := rand.NewZipf(r, 1.1, 4, prefixes-1)
	var all []Arrival
	for at := 0.0; ; {
		at += r.ExpFloat64() / (rate * demand)
		if at >= s.Length.Seconds() {
			return all
		}
		// Thinning gives the rise at the start.
		if at < s.Ramp.Seconds() && r.Float64() > at/s.Ramp.Seconds() {
			continue
		}
		pick := r.Float64() * demand
		k := 0
		for k < len(s.Accounts)-1 && pick >= s.Accounts[k].Demand {
			pick -= s.Accounts[k].Demand
			k++
		}
		a := Arrival{
			At: time.Duration(at * float64(time.Second)), Account: s.Accounts[k],
			Prefix: uint64(k*prefixes) + zipf.Uint64() + 1, Region: r.IntN(len(Regions)), Seed: r.Uint64(),
		}
		for _, p := range pools {
			// The mean of the factor is 1.
			a.Factors = append(a.Factors, math.Exp(p.Spread*r.NormFloat64()-p.Spread*p.Spread/2))
		}
		all = append(all, a)
	}
}
