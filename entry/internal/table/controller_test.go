package table

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"chivepost/platform/feed"
)

// storeFeed is a feed that always answers and records the times of its reads.
type storeFeed[C any] struct {
	mu    sync.Mutex
	reads []time.Time
}

func (f *storeFeed[C]) recordRead() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads = append(f.reads, time.Now())
}

func (f *storeFeed[C]) Newest(context.Context) ([]C, int64, error) {
	f.recordRead()
	return nil, 1, nil
}

func (f *storeFeed[C]) Next(ctx context.Context, from int64, wait time.Duration) ([]C, int64, error) {
	f.recordRead()
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return nil, from, nil
}

// firstAfter returns the time of the first read after a time.
func (f *storeFeed[C]) firstAfter(at time.Time) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.reads {
		if r.After(at) {
			return r, true
		}
	}
	return time.Time{}, false
}

// syncingPeer reads the store for other hosts, successfully until lostAt.
type syncingPeer struct{ lostAt time.Time }

func (syncingPeer) Fetch(context.Context, int64, int64) (Snapshot, bool) { return Snapshot{}, false }
func (syncingPeer) HasReader() bool                                      { return true }
func (syncingPeer) NewestOffset() int64                                  { return 0 }

func (p syncingPeer) Sync(context.Context, SnapshotRequest) (Snapshot, bool) {
	time.Sleep(syncWait)
	return Snapshot{OpOffset: 1, TargetsOffset: 1, Age: max(time.Since(p.lostAt), 0)}, true
}

// The store may refuse the peer that reads it for this host. The peer's last table was once
// used for four seconds, and a target that departed in that time got a request 4.3 s later
// (scale-2 of sst-chivepost-grown).
func TestHostReadsForItselfOnceItsReaderCannot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lostAt := time.Now().Add(10 * time.Second)
		operator, targets := &storeFeed[feed.OperatorChange]{}, &storeFeed[feed.TargetChange]{}
		c := New(operator, targets, syncingPeer{lostAt: lostAt}, logr.Discard())
		defer c.Close()
		time.Sleep(20 * time.Second)
		if at, ok := targets.firstAfter(lostAt.Add(-5 * time.Second)); !ok || at.Before(lostAt) {
			t.Errorf("the host reads the store at %s while a peer reads it, want not before %s", at, lostAt)
		}
		// On large sites a departed target must get no requests after four seconds.
		if at, ok := targets.firstAfter(lostAt); !ok || at.Sub(lostAt) > 3*time.Second {
			t.Errorf("the host reads the store %s after its peer couldn't, want within 3 s", at.Sub(lostAt))
		}
	})
}

// startingPeer is found a second after the start and answers the first request at once.
type startingPeer struct {
	foundAt time.Time
	exists  bool
}

func (startingPeer) Fetch(context.Context, int64, int64) (Snapshot, bool) { return Snapshot{}, false }
func (startingPeer) NewestOffset() int64                                  { return 0 }
func (p startingPeer) HasReader() bool                                    { return p.exists && time.Now().After(p.foundAt) }

func (p startingPeer) Sync(_ context.Context, req SnapshotRequest) (Snapshot, bool) {
	if !p.HasReader() {
		return Snapshot{}, false
	}
	if !req.IsFirst {
		time.Sleep(syncWait)
	}
	return Snapshot{OpOffset: 1, TargetsOffset: 2, Mark: Mark{Revision: 1}}, true
}

// Load pattern: start of all hosts. Each host once read the store three or four times more
// before it had found the peers that read it for all, which is most calls of a start with
// hundreds of hosts. A host without such a peer must go on in time for its bounds.
func TestHostThatStartsWaitsForAReader(t *testing.T) {
	for name, exists := range map[string]bool{"with a reader": true, "alone": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				operator, targets := &storeFeed[feed.OperatorChange]{}, &storeFeed[feed.TargetChange]{}
				c := New(operator, targets, startingPeer{foundAt: start.Add(time.Second), exists: exists}, logr.Discard())
				defer c.Close()
				time.Sleep(10 * time.Second)
				synctest.Wait()
				for feedName, reads := range map[string]func(time.Time) (time.Time, bool){"operators' records": operator.firstAfter, "targets": targets.firstAfter} {
					if at, ok := reads(start.Add(-1)); !ok || at != start {
						t.Errorf("%s: first read at %s, %v, want at the start", feedName, at.Sub(start), ok)
					}
					at, ok := reads(start)
					if exists && ok {
						t.Errorf("%s: the store is read again after %s, want the peer's table", feedName, at.Sub(start))
					}
					// Departed targets must be out within 2.5 s, and a new host must have caught up within 4 s.
					if !exists && (!ok || at.Sub(start) > 2300*time.Millisecond) {
						t.Errorf("%s: read again after %s, %v, want within 2.3 s", feedName, at.Sub(start), ok)
					}
				}
			})
		})
	}
}
