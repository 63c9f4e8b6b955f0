// Package bench compares routing policies. It runs the decision path of entry hosts, which
// is admission, queue, choice of target and retries, against simulated targets in virtual
// time. The package contains the scenarios, the simulated targets and the output of results.
// The runner is a test, since only tests have virtual time.
package bench

import (
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"chivepost/entry/internal/route"
)

// Pool describes the behaviour of the targets of one stage.
type Pool struct {
	Name string
	// Targets is the number of targets per region.
	Targets [3]int
	// Limit and ColdLimit are the maximum numbers of calls in flight at a warm and at a cold
	// target.
	Limit, ColdLimit int
	// ServiceTime is the service time of a call at an idle target. With Limit calls in flight
	// it doubles.
	ServiceTime time.Duration
	// Prefill is the additional time of a call whose prefix is not cached, PrefixTokens the
	// number of tokens that it recomputes. CacheSize is a number of prefixes.
	Prefill      time.Duration
	PrefixTokens int
	CacheSize    int
	// Bytes is the total size of a call and its answer.
	Bytes int
	// LogStdDev is the standard deviation of the logarithm of the service time.
	LogStdDev float64
	// ColdTime is how long a target stays cold after its start.
	ColdTime time.Duration
}

// Regions of the Union deployment, with one data centre each.
var Regions = [3]string{"thies", "kaolack", "ziguinchor"}

// RoundTrip is the network time of a call and its answer between regions.
const RoundTrip = 40 * time.Millisecond

// Deadline is the time within which every request must be answered.
const Deadline = 5 * time.Second

// Union returns the stages of the pipeline, in order.
func Union() []Pool {
	small := [3]int{2, 2, 2}
	return []Pool{
		{Name: "encode", Targets: small, Limit: 8, ColdLimit: 4, ServiceTime: 30 * time.Millisecond, Bytes: 4 << 10, LogStdDev: 0.2, ColdTime: time.Second},
		{Name: "retrieve", Targets: small, Limit: 8, ColdLimit: 4, ServiceTime: 50 * time.Millisecond, Bytes: 16 << 10, LogStdDev: 0.3, ColdTime: time.Second},
		{Name: "rerank", Targets: small, Limit: 8, ColdLimit: 4, ServiceTime: 60 * time.Millisecond, Bytes: 40 << 10, LogStdDev: 0.2, ColdTime: time.Second},
		{
			Name: "generate", Targets: [3]int{7, 7, 6}, Limit: 16, ColdLimit: 2, ServiceTime: 800 * time.Millisecond,
			Prefill: 250 * time.Millisecond, PrefixTokens: 1000, CacheSize: 16, Bytes: 20 << 10, LogStdDev: 0.4, ColdTime: 3 * time.Second,
		},
	}
}

// RatedThroughput returns the calls per second of one target with all slots in use and half
// of the prefixes cached. It doesn't depend on the policy.
func (p Pool) RatedThroughput() float64 {
	mean := (2*p.ServiceTime.Seconds() + p.Prefill.Seconds()/2)
	return float64(p.Limit) / mean
}

// Capacity returns the requests per second that the pool with the lowest throughput can
// serve, without the targets of the regions that are out.
func Capacity(pools []Pool, out ...int) float64 {
	lowest := math.Inf(1)
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
		lowest = min(lowest, float64(n)*p.RatedThroughput())
	}
	return lowest
}

// Account is a client account. Demand is its load as a fraction of the capacity.
type Account struct {
	Name   string
	Share  int
	Demand float64
}

// EventKind is what happens to targets in an event.
type EventKind int

// The kinds of events.
const (
	// EventSlow multiplies the service time of a pool by Factor.
	EventSlow EventKind = iota
	// EventFail makes the fraction Factor of the calls of a pool fail.
	EventFail
	// EventOut takes the data centre of a region out. EventBack brings it back with cold
	// engines.
	EventOut
	EventBack
	// EventCold restarts all targets of a pool.
	EventCold
)

// Event is a change of targets. At is relative to the start of the scenario.
type Event struct {
	At     time.Duration
	Kind   EventKind
	Pool   string
	Region int
	Factor float64
}

// Scenario is a load and events during it. Requests arrive for Length, of which the rate
// rises linearly during Ramp.
type Scenario struct {
	Name     string
	Length   time.Duration
	Ramp     time.Duration
	Accounts []Account
	Events   []Event
}

// Lengths of scenarios. The peak hour is shortened to a minute: at 1.3 times the capacity
// and without admission, the wait reaches the deadline after about 15 s.
const (
	defaultLength = 30 * time.Second
	peakLength    = time.Minute
)

// accounts returns two large and three small accounts with equal shares. Their total demand
// is load times the capacity.
func accounts(load float64) []Account {
	return []Account{
		{"exchange", 1, 0.35 * load},
		{"dispatch", 1, 0.35 * load},
		{"clinic", 1, 0.10 * load},
		{"harbour", 1, 0.10 * load},
		{"school", 1, 0.10 * load},
	}
}

// accountsWithLarge returns accounts whose small ones have the demand of the opening hour and
// whose two large ones have the given demands.
func accountsWithLarge(first, second float64) []Account {
	a := accounts(1.3)
	a[0].Demand, a[1].Demand = first, second
	return a
}

// Names, times and the region of the scenarios that the aims refer to.
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

// Suffixes of policy names: clientSuffix marks a baseline whose hosts count only their own
// calls, grantedSuffix the default policy with slots that are granted in advance.
const (
	clientSuffix  = "_client"
	grantedSuffix = "_granted"
)

// Policies returns the policies that are compared. The baselines run in two variants: as
// client-side load balancers, where a host counts only its own calls at a target and excess
// calls wait there, and with slots shared by all hosts, which no client-side balancer has.
// The default policy runs with shared slots and with slots that are granted to each host for
// a while.
func Policies() []string {
	return []string{
		route.Chivepost, route.Chivepost + grantedSuffix, route.RoundRobin + clientSuffix, route.LeastOutstanding + clientSuffix,
		route.RoundRobin, route.LeastOutstanding,
	}
}

func isClient(policy string) bool { return strings.HasSuffix(policy, clientSuffix) }

func isBaseline(policy string) bool { return !strings.HasPrefix(policy, route.Chivepost) }

// policyOf returns the name of the routing policy without its suffix.
func policyOf(name string) string {
	return strings.TrimSuffix(strings.TrimSuffix(name, clientSuffix), grantedSuffix)
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	ramp := 2 * time.Second
	return []Scenario{
		{Name: OpeningHour, Length: peakLength, Ramp: ramp, Accounts: accounts(1.3)},
		{Name: OpeningQuiet, Length: peakLength, Ramp: ramp, Accounts: accountsWithLarge(0.2, 0.2)},
		{Name: OneLarge, Length: peakLength, Ramp: ramp, Accounts: accountsWithLarge(1.6, 0.2)},
		{Name: "steady_day", Length: defaultLength, Accounts: accounts(0.7)},
		{Name: "stage_slow", Length: defaultLength, Accounts: accounts(0.8), Events: []Event{{At: 5 * time.Second, Kind: EventSlow, Pool: "rerank", Factor: 3}}},
		{Name: "stage_failing", Length: defaultLength, Accounts: accounts(0.8), Events: []Event{{At: 5 * time.Second, Kind: EventFail, Pool: "retrieve", Factor: 0.2}}},
		{Name: CentreOut, Length: defaultLength + 5*time.Second, Ramp: ramp, Accounts: accounts(0.9), Events: []Event{
			{At: OutAt, Kind: EventOut, Region: OutRegion}, {At: BackAt, Kind: EventBack, Region: OutRegion},
		}},
		{Name: "engines_cold", Length: defaultLength, Accounts: accounts(0.7), Events: []Event{{At: ColdAt, Kind: EventCold, Pool: "generate"}}},
	}
}

// Arrival is a request of a scenario. ServiceFactors multiply the service times, one for
// each stage. Seed determines which attempts fail.
type Arrival struct {
	At             time.Duration
	Account        Account
	Prefix         uint64
	Region         int
	ServiceFactors []float64
	Seed           uint64
}

// prefixesPerAccount is the number of prompt prefixes per account. All engines together can
// cache more than twice as many prefixes as exist, those of one region fewer than exist.
const prefixesPerAccount = 24

// Arrivals returns the requests of the scenario, in order, for a seed.
func (s Scenario) Arrivals(seed uint64, pools []Pool) []Arrival {
	rng := rand.New(rand.NewPCG(seed, 1))
	rate, demand := Capacity(pools), 0.0
	for _, a := range s.Accounts {
		demand += a.Demand
	}
	zipf := rand.NewZipf(rng, 1.1, 4, prefixesPerAccount-1)
	var all []Arrival
	for at := 0.0; ; {
		at += rng.ExpFloat64() / (rate * demand)
		if at >= s.Length.Seconds() {
			return all
		}
		// Drop arrivals during the ramp, so that the rate rises linearly (thinning).
		if at < s.Ramp.Seconds() && rng.Float64() > at/s.Ramp.Seconds() {
			continue
		}
		demandLeft := rng.Float64() * demand
		account := 0
		for account < len(s.Accounts)-1 && demandLeft >= s.Accounts[account].Demand {
			demandLeft -= s.Accounts[account].Demand
			account++
		}
		a := Arrival{
			At: time.Duration(at * float64(time.Second)), Account: s.Accounts[account],
			Prefix: uint64(account*prefixesPerAccount) + zipf.Uint64() + 1, Region: rng.IntN(len(Regions)), Seed: rng.Uint64(),
		}
		for _, p := range pools {
			// The log-normal factor has a mean of 1.
			a.ServiceFactors = append(a.ServiceFactors, math.Exp(p.LogStdDev*rng.NormFloat64()-p.LogStdDev*p.LogStdDev/2))
		}
		all = append(all, a)
	}
}
