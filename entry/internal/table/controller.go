package table

import (
	"context"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"chivepost/platform/feed"
)

var (
	storeReads    = expvar.NewInt("store_reads_count")
	storeFailures = expvar.NewInt("store_failures_count")
	badRecords    = expvar.NewInt("store_bad_records_count")
	peerMerges    = expvar.NewInt("table_peer_merges_count")
)

const (
	// operatorWait is how long a reading of operators' records waits for one. A
	// reading whose connection has gone silent is noticed not much later.
	operatorWait = 3 * time.Second
	// readSlack is what a reading may take besides its wait: many times the
	// store's usual answer of a few milliseconds.
	readSlack = 900 * time.Millisecond
	// targetsEvery is the time between two readings of the targets. It leaves more
	// than half of the bound for targets that leave.
	targetsEvery = time.Second
	// retryEvery is the pause after a failed reading.
	retryEvery = 300 * time.Millisecond
	// askAfter is how long readings have failed before peers are asked.
	askAfter = 500 * time.Millisecond
	// syncWait is how long a peer that reads for others keeps them waiting.
	syncWait = time.Second
	// syncKept is how long what such a peer has told stands, and syncAge how old its
	// own reading may be; then a host reads for itself. Together with the time of a
	// reading they stay well within the bound for targets that leave.
	syncKept = 1600 * time.Millisecond
	// wholeEvery is how often such a peer tells its whole table rather than what has
	// changed: what two hosts know may differ after outages of the store.
	wholeEvery = time.Minute
	syncAge    = 1400 * time.Millisecond
	// syncRetry is the pause before a peer is asked again that hasn't answered.
	syncRetry = 300 * time.Millisecond
	// coverEvery is how often a host that others read for looks whether they still do.
	coverEvery = 250 * time.Millisecond
	// expireEvery is how often lapsed targets are looked at.
	expireEvery = 250 * time.Millisecond
)

// Reader reads one feed of the store.
type Reader[C any] interface {
	Newest(ctx context.Context) ([]C, int64, error)
	Next(ctx context.Context, from int64, wait time.Duration) ([]C, int64, error)
}

// Peers asks another host for its table.
type Peers interface {
	// Fetch returns the table of a peer that knows operators' records from this
	// offset on or later; false if no such peer answers.
	Fetch(ctx context.Context, offset, version int64) (Snapshot, bool)
	// Newest returns the highest operators' offset that a peer has told.
	NewestOffset() int64
	// Sync asks the peer that reads the store for this host. It waits there until
	// operators' records go beyond the offset, for up to syncWait. ok is false if
	// this host reads the store itself, or if no such peer answers.
	Sync(ctx context.Context, ask SnapshotRequest) (s Snapshot, ok bool)
}

// Controller follows the store.
type Controller struct {
	peers  Peers
	logger logr.Logger
	cancel context.CancelFunc
	wait   sync.WaitGroup
	view   atomic.Pointer[View]

	mu       sync.Mutex
	state    *State
	opRead   time.Time     // when operators' records were last read
	tgRead   time.Time     // the same for targets
	synced   time.Time     // when a peer last told what it has read
	mark     Mark          // of what that peer has told; zero: all is to be told anew
	marked   time.Time     // when it last told all
	changed  chan struct{} // closed as operators' records come
	opFailed time.Time     // since when the operators' records can't be read; zero: they can
	tgFailed time.Time     // the same for targets
}

// New returns a controller that reads until Close.
func New(operator Reader[feed.OperatorChange], targets Reader[feed.TargetChange], peers Peers, logger logr.Logger) *Controller {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{peers: peers, logger: logger, cancel: cancel, state: NewState(), changed: make(chan struct{})}
	now := time.Now()
	c.opFailed, c.tgFailed = now, now
	c.view.Store(c.state.View())
	c.wait.Go(func() {
		follow(ctx, operator, 0, operatorWait, c.cover, c.OperatorOffset, func(changes []feed.OperatorChange, next int64, whole bool) int64 {
			return c.takeOperator(changes, next, whole)
		}, func(err error) { c.failed(&c.opFailed, "operators' records", err) })
	})
	c.wait.Go(func() {
		follow(ctx, targets, targetsEvery, 0, c.cover, c.targetsOffset, func(changes []feed.TargetChange, next int64, whole bool) int64 {
			return c.takeTargets(changes, next, whole)
		}, func(err error) { c.failed(&c.tgFailed, "targets", err) })
	})
	c.wait.Go(func() { c.tend(ctx) })
	c.wait.Go(func() { c.syncAll(ctx) })
	return c
}

// follow reads a feed until ctx ends: the newest of each key first, then what
// comes after. cover returns once this host must read for itself, and at the
// offset from which it then reads. take returns the offset to read next.
func follow[C any](ctx context.Context, r Reader[C], every, wait time.Duration, cover func(context.Context) bool, at func() int64,
	take func(changes []C, next int64, whole bool) int64, failed func(error),
) {
	next, whole := int64(0), true
	for ctx.Err() == nil {
		if !whole && cover(ctx) {
			next = at()
		}
		call, cancel := context.WithTimeout(ctx, wait+readSlack)
		var changes []C
		var end int64
		var err error
		if whole {
			changes, end, err = r.Newest(call)
		} else {
			changes, end, err = r.Next(call, next, wait)
		}
		cancel()
		storeReads.Add(1)
		pause := every
		switch {
		case err == nil:
			next = take(changes, end, whole)
			whole = false
		case feed.IsTrimmed(err):
			whole, pause = true, 0
		default:
			storeFailures.Add(1)
			failed(err)
			pause = retryEvery
		}
		if pause > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(pause):
			}
		}
	}
}

func (c *Controller) failed(since *time.Time, what string, err error) {
	c.mu.Lock()
	first := since.IsZero()
	if first {
		*since = time.Now()
	}
	c.mu.Unlock()
	if first {
		c.logger.Error(err, "store lost", "what", what)
	}
}

func (c *Controller) regained(since *time.Time, what string) {
	if !since.IsZero() {
		c.logger.Info("store regained", "what", what, "after", time.Since(*since).String())
		*since = time.Time{}
	}
}

// cover waits while a peer reads the store for this host, and reports whether it did.
func (c *Controller) cover(ctx context.Context) bool {
	was := false
	for ctx.Err() == nil {
		c.mu.Lock()
		covered := time.Since(c.synced) < syncKept
		c.mu.Unlock()
		if !covered {
			return was
		}
		was = true
		select {
		case <-ctx.Done():
		case <-time.After(coverEvery):
		}
	}
	return was
}

// syncAll follows a peer that reads the store for this host, while there is one.
func (c *Controller) syncAll(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		if time.Since(c.marked) > wholeEvery {
			c.mark = Mark{}
		}
		ask := SnapshotRequest{Offset: c.state.OperatorOffset(), Version: c.version(), Mark: c.mark}
		ready := ask.Offset >= 0 && c.state.TargetsOffset() >= 0
		c.mu.Unlock()
		if ready {
			if s, ok := c.peers.Sync(ctx, ask); ok && s.Age < syncAge {
				c.takeSync(s)
				continue
			}
			c.endSync()
		}
		select {
		case <-ctx.Done():
		case <-time.After(syncRetry):
		}
	}
}

// endSync has this host read for itself at once.
func (c *Controller) endSync() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.synced = time.Time{}
}

func (c *Controller) takeSync(s Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.synced.IsZero() || now.Sub(c.synced) > syncKept {
		c.logger.Info("a peer reads the store for this host", "offset", s.OpOffset)
	}
	c.synced = now
	c.regained(&c.opFailed, "operators' records")
	c.regained(&c.tgFailed, "targets")
	if s.TargetsOffset > c.state.TargetsOffset() {
		c.mark = s.Mark
		if !s.IsDelta {
			c.marked = now
		}
	}
	if c.state.Merge(s, now) {
		c.publish("peer")
	}
}

// AwaitSnapshot returns the table for a peer for which this host reads the store, as soon
// as operators' records go beyond an offset or syncWait is over.
func (c *Controller) AwaitSnapshot(ctx context.Context, ask SnapshotRequest) Snapshot {
	c.mu.Lock()
	changed, known := c.changed, c.state.OperatorOffset()
	c.mu.Unlock()
	if known <= ask.Offset {
		timer := time.NewTimer(syncWait)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	s := c.state.Snapshot(ask, now)
	s.Age = max(now.Sub(c.opRead)-operatorWait, now.Sub(c.tgRead))
	return s
}

func (c *Controller) version() int64 {
	if cfg := c.state.Config(); cfg != nil {
		return cfg.Version
	}
	return 0
}

func (c *Controller) targetsOffset() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.TargetsOffset()
}

func (c *Controller) takeOperator(changes []feed.OperatorChange, next int64, whole bool) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opRead = time.Now()
	c.regained(&c.opFailed, "operators' records")
	c.logRejected(c.state.ApplyOperator(changes, next, whole, time.Now()))
	if len(changes) > 0 || whole {
		c.publish("store")
	}
	return max(next, c.state.OperatorOffset())
}

func (c *Controller) takeTargets(changes []feed.TargetChange, next int64, whole bool) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tgRead, c.mark = time.Now(), Mark{}
	c.regained(&c.tgFailed, "targets")
	c.logRejected(c.state.ApplyTargets(changes, next, whole, time.Now()))
	if len(changes) > 0 || whole {
		c.view.Store(c.state.View())
	}
	return next
}

func (c *Controller) logRejected(errs []error) {
	for _, err := range errs {
		badRecords.Add(1)
		c.logger.Error(err, "record rejected")
	}
}

// publish shows the state to readers and logs what came into force.
func (c *Controller) publish(source string) {
	old := c.view.Load()
	v := c.state.View()
	c.view.Store(v)
	close(c.changed)
	c.changed = make(chan struct{})
	if v.Config != nil && (old.Config == nil || old.Config.Version != v.Config.Version) {
		c.logger.Info("configuration in force", "version", v.Config.Version, "routes", len(v.Config.Routes),
			"accounts", len(v.Config.Accounts), "source", source, "offset", c.state.OperatorOffset())
	}
	for dc := range v.Out {
		if !old.Out[dc] {
			c.logger.Info("data centre out", "data_centre", dc, "source", source, "offset", c.state.OperatorOffset())
		}
	}
	for dc := range old.Out {
		if !v.Out[dc] {
			c.logger.Info("data centre back", "data_centre", dc, "source", source, "offset", c.state.OperatorOffset())
		}
	}
}

// tend drops lapsed targets, and asks peers while the store can't be read or a
// peer has read further.
func (c *Controller) tend(ctx context.Context) {
	tick := time.NewTicker(expireEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		c.mu.Lock()
		if c.state.Expire(now) {
			c.view.Store(c.state.View())
		}
		offset, version := c.state.OperatorOffset(), c.version()
		lost := isLost(c.opFailed, now) || isLost(c.tgFailed, now)
		c.mu.Unlock()
		if !lost && c.peers.NewestOffset() <= offset {
			continue
		}
		snapshot, ok := c.peers.Fetch(ctx, offset, version)
		if !ok {
			continue
		}
		c.mu.Lock()
		if !isLost(c.tgFailed, now) {
			snapshot.TargetsOffset = -1 // the store is better
		}
		c.mark = Mark{}
		if c.state.Merge(snapshot, time.Now()) {
			peerMerges.Add(1)
			c.publish("peer")
		}
		c.mu.Unlock()
	}
}

func isLost(since, now time.Time) bool { return !since.IsZero() && now.Sub(since) > askAfter }

// View returns what is known now.
func (c *Controller) View() *View { return c.view.Load() }

// OperatorOffset returns the offset up to which operators' records are known.
func (c *Controller) OperatorOffset() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.OperatorOffset()
}

// Snapshot returns the table for a peer.
func (c *Controller) Snapshot(ask SnapshotRequest) Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Snapshot(ask, time.Now())
}

// IsStoreLost reports whether the store can't be read at present.
func (c *Controller) IsStoreLost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return isLost(c.opFailed, now) && isLost(c.tgFailed, now)
}

// Name implements a controller's name.
func (c *Controller) Name() string { return "table" }

// Close ends the readings.
func (c *Controller) Close() {
	c.cancel()
	c.wait.Wait()
}
