// Package config keeps the configuration in force. The stream config holds the
// changes; every node reads them in order and accepts a change only if its base is
// the current version, so that all nodes reach the same decision.
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

// Log is the part of the log service that the configuration needs. Errors are those
// of package logsvc.
type Log interface {
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (logsvc.Page, error)
}

// Peers fetches the configuration that another host has in force. The caller has
// version have; for an equal version the offer may leave out the data.
type Peers interface {
	Pull(ctx context.Context, host string, have int64) (Offer, error)
}

// Membership says whether a majority of the hosts in this node's view has been heard
// from lately.
type Membership interface {
	HasMajority(within time.Duration) bool
}

// Offer states that Version was in force after all records up to offset Through.
type Offer struct {
	Version int64
	Author  string
	Through int64
	Data    []byte
}

// NeverRead is the LogAge of a node that has never read the log to its end.
const NeverRead = time.Duration(math.MaxInt64)

// Options are the settings of a Controller; a zero field gets its default.
type Options struct {
	Host string
	// MaxAge is the age up to which a node trusts its last read of the log or its
	// contact with a majority (3 s).
	MaxAge time.Duration
	// ReadWait is how long the log service may hold a read at the end of the stream (1 s).
	ReadWait time.Duration
	// RetryPause follows a failed call of the log service or a peer (200 ms).
	RetryPause time.Duration
	// CallTimeout bounds an append, a pull, and a read beyond ReadWait (1 s).
	CallTimeout time.Duration
	// Retention is how long the log service keeps a record (1 h).
	Retention time.Duration
	// ForgetAfter is the age at which a host that is silent leaves the confirmations (1 min).
	ForgetAfter time.Duration
	// Seed drives the random delay of copies.
	Seed uint64
}

// readLimit keeps a page small, since each record holds a whole configuration.
// 370 hosts with 1,300 targets make 411 KB a record, so 4 fit into CallTimeout at
// 14 Mbit/s.
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

// Controller keeps the configuration in force. It is safe for concurrent use.
type Controller struct {
	opts    Options
	log     Log
	peers   Peers
	members Membership
	logger  logr.Logger
	current atomic.Pointer[inForce]

	ctx      context.Context
	cancel   context.CancelFunc
	group    sync.WaitGroup
	pullWake chan struct{}
	copyWake chan struct{}

	mu      sync.Mutex
	track   *track
	random  *rand.Rand
	changed chan struct{}
	reads   readState
	reading calls.State
	seen    map[string]*observation
	// highest is the highest version that a peer has named.
	highest  int64
	waiters  map[string][]chan PublishResult
	outcomes outcomes
	copying  copyState
}

// readState is what the reader knows about its own progress.
type readState struct {
	// synced is set once a read has reached the end of the stream; last is when the
	// latest such read began.
	synced bool
	last   time.Time
}

// New returns a controller that follows the config stream until Close.
func New(opts Options, log Log, peers Peers, members Membership, logger logr.Logger) *Controller {
	opts = opts.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{
		opts:     opts,
		log:      log,
		peers:    peers,
		members:  members,
		logger:   logger.WithName("config"),
		ctx:      ctx,
		cancel:   cancel,
		pullWake: make(chan struct{}, 1),
		copyWake: make(chan struct{}, 1),
		track:    newTrack(),
		random:   rand.New(rand.NewPCG(opts.Seed, 1)),
		changed:  make(chan struct{}),
		seen:     map[string]*observation{},
		waiters:  map[string][]chan PublishResult{},
		outcomes: outcomes{results: map[string]PublishResult{}},
	}
	c.track.onJudged = c.judged
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

// Current returns the configuration in force and its version, or nil and 0 before any.
func (c *Controller) Current() (*bundle.Bundle, int64) {
	f := c.current.Load()
	if f == nil {
		return nil, 0
	}
	return f.bundle, f.version
}

// Changed returns a channel that is closed at the next change. A caller takes the
// channel before it reads Current, so that it misses none.
func (c *Controller) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Detail is the controller's part of a status answer.
type Detail struct {
	Version int64 `json:"version"`
	Through int64 `json:"through"`
	Read    int64 `json:"read"`
	Settled bool  `json:"settled"`
	// Highest is the highest version that a peer has named.
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
		Version: c.track.force.version, Through: c.track.force.through, Read: c.track.read,
		Settled: c.track.settled, Highest: c.highest,
	}
	if c.reads.synced {
		d.LogAge = time.Since(c.reads.last).String()
	}
	s.Detail = d
	return s
}

// Close stops the goroutines. A Publish that still waits returns Unknown.
func (c *Controller) Close() {
	c.cancel()
	c.group.Wait()
}

// publishState makes the state of the track visible to readers. The mutex is held.
func (c *Controller) publishState() {
	f := c.track.force
	if f.version == c.visibleVersion() {
		return
	}
	c.current.Store(&f)
	close(c.changed)
	c.changed = make(chan struct{})
	c.logger.Info("configuration in force", "version", f.version, "author", f.author, "through", f.through)
}

func (c *Controller) visibleVersion() int64 {
	_, v := c.Current()
	return v
}

// pause waits for d, a signal on wake or Close.
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
