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

// storeFeed counts readings of a store that always answers.
type storeFeed[C any] struct {
	mu    sync.Mutex
	reads []time.Time
}

func (f *storeFeed[C]) note() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads = append(f.reads, time.Now())
}

func (f *storeFeed[C]) Newest(context.Context) ([]C, int64, error) {
	f.note()
	return nil, 1, nil
}

func (f *storeFeed[C]) Next(ctx context.Context, from int64, wait time.Duration) ([]C, int64, error) {
	f.note()
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return nil, from, nil
}

// after returns the first reading after a time.
func (f *storeFeed[C]) after(at time.Time) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.reads {
		if r.After(at) {
			return r, true
		}
	}
	return time.Time{}, false
}

// readerPeer reads the store for others until a moment.
type readerPeer struct{ lost time.Time }

func (readerPeer) Fetch(context.Context, int64, int64) (Snapshot, bool) { return Snapshot{}, false }
func (readerPeer) NewestOffset() int64                                  { return 0 }

func (p readerPeer) Sync(context.Context, SnapshotRequest) (Snapshot, bool) {
	time.Sleep(syncWait)
	return Snapshot{OpOffset: 1, TargetsOffset: 1, Age: max(time.Since(p.lost), 0)}, true
}

// A peer that reads for this host may be turned away by the store. It was believed
// for four seconds, and a target that left in that time got a request 4.3 s later
// (scale-2 of sst-chivepost-grown).
func TestHostReadsForItselfOnceItsReaderCannot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lost := time.Now().Add(10 * time.Second)
		operator, targets := &storeFeed[feed.OperatorChange]{}, &storeFeed[feed.TargetChange]{}
		c := New(operator, targets, readerPeer{lost: lost}, logr.Discard())
		defer c.Close()
		time.Sleep(20 * time.Second)
		if at, ok := targets.after(lost.Add(-5 * time.Second)); !ok || at.Before(lost) {
			t.Errorf("the host reads at %s while a peer does, want not before %s", at, lost)
		}
		// The bound for targets that leave is four seconds on sites that are large enough.
		if at, ok := targets.after(lost); !ok || at.Sub(lost) > 3*time.Second {
			t.Errorf("the host reads for itself %s after its reader was lost, want within 3 s", at.Sub(lost))
		}
	})
}
