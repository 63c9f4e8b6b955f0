// Package fleet defines the routes, services, client accounts and targets of a
// deployment, independent of the format of the configuration they are read from.
package fleet

import (
	"slices"
	"strings"
	"time"
)

// RetryPolicy says whether a target may run a request again after another attempt.
type RetryPolicy int

// The retry policies.
const (
	RetryNever  RetryPolicy = iota // at most one run
	RetryAlways                    // any number of runs
	RetryStream                    // event stream; retried only if the route is resumable
)

// Share is a service of a route and its weight in splitting the route's traffic.
type Share struct {
	Service string
	Weight  int
}

// Stage is a preprocessing step whose results a request or a later stage needs.
type Stage struct {
	Service     string
	After       []int // indexes of the stages whose results it needs
	ResultBytes int64 // approximate size of one result
}

// Route configures the requests to one host name and path prefix.
type Route struct {
	Name             string
	Host             string
	Prefix           string      // begins and ends with a slash
	Retry            RetryPolicy `cbor:"Repeat"`
	Resumable        bool
	Timeout          time.Duration
	LatencyObjective time.Duration `cbor:"Aim"` // responses within it earn full credit
	MaxGap           time.Duration // longest pause between stream events that counts as on time
	Priority         int           // 0 is the most urgent
	Shares           []Share
	MaxAttempts      int
	Stages           []Stage
	Public           bool     // requests need no API key
	Sticky           bool     // requests list the parts of their prompt, so that those with a shared prefix prefer the same target
	Regions          []string // regions whose targets may be used; empty means all
}

// MayRetry reports whether a request that one target may have run can be sent to another.
func (r *Route) MayRetry() bool {
	return r.Retry == RetryAlways || r.Retry == RetryStream && r.Resumable
}

// Batching describes the batch calls that a target of a stage service accepts.
type Batching struct {
	Slots            int           // calls run concurrently
	MaxQueued        int           `cbor:"Queue"`     // further calls that may wait at the target
	BatchSize        int           `cbor:"Batch"`     // most pieces in one call
	CallOverhead     time.Duration `cbor:"Call"`      // duration of a call in addition to its pieces
	ItemTime         time.Duration `cbor:"Item"`      // approximate duration of one piece
	ResultSpaceBytes int64         `cbor:"RoomBytes"` // memory for results at one target
	ResultTTL        time.Duration `cbor:"HoldFor"`   // time after which a target discards a result that was not freed
}

// Service is a set of interchangeable targets.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int       // per target, over all entry hosts
	ColdPerSecond  float64   // requests per second to a target in cold start, over all entry hosts
	Stage          *Batching // nil if the service runs no stages
	Slots          int       // requests that a model target runs concurrently; 0 if unknown
	CacheTokens    int64     // capacity of a model target's prefix cache; 0 for other targets
}

// Account is a client account with its API keys.
type Account struct {
	Name     string
	Keys     []string
	Priority *int     // overrides the route's priority if set
	Regions  []string // regions whose targets may be used; empty means all
}

// Limits bounds the size of requests and the time that connections wait for them.
type Limits struct {
	MaxHeaderBytes int           `cbor:"HeaderBytes"`
	MaxBodyBytes   int64         `cbor:"BodyBytes"`
	HeaderTimeout  time.Duration `cbor:"HeaderTime"`
	IdleTimeout    time.Duration `cbor:"IdleTime"`
}

// Config is one version of a deployment's configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Accounts []Account
	Limits   Limits

	byHost map[string][]*Route
	byKey  map[string]*Account
}

// Index builds the lookup tables of Route and Account. It must be called once, before
// the configuration is used by other goroutines.
func (c *Config) Index() {
	c.byHost = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, routes := range c.byHost {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	c.byKey = map[string]*Account{}
	for i := range c.Accounts {
		for _, k := range c.Accounts[i].Keys {
			c.byKey[k] = &c.Accounts[i]
		}
	}
}

// Route returns the route of the host name with the longest prefix that matches path.
func (c *Config) Route(host, path string) (*Route, bool) {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// HasAccounts reports whether any account is configured. If so, requests to routes that
// are not public need an API key.
func (c *Config) HasAccounts() bool { return len(c.Accounts) > 0 }

// Account returns the account with the API key.
func (c *Config) Account(key string) (*Account, bool) {
	a, ok := c.byKey[key]
	return a, ok
}

// Target is one incarnation of a model engine or service process, as described by its
// entry in the store.
type Target struct {
	ID            string
	Service       string
	Address       string
	DataCentre    string
	Version       string `cbor:",omitempty"` // of the software that it runs, such as v1
	Slots         int
	Draining      bool
	ColdRemaining time.Duration `cbor:"Cold"` // remaining cold start when the entry was read
	StartMillis   int64         `cbor:"Born"` // start of the incarnation in Unix milliseconds; 0 if unknown
	Sequence      int64         // number of the entry within the incarnation
}

// LoadReport is what a target reports of its load in a response. It holds no time of its
// own: its age counts from the arrival of the response.
type LoadReport struct {
	Running  int     // requests that the target runs
	Waiting  int     // requests that wait at the target
	Slots    int     // requests that it runs at once; 0: not given
	Slowdown float64 // time that work takes now, relative to the usual time
}
