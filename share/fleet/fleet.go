// Package fleet holds the types in which a deployment is described: routes,
// services, accounts and targets, in the project's own words.
package fleet

import (
	"slices"
	"strings"
	"time"
)

// RetryPolicy says whether a request may be run again.
type RetryPolicy int

// The kinds of request.
const (
	RetryNever  RetryPolicy = iota // may run at most once
	RetryAlways                    // may run any number of times
	RetryStream                    // a stream of events; may run again only where the route can be resumed
)

// Share is one service of a route with its part of the traffic.
type Share struct {
	Service string
	Weight  int
}

// Stage is work that must be done before a request can run.
type Stage struct {
	Service     string
	After       []int // stages whose results it needs
	ResultBytes int64 // approximate size of one result
}

// Route says how requests of one host name and path prefix are handled.
type Route struct {
	Name             string
	Host             string
	Prefix           string      // begins and ends with a slash
	Retry            RetryPolicy `cbor:"Repeat"`
	Resumable        bool
	Timeout          time.Duration
	LatencyObjective time.Duration `cbor:"Aim"` // answers within it earn full credit
	MaxGap           time.Duration // longest pause between events that is on time
	Priority         int           // 0 is the most urgent
	Shares           []Share
	MaxAttempts      int
	Stages           []Stage
	Public           bool
	Sticky           bool     // requests carry the parts of their prompt
	Regions          []string // empty: every region
}

// MayRetry reports whether a request that was sent may be sent to another target.
func (r *Route) MayRetry() bool {
	return r.Retry == RetryAlways || r.Retry == RetryStream && r.Resumable
}

// Batching describes the calls that a stage target takes.
type Batching struct {
	Slots            int           // calls worked on at the same time
	MaxQueued        int           `cbor:"Queue"`     // further calls that may wait
	BatchSize        int           `cbor:"Batch"`     // pieces in a full call
	CallOverhead     time.Duration `cbor:"Call"`      // time of a call apart from its pieces
	ItemTime         time.Duration `cbor:"Item"`      // approximate time of one piece
	ResultSpaceBytes int64         `cbor:"RoomBytes"` // space for results at one target
	ResultTTL        time.Duration `cbor:"HoldFor"`   // life of a result that nobody frees
}

// Service is a set of targets of one kind.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int     // channels to one target, from all hosts together
	ColdPerSecond  float64 // requests that a cold target bears, from all hosts together
	Stage          *Batching
	Slots          int   // requests that a model target runs at once; 0 where unknown
	CacheTokens    int64 // prompt memory of a model target; 0 for others
}

// Account is a client account.
type Account struct {
	Name     string
	Keys     []string
	Priority *int // goes before the route's
	Regions  []string
}

// Limits bound what a caller may send.
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

// Index prepares the lookups; it is called once, before the configuration is shared.
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

// Route returns the route of the host with the longest prefix of path.
func (c *Config) Route(host, path string) (*Route, bool) {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// HasAccounts reports whether callers must show a key.
func (c *Config) HasAccounts() bool { return len(c.Accounts) > 0 }

// Account returns the account that holds a key.
func (c *Config) Account(key string) (*Account, bool) {
	a, ok := c.byKey[key]
	return a, ok
}

// Target is one incarnation of an engine or service process.
type Target struct {
	ID            string
	Service       string
	Address       string
	DataCentre    string
	Slots         int
	Draining      bool
	ColdRemaining time.Duration `cbor:"Cold"` // how much longer it is cold, as of when the entry was read
	StartMillis   int64         `cbor:"Born"` // start of the incarnation, Unix milliseconds; 0 where unknown
	Sequence      int64         // counts the entries of one incarnation
}
