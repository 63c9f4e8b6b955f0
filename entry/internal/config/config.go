// Package config maintains the configuration in force. The stream config holds the
// changes. Every host reads them in order and accepts a change only if its base is
// the current version, so all hosts reach the same decision.
package config

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"chivepost/entry/internal/calls"
	"chivepost/entry/internal/ctrl"
	"chivepost/share/bundle"
	"chivepost/share/logsvc"
)

// Log is the subset of the log service that a Controller uses. Its errors are those
// of package logsvc.
type Log interface {
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (logsvc.Page, error)
}

// Peers fetches the configuration in force at another host; have is the version in
// force at this host. If the versions are equal, the offer may omit the data.
type Peers interface {
	Pull(ctx context.Context, host string, have int64) (Offer, error)
}

// Membership reports whether this host has received heartbeats from a majority of the
// hosts in its view within the given time.
type Membership interface {
	HasMajority(within time.Duration) bool
}

// Offer is a configuration that was in force after all records up to offset Through.
type Offer struct {
	Version int64
	Author  string
	Through int64
	Data    []byte
}

// NeverRead is the LogAge of a host that has never read the log to its end.
const NeverRead = time.Duration(math.MaxInt64)

// Options configures a Controller. A zero field gets the default that its comment
// states in parentheses.
type Options struct {
	Host string
	// MaxAge is how long a host relies on its last read of the log or its last contact
	// with a majority (3 s).
	MaxAge time.Duration
	// ReadWait is how long the log service may hold a read at the end of the stream (1 s).
	ReadWait time.Duration
	// RetryPause is the pause after a failed call of the log service or a peer (200 ms).
	RetryPause time.Duration
	// CallTimeout limits an append, a pull, and a read in addition to ReadWait (1 s).
	CallTimeout time.Duration
	// Retention is how long the log service keeps a record (1 h).
	Retention time.Duration
	// ForgetAfter is how long a host stays in the confirmations after its last heartbeat
	// (1 min).
	ForgetAfter time.Duration
	// Seed seeds the random delay of copies.
	Seed uint64
}

// readLimit is the number of records per page. Each record holds a whole configuration:
// with 370 hosts and 1,300 targets a record is 411 KB, so 4 records arrive within
// CallTimeout at 14 Mbit/s.
const readLimit = 4

func (o Options) withDefaults() Options {
	setDefault(&o.MaxAge, 3*time.Second)
	setDefault(&o.ReadWait, time.Second)
	setDefault(&o.RetryPause, 200*time.Millisecond)
	setDefault(&o.CallTimeout, time.Second)
	setDefault(&o.Retention, time.Hour)
	setDefault(&o.ForgetAfter, time.Minute)
	return o
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// Controller maintains the configuration in force. It is safe for concurrent use.
type Controller struct {
	opts    Options
	log     Log
	peers   Peers
	members Membership
	logger  logr.Logger
	current atomic.Pointer[configVersion]

	ctx      context.Context
	cancel   context.CancelFunc
	group    sync.WaitGroup
	pullWake chan struct{}
	copyWake chan struct{}

	mu           sync.Mutex
	tracker      *tracker
	random       *rand.Rand
	changed      chan struct{}
	reads        readState
	readHealth   calls.Health
	observations map[string]*observation
	// highestSeen is the highest version that a peer has reported.
	highestSeen int64
	waiters     map[string][]chan PublishResult
	outcomes    outcomes
	schedule    copySchedule
}

// readState is the progress of the reader.
type readState struct {
	// synced is set once a read has reached the end of the stream; lastSync is when
	// the latest such read started.
	synced   bool
	lastSync time.Time
}

// New returns a controller that reads the config stream until Close.
func New(opts Options, log Log, peers Peers, members Membership, logger logr.Logger) *Controller {
	opts = opts.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{
		opts:         opts,
		log:          log,
		peers:        peers,
		members:      members,
		logger:       logger.WithName("config"),
		ctx:          ctx,
		cancel:       cancel,
		pullWake:     make(chan struct{}, 1),
		copyWake:     make(chan struct{}, 1),
		tracker:      newTracker(),
		random:       rand.New(rand.NewPCG(opts.Seed, 1)),
		changed:      make(chan struct{}),
		observations: map[string]*observation{},
		waiters:      map[string][]chan PublishResult{},
		outcomes:     outcomes{results: map[string]PublishResult{}},
	}
	c.tracker.onDecided = c.reportOutcome
	for _, step := range []func(){c.readOnce, c.pullOnce, c.copyOnce} {
		c.group.Go(func() {
			for c.ctx.Err() == nil {
				step()
			}
		})
	}
	return c
}

// Name returns "config".
func (c *Controller) Name() string { return "config" }

// Current returns the configuration in force and its version, or nil and 0 if there is
// none yet.
func (c *Controller) Current() (*bundle.Bundle, int64) {
	cv := c.current.Load()
	if cv == nil {
		return nil, 0
	}
	return cv.bundle, cv.version
}

// Changed returns a channel that is closed when the next configuration takes effect.
// Callers must get the channel before they call Current, so as not to miss a change.
func (c *Controller) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Detail is the state of the configuration and the reader in a status answer.
type Detail struct {
	Version int64 `json:"version"`
	Through int64 `json:"through"`
	Read    int64 `json:"read"`
	Settled bool  `json:"settled"`
	// Highest is the highest version that a peer has reported.
	Highest int64  `json:"highest_seen"`
	LogAge  string `json:"log_age,omitempty"`
}

// Status reports whether new work may be taken, and the state of the reader.
func (c *Controller) Status() ctrl.Status {
	s := ctrl.Status{Ready: true}
	if err := c.MayServe(); err != nil {
		s.Ready, s.Reason = false, err.Error()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	d := Detail{
		Version: c.tracker.inForce.version, Through: c.tracker.inForce.through, Read: c.tracker.lastRead,
		Settled: c.tracker.canDecide, Highest: c.highestSeen,
	}
	if c.reads.synced {
		d.LogAge = time.Since(c.reads.lastSync).String()
	}
	s.Detail = d
	return s
}

// Close stops the controller's goroutines. Pending calls of Publish return Unknown.
func (c *Controller) Close() {
	c.cancel()
	c.group.Wait()
}

// updateCurrent makes the version in force at the tracker visible to callers of
// Current. c.mu must be held.
func (c *Controller) updateCurrent() {
	cv := c.tracker.inForce
	if cv.version == c.currentVersion() {
		return
	}
	c.current.Store(&cv)
	close(c.changed)
	c.changed = make(chan struct{})
	c.logger.Info("configuration in force", "version", cv.version, "author", cv.author, "through", cv.through)
}

func (c *Controller) currentVersion() int64 {
	_, v := c.Current()
	return v
}

// pause waits for d, a signal on wake, or Close.
func (c *Controller) pause(d time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-c.ctx.Done():
	}
}

func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
