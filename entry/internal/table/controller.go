package table

import (
	"context"
	"errors"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"chivepost/entry/internal/guard"
	"chivepost/platform/feed"
)

var (
	storeReads    = expvar.NewInt("store_reads_count")
	storeFailures = expvar.NewInt("store_failures_count")
	badRecords    = expvar.NewInt("store_bad_records_count")
	peerMerges    = expvar.NewInt("table_peer_merges_count")
)

const (
	// operatorReadWait is how long a read of operators' records waits for a new one. It
	// also bounds, with readSlack, how long a read on a dead connection takes to fail.
	operatorReadWait = 3 * time.Second
	// readSlack is what a read may take besides its wait: many times the few milliseconds
	// in which the store usually responds.
	readSlack = 900 * time.Millisecond
	// targetsInterval is the time between two reads of the targets. It is less than half of
	// the time within which a departed target must get no more requests.
	targetsInterval = time.Second
	// retryPause is the pause after a failed read. followerRetryPause replaces it at a host
	// with a peer that reads the store for it: that peer notices the store's return. It is
	// doubled from the second retry on, and then still within the time after the store's
	// return from which on bounds hold.
	retryPause         = 300 * time.Millisecond
	followerRetryPause = 1500 * time.Millisecond
	// otherFeedPause is the pause between reads of operators' records while neither feed can
	// be read: reads of the targets show when the store is back.
	otherFeedPause = 5 * time.Second
	// peerFetchDelay is how long reads must have failed before peers are asked.
	peerFetchDelay = 500 * time.Millisecond
	// syncWait is how long the peer that reads the store holds a sync request at most. It
	// usually responds earlier, with its next read of the targets.
	syncWait = 1250 * time.Millisecond
	// syncValidity is how long a host relies on the read that a peer has made for it; after
	// that the host reads the store itself. Together with syncCheckInterval and the time of a
	// read it stays well within the bound for departed targets.
	syncValidity = 1600 * time.Millisecond
	// startWait is how long a host that has started, and has read the store once, waits for a
	// peer that reads the store for it. Hosts find each other within this time.
	startWait = 2 * time.Second
	// fullSyncInterval is how often a host asks that peer for the whole table instead of a
	// delta, because the tables of two hosts may differ after outages of the store.
	fullSyncInterval = time.Minute
	// syncRetryPause is the pause after a sync without a usable answer.
	syncRetryPause = 300 * time.Millisecond
	// syncCheckInterval is how often a host that doesn't read the store checks whether its
	// last sync is still valid.
	syncCheckInterval = 250 * time.Millisecond
	// maintainInterval is how often expired targets are dropped and the store's
	// availability is checked.
	maintainInterval = 250 * time.Millisecond
	// anyPeerTicks is every how many fetches a host that can't read the store asks any peer, also
	// one that has read less: after a restore of the store its offsets are the lower ones.
	anyPeerTicks = 4
	// staleFetchPause is the pause after a fetch from a peer that doesn't know yet that the store
	// was restored.
	staleFetchPause = 2 * time.Second
)

// Reader reads one feed of the store. Newest returns the newest change of each key, Next
// the changes from an offset on; both return the offset that follows. A Reader may also have a
// method Era, which returns the store's era in the answer to the last call, or 0.
type Reader[C any] interface {
	Newest(ctx context.Context) ([]C, int64, error)
	Next(ctx context.Context, from int64, wait time.Duration) ([]C, int64, error)
}

// Peers gets the tables of other hosts.
type Peers interface {
	// Fetch returns the table of a peer whose operators' offset is at least the given one;
	// false if no such peer answers.
	Fetch(ctx context.Context, offset, version int64) (Snapshot, bool)
	// NewestOffset returns the highest operators' offset that any peer has reported.
	NewestOffset() int64
	// Sync returns the table of the peer that reads the store for this host. The peer
	// responds when it has operators' records beyond the offset, when it has read the targets,
	// or after syncWait. ok is false if this host reads the store itself or if that peer doesn't answer.
	Sync(ctx context.Context, req SnapshotRequest) (s Snapshot, ok bool)
	// HasReader reports whether a peer is there to read the store for this host.
	HasReader() bool
}

// Controller keeps the table up to date from the store or from peers.
type Controller struct {
	peers  Peers
	logger logr.Logger
	cancel context.CancelFunc
	wait   sync.WaitGroup
	view   atomic.Pointer[View]

	startedAt time.Time

	mu                  sync.Mutex
	state               *State
	operatorReadAt      time.Time     // when operators' records were last read
	targetsReadAt       time.Time     // the same for targets
	syncedAt            time.Time     // when a peer last read the store for this host; zero: read the store
	mark                Mark          // of that peer's last snapshot; zero: ask for the whole table
	fullSyncAt          time.Time     // when it last sent the whole table
	changed             chan struct{} // closed and replaced by publish
	targetsRead         chan struct{} // closed and replaced by each read of the targets
	operatorFailedSince time.Time     // zero: the last read of operators' records succeeded
	targetsFailedSince  time.Time     // the same for targets
	targetsBack         chan struct{} // wakes the reads of operators' records, which wait for targets
	reads               readSet       // in progress
}

// New returns a controller that runs until Close.
func New(operator Reader[feed.OperatorChange], targets Reader[feed.TargetChange], peers Peers, logger logr.Logger) *Controller {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{peers: peers, logger: logger, cancel: cancel, state: NewState(), changed: make(chan struct{}), targetsRead: make(chan struct{}), targetsBack: make(chan struct{}, 1)}
	c.state.logger = logger
	now := time.Now()
	c.startedAt, c.operatorFailedSince, c.targetsFailedSince = now, now, now
	c.view.Store(c.state.View())
	keep := func(task string, f func()) { c.wait.Go(func() { guard.Keep(ctx, logger, task, f) }) }
	keep("operators' records", func() {
		follow(ctx, c, operator, 0, operatorReadWait, c.OperatorOffset, c.applyOperator, func(err error) time.Duration {
			pause := c.recordFailure(&c.operatorFailedSince, "operators' records", err)
			if !c.areTargetsLost() {
				return pause
			}
			select {
			case <-ctx.Done():
			case <-c.targetsBack:
			case <-time.After(otherFeedPause):
			}
			return 0
		})
	})
	keep("targets", func() {
		follow(ctx, c, targets, targetsInterval, 0, c.targetsOffset, c.applyTargets, func(err error) time.Duration { return c.recordFailure(&c.targetsFailedSince, "targets", err) })
	})
	keep("table", func() { c.maintain(ctx) })
	keep("sync", func() { c.syncWithPeer(ctx) })
	return c
}

// follow reads a feed until ctx ends: first the newest change of each key, then all that
// follow. It reads them anew when the store was restored from a copy. offset returns where to
// go on after a peer has read the store. apply takes the changes of a read that began after the
// given number of restores and returns the offset to read next, or -1 if another restore came
// between. onFailure returns the pause before the next read.
func follow[C any](ctx context.Context, c *Controller, r Reader[C], interval, wait time.Duration, offset func() int64,
	apply func(changes []C, next int64, isFull bool, restores int) int64, onFailure func(error) time.Duration,
) {
	next, isFull, readRestores := int64(0), true, 0
	var trimmedAt time.Time
	for ctx.Err() == nil {
		if !isFull && c.waitWhileSynced(ctx) {
			readRestores, next = c.restores(), offset()
		}
		restores := c.restores()
		isFull = isFull || next < 0 || readRestores != restores
		callCtx, cancel := context.WithTimeout(ctx, wait+readSlack)
		endRead := c.beginRead(cancel)
		var changes []C
		var end int64
		var err error
		if isFull {
			changes, end, err = r.Newest(callCtx)
		} else {
			changes, end, err = r.Next(callCtx, next, wait)
		}
		endRead()
		cancel()
		storeReads.Add(1)
		var stale error
		if e, ok := r.(interface{ Era() feed.Era }); ok {
			stale = c.learnEra(e.Era())
		}
		if stale == nil && !isFull && feed.IsBeyondEnd(err) {
			c.restart(restores)
		}
		err = errors.Join(err, stale)
		pause := interval
		switch {
		case c.restores() != restores: // also if the read itself failed
			isFull, pause = true, 0
			discardedReads.Add(1)
		case err == nil:
			next, readRestores = apply(changes, end, isFull, restores), restores
			isFull = false
		case feed.IsTrimmed(err):
			isFull, pause = true, 0
			if time.Since(trimmedAt) < time.Second {
				pause = retryPause // reading anew doesn't help
			}
			trimmedAt = time.Now()
		default:
			storeFailures.Add(1)
			pause = onFailure(err)
		}
		if pause > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(pause):
			}
		}
	}
}

// recordFailure records since when reads fail, logs the first failure and returns the pause
// before the next read.
func (c *Controller) recordFailure(since *time.Time, what string, err error) time.Duration {
	c.mu.Lock()
	first := since.IsZero()
	if first {
		*since = time.Now()
	}
	c.mu.Unlock()
	if first {
		c.logger.Error(err, "store lost", "what", what)
	}
	switch {
	case !c.peers.HasReader():
		return retryPause
	case first:
		return followerRetryPause
	default:
		return 2 * followerRetryPause
	}
}

// wakeOperatorReads ends the wait of the reads of operators' records for the targets. c.mu must
// be held.
func (c *Controller) wakeOperatorReads() {
	if c.operatorFailedSince.IsZero() {
		return
	}
	select {
	case c.targetsBack <- struct{}{}:
	default: // woken already
	}
}

func (c *Controller) areTargetsLost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.targetsFailedSince.IsZero()
}

// recordSuccess logs the end of a series of failed reads. The caller holds c.mu.
func (c *Controller) recordSuccess(since *time.Time, what string) {
	if !since.IsZero() {
		c.logger.Info("store regained", "what", what, "after", time.Since(*since).String())
		*since = time.Time{}
	}
}

// waitWhileSynced waits while a peer reads the store for this host, or may be found that does,
// and reports whether it waited.
func (c *Controller) waitWhileSynced(ctx context.Context) bool {
	waited := false
	for ctx.Err() == nil {
		c.mu.Lock()
		isSynced := time.Since(c.syncedAt) < syncValidity || time.Since(c.startedAt) < startWait
		c.mu.Unlock()
		if !isSynced {
			return waited
		}
		waited = true
		select {
		case <-ctx.Done():
		case <-time.After(syncCheckInterval):
		}
	}
	return waited
}

// syncWithPeer takes over the table of the peer that reads the store for this host, as
// long as there is one.
func (c *Controller) syncWithPeer(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		if time.Since(c.fullSyncAt) > fullSyncInterval {
			c.mark = Mark{}
		}
		req := SnapshotRequest{Offset: c.state.OperatorOffset(), Version: c.version(), Mark: c.mark, IsFirst: c.syncedAt.IsZero()}
		req.Era = c.state.Era()
		ready := req.Offset >= 0 && c.state.TargetsOffset() >= 0 || c.state.restarts > 0
		c.mu.Unlock()
		if ready {
			if s, ok := c.peers.Sync(ctx, req); ok && s.Age < syncValidity && c.applySync(s) {
				continue
			}
			c.endSync()
		}
		select {
		case <-ctx.Done():
		case <-time.After(syncRetryPause):
		}
	}
}

// endSync makes this host read the store itself at once.
func (c *Controller) endSync() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.syncedAt = time.Time{}
}

// applySync merges the table of the peer that reads the store for this host. It returns false
// if the peer doesn't know yet that the store was restored.
func (c *Controller) applySync(s Snapshot) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.learnEraLocked(s.Era)
	if c.state.isOutdated(s.Era) {
		return false
	}
	if c.syncedAt.IsZero() || now.Sub(c.syncedAt) > syncValidity {
		c.logger.Info("a peer reads the store for this host", "offset", s.OpOffset)
	}
	c.syncedAt = now.Add(-s.Age)
	c.wakeOperatorReads()
	c.recordSuccess(&c.operatorFailedSince, "operators' records")
	c.recordSuccess(&c.targetsFailedSince, "targets")
	if s.TargetsOffset > c.state.TargetsOffset() {
		c.mark = s.Mark
		if !s.IsDelta {
			c.fullSyncAt = now
		}
	}
	isChanged := c.state.Merge(s, now)
	if s.OpOffset >= c.state.OperatorOffset() && c.state.EndHold(now) || isChanged {
		c.publish("peer")
	}
	return true
}

// AwaitSnapshot returns the table for a peer for which this host reads the store: at once if the
// peer doesn't follow this host yet, else when this host has operators' records beyond the
// peer's offset or has read the targets, or after syncWait. Just after a read, the table is as
// new as this host's own.
func (c *Controller) AwaitSnapshot(ctx context.Context, req SnapshotRequest) Snapshot {
	c.mu.Lock()
	c.learnEraLocked(req.Era)
	changed, targetsRead, known, era := c.changed, c.targetsRead, c.state.OperatorOffset(), c.state.Era()
	c.mu.Unlock()
	if known <= req.Offset && !req.IsFirst && !era.IsAfter(req.Era) {
		timer := time.NewTimer(syncWait)
		defer timer.Stop()
		select {
		case <-changed:
		case <-targetsRead:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	s := c.state.Snapshot(req, now)
	s.Age = max(now.Sub(c.operatorReadAt)-operatorReadWait, now.Sub(c.targetsReadAt))
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

func (c *Controller) applyOperator(changes []feed.OperatorChange, next int64, isFull bool, restores int) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.restarts != restores {
		return -1
	}
	c.operatorReadAt = time.Now()
	select {
	case <-c.targetsBack: // nothing is left to wake
	default:
	}
	c.recordSuccess(&c.operatorFailedSince, "operators' records")
	c.logRejected(c.state.ApplyOperator(changes, next, isFull, time.Now()))
	if c.state.EndHold(time.Now()) || len(changes) > 0 || isFull {
		c.publish("store")
	}
	return max(next, c.state.OperatorOffset())
}

func (c *Controller) applyTargets(changes []feed.TargetChange, next int64, isFull bool, restores int) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.restarts != restores {
		return -1
	}
	c.targetsReadAt, c.mark = time.Now(), Mark{}
	c.wakeOperatorReads()
	c.recordSuccess(&c.targetsFailedSince, "targets")
	c.logRejected(c.state.ApplyTargets(changes, next, isFull, time.Now()))
	if len(changes) > 0 || isFull {
		c.view.Store(c.state.View())
	}
	close(c.targetsRead)
	c.targetsRead = make(chan struct{})
	return next
}

func (c *Controller) logRejected(errs []error) {
	for _, err := range errs {
		badRecords.Add(1)
		c.logger.Error(err, "record rejected")
	}
}

// publish makes the state visible to readers and logs new configurations and data centres
// taken out or brought back. The caller holds c.mu.
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

// maintain drops expired targets, and fetches the table of a peer while the store can't be
// read, a peer has read further, or this host has just started and reads the store itself: the
// records that the store has may be older than what the peer knows.
func (c *Controller) maintain(ctx context.Context) {
	tick := time.NewTicker(maintainInterval)
	defer tick.Stop()
	var pauseUntil time.Time
	isStarting, lostTicks := true, 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		offset, version, lost := c.expire(now)
		isStarting = isStarting && now.Sub(c.startedAt) < startWait
		needsStart := isStarting && offset >= 0 && !c.peers.HasReader()
		if !lost && !needsStart && c.peers.NewestOffset() <= offset || now.Before(pauseUntil) {
			continue
		}
		if lost {
			lostTicks++
		}
		if needsStart || lostTicks%anyPeerTicks == anyPeerTicks-1 {
			offset = -1
		}
		snapshot, ok := c.peers.Fetch(ctx, offset, version)
		if !ok {
			continue
		}
		isStarting = false
		if !c.mergeFetched(snapshot, now) {
			pauseUntil = now.Add(staleFetchPause)
		}
	}
}

// expire drops expired targets. It returns what is known of the operators' records, and
// whether the store can't be read.
func (c *Controller) expire(now time.Time) (offset, version int64, lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.Expire(now) {
		c.view.Store(c.state.View())
	}
	return c.state.OperatorOffset(), c.version(), isLost(c.operatorFailedSince, now) || isLost(c.targetsFailedSince, now)
}

// mergeFetched merges the table of a peer that has read further. now is when the store's
// availability was checked. It returns false if the peer doesn't know yet that the store was
// restored, so that its offsets mean nothing.
func (c *Controller) mergeFetched(snapshot Snapshot, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.learnEraLocked(snapshot.Era)
	if !isLost(c.targetsFailedSince, now) {
		snapshot.TargetsOffset = -1 // the store has newer targets
	}
	c.mark = Mark{}
	if c.state.Merge(snapshot, time.Now()) {
		peerMerges.Add(1)
		c.publish("peer")
	}
	return !c.state.isOutdated(snapshot.Era)
}

// isLost reports whether reads have failed for longer than peerFetchDelay.
func isLost(since, now time.Time) bool { return !since.IsZero() && now.Sub(since) > peerFetchDelay }

// OnRestart sets the function that is told of targets that have started again, before they are in
// the view.
func (c *Controller) OnRestart(f RestartFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.onRestart = f
}

// View returns the current view.
func (c *Controller) View() *View { return c.view.Load() }

// OperatorOffset returns the offset from which operators' records are still to be read.
func (c *Controller) OperatorOffset() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.OperatorOffset()
}

// Snapshot returns the table for a peer without waiting.
func (c *Controller) Snapshot(req SnapshotRequest) Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.learnEraLocked(req.Era)
	return c.state.Snapshot(req, time.Now())
}

// IsStoreLost reports whether neither feed of the store can be read at present.
func (c *Controller) IsStoreLost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return isLost(c.operatorFailedSince, now) && isLost(c.targetsFailedSince, now)
}

// Name returns "table".
func (c *Controller) Name() string { return "table" }

// Close stops the controller and waits for its goroutines.
func (c *Controller) Close() {
	c.cancel()
	c.wait.Wait()
}
