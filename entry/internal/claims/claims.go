// Package claims ensures that a call which must not be repeated runs at most once.
// Of all claim records for one stage of a request in the claims stream, only the
// first permits the call. A host makes the call only after it has read its own
// claim back as the first.
package claims

import (
	"context"
	"crypto/rand"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"chivepost/entry/internal/calls"
	"chivepost/entry/internal/ctrl"
	"chivepost/share/logsvc"
)

// Log is the subset of the log service that a Controller uses. Its errors are
// those of package logsvc.
type Log interface {
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (logsvc.Page, error)
}

// Options configures a Controller. A zero field gets the default that its comment
// states in parentheses.
type Options struct {
	// Host and Incarnation identify this process in the records that it writes.
	Host        string
	Incarnation uint64
	// MinAppendInterval is the minimum time between the starts of two appends (20 ms),
	// which limits a host to 50 appends a second.
	MinAppendInterval time.Duration
	// ReadWait is how long the log service may hold a read at the end of the stream (1 s).
	ReadWait time.Duration
	// RetryPause is the pause after a failed call of the log service (100 ms).
	RetryPause time.Duration
	// CallTimeout limits an append, and a read in addition to ReadWait (2 s).
	CallTimeout time.Duration
	// AcquireTimeout is how long Acquire waits for a claim to be read back before it
	// abandons the claim (1 s).
	AcquireTimeout time.Duration
	// MaxResultBytes is the size up to which a result is recorded in full (4096).
	MaxResultBytes int
	// MaxBatch is the maximum number of records in one append (256). If all of them hold
	// results of MaxResultBytes, the append is about 1 MiB.
	MaxBatch int
	// MaxQueue is the maximum number of records waiting to be appended (10000).
	MaxQueue int
	// MaxHistory is the number of records before the end of the stream that the index
	// covers at most (200000).
	MaxHistory int64
	// MaxIndexBytes limits the estimated memory of the index (64 MiB).
	MaxIndexBytes int
}

const (
	readLimit  = 1000 // records per page
	maxIDBytes = 128
)

func (o Options) withDefaults() Options {
	setDefault(&o.MinAppendInterval, 20*time.Millisecond)
	setDefault(&o.ReadWait, time.Second)
	setDefault(&o.RetryPause, 100*time.Millisecond)
	setDefault(&o.CallTimeout, 2*time.Second)
	setDefault(&o.AcquireTimeout, time.Second)
	setDefault(&o.MaxResultBytes, 4096)
	setDefault(&o.MaxBatch, 256)
	setDefault(&o.MaxQueue, 10000)
	setDefault(&o.MaxHistory, 200000)
	setDefault(&o.MaxIndexBytes, 64<<20)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Controller holds the index of the claims stream and the claims of this host. It
// is safe for concurrent use.
type Controller struct {
	opts   Options
	log    Log
	logger logr.Logger
	// prefix begins all claim IDs of this controller. Its random part distinguishes
	// processes that were started with the same host and incarnation.
	prefix string

	ctx        context.Context
	cancel     context.CancelFunc
	group      sync.WaitGroup
	appendWake chan struct{}

	mu               sync.Mutex
	closed           bool
	index            *index
	open             map[string]*claim
	byKey            map[requestKey][]*claim
	awaitingPosition []*claim
	queue            []*queuedRecord
	unconfirmed      map[queuedKey]*queuedRecord
	lastID           uint64
	reads            readState
	readHealth       calls.Health
	appendHealth     calls.Health
}

// readState is the progress of the reader.
type readState struct {
	// started counts the reads started. Comparing it with an earlier value shows
	// whether a read started after that value was taken.
	started uint64
	// synced is set once a read has reached the end of the stream; lastSync is when
	// the latest such read started.
	synced   bool
	lastSync time.Time
}

// New returns a controller that reads the claims stream until Close.
func New(opts Options, log Log, logger logr.Logger) *Controller {
	opts = opts.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{
		opts:        opts,
		log:         log,
		logger:      logger.WithName("claims"),
		prefix:      fmt.Sprintf("%s/%d/%s/", opts.Host, opts.Incarnation, rand.Text()),
		ctx:         ctx,
		cancel:      cancel,
		appendWake:  make(chan struct{}, 1),
		index:       newIndex(opts.MaxHistory, opts.MaxIndexBytes),
		open:        map[string]*claim{},
		byKey:       map[requestKey][]*claim{},
		unconfirmed: map[queuedKey]*queuedRecord{},
	}
	c.group.Go(func() {
		for c.ctx.Err() == nil {
			c.readOnce()
		}
	})
	c.group.Go(func() {
		for c.ctx.Err() == nil {
			c.appendOnce()
		}
	})
	return c
}

// Name returns "claims".
func (c *Controller) Name() string { return "claims" }

// Position returns the position for new request IDs: the offset after the last
// record read. It returns false until the stream has been read to its end.
func (c *Controller) Position() (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.index.next, c.reads.synced
}

// Detail is the state of the index and the reader in a status answer.
type Detail struct {
	Floor   int64  `json:"floor"`
	Next    int64  `json:"next"`
	Keys    int    `json:"keys"`
	Bytes   int    `json:"index_bytes"`
	Open    int    `json:"open"`
	Queued  int    `json:"queued"`
	Synced  bool   `json:"synced"`
	LogAge  string `json:"log_age,omitempty"`
	Reading bool   `json:"reading"`
}

// Status reports the state of the index. The controller stays ready during an
// outage of the log, because requests without a claim can still be served.
func (c *Controller) Status() ctrl.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := Detail{
		Floor: c.index.floor, Next: c.index.next, Keys: len(c.index.requests), Bytes: c.index.bytes,
		Open: len(c.open), Queued: len(c.queue), Synced: c.reads.synced, Reading: c.reads.synced && !c.readHealth.IsFailing(),
	}
	if !c.reads.lastSync.IsZero() {
		d.LogAge = time.Since(c.reads.lastSync).String()
	}
	s := ctrl.Status{Ready: !c.closed, Detail: d}
	if c.closed {
		s.Reason = "closed"
	}
	return s
}

// Close stops the controller's goroutines and abandons all undecided claims. No
// ticket can be confirmed afterwards.
func (c *Controller) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.group.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cl := range c.open {
		c.abandon(cl, "the host is shutting down")
	}
}

// pause waits for d or until Close is called.
func (c *Controller) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.ctx.Done():
	}
}
