// Package claims lets a call that may not be repeated run at most once. The first
// claim record of a request's stage in the claims stream is the only one that may
// be acted on, and a node acts on its own claim only after reading it back as the
// first.
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

// Log is the part of the log service that claims need. Errors are those of
// package logsvc.
type Log interface {
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (logsvc.Page, error)
}

// Options are the settings of a Controller; a zero field gets its default.
type Options struct {
	// Host and Incarnation name this process in the records it writes.
	Host        string
	Incarnation uint64
	// MinAppendInterval is the least time between the starts of two appends (20 ms), which
	// keeps one node at or below 50 appends a second.
	MinAppendInterval time.Duration
	// ReadWait is how long the log service may hold a read at the end of the stream (1 s).
	ReadWait time.Duration
	// RetryPause follows a failed call of the log service (100 ms).
	RetryPause time.Duration
	// CallTimeout bounds one append, and one read beyond ReadWait (2 s).
	CallTimeout time.Duration
	// AcquireTimeout is how long a claim waits for the log before it is abandoned (1 s).
	AcquireTimeout time.Duration
	// MaxResultBytes is the size in bytes up to which a result is recorded whole (4096).
	MaxResultBytes int
	// MaxBatch is the most records in one append (256); with results of MaxResult
	// bytes an append stays near 1 MiB.
	MaxBatch int
	// MaxQueue is the most records waiting to be appended (10000).
	MaxQueue int
	// MaxHistory is the most records behind the end of the stream that the index
	// covers (200000).
	MaxHistory int64
	// MaxIndexBytes bounds the memory of the index in bytes, estimated (64 MiB).
	MaxIndexBytes int
}

const (
	readLimit  = 1000
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

// Controller holds the index of the claims stream and the claims of this node. It
// is safe for concurrent use.
type Controller struct {
	opts   Options
	log    Log
	logger logr.Logger
	// prefix starts the claim ids of this controller. Its random part keeps two
	// processes apart that were given the same host and incarnation.
	prefix string

	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
	wake   chan struct{}

	mu      sync.Mutex
	closed  bool
	index   *index
	open    map[string]*claim
	byKey   map[requestKey][]*claim
	parked  []*claim
	queue   []*item
	pending map[itemKey]*item
	lastID  uint64
	reads   readState
	reading calls.State
	writing calls.State
}

// readState is what the reader knows about its own progress.
type readState struct {
	// started counts the reads begun, so that a waiter can tell whether a read
	// began after it started to wait.
	started uint64
	// synced is set once a read has reached the end of the stream.
	synced bool
	last   time.Time
}

// New returns a controller that reads the claims stream until Close.
func New(opts Options, log Log, logger logr.Logger) *Controller {
	opts = opts.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{
		opts:    opts,
		log:     log,
		logger:  logger.WithName("claims"),
		prefix:  fmt.Sprintf("%s/%d/%s/", opts.Host, opts.Incarnation, rand.Text()),
		ctx:     ctx,
		cancel:  cancel,
		wake:    make(chan struct{}, 1),
		index:   newIndex(opts.MaxHistory, opts.MaxIndexBytes),
		open:    map[string]*claim{},
		byKey:   map[requestKey][]*claim{},
		pending: map[itemKey]*item{},
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

// Position returns the position that new request ids must carry: the offset that
// follows the last one read. It is false until the stream has been read to its end.
func (c *Controller) Position() (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.index.next, c.reads.synced
}

// Detail is the controller's part of a status answer.
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

// Status reports the state of the index. The controller stays ready in a log
// outage, because requests without a claim can still be served.
func (c *Controller) Status() ctrl.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := Detail{
		Floor: c.index.floor, Next: c.index.next, Keys: len(c.index.requests), Bytes: c.index.bytes,
		Open: len(c.open), Queued: len(c.queue), Synced: c.reads.synced, Reading: c.reads.synced && !c.reading.IsFailing(),
	}
	if !c.reads.last.IsZero() {
		d.LogAge = time.Since(c.reads.last).String()
	}
	s := ctrl.Status{Ready: !c.closed, Detail: d}
	if c.closed {
		s.Reason = "closed"
	}
	return s
}

// Close stops the goroutines and abandons the claims that are still undecided. No
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
		c.abandon(cl, "the node is closing")
	}
}

// pause waits for d or until Close.
func (c *Controller) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.ctx.Done():
	}
}
