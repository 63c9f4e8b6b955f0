package table

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"chivepost/platform/feed"
	"chivepost/platform/store"
	"chivepost/share/fleet"
)

// restoredStore is a store with two topics that comes back from copies.
type restoredStore struct {
	mu       sync.Mutex
	era      feed.Era
	operator []feed.OperatorChange
	targets  []feed.TargetChange
	changed  chan struct{} // closed and replaced by each append
}

func newRestoredStore() *restoredStore { return &restoredStore{era: 1, changed: make(chan struct{})} }

func (s *restoredStore) write(operator []feed.OperatorChange, targets ...feed.TargetChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.operator, s.targets = append(s.operator, operator...), append(s.targets, targets...)
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore brings back a copy with the first records only. Reads that wait aren't woken.
func (s *restoredStore) restore(operator, targets int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.era != 0 { // known
		s.era++
	}
	s.operator, s.targets = slices.Clone(s.operator[:operator]), slices.Clone(s.targets[:targets])
}

// storeReader reads one topic for one host. The host can be cut off.
type storeReader[C any] struct {
	store   *restoredStore
	records func(*restoredStore) []C
	key     func(C) (key string, isRemoval bool)
	isCut   *atomic.Bool
	era     feed.Era
}

func (r *storeReader[C]) Era() feed.Era { return r.era }

func (r *storeReader[C]) get(isFull bool, from int64) ([]C, int64, chan struct{}, error) {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	all := r.records(r.store)
	end := int64(len(all))
	if r.isCut.Load() {
		r.era = 0
		return nil, from, nil, errors.New("no route")
	}
	r.era = r.store.era
	switch {
	case isFull:
		newest := map[string]C{}
		for _, c := range all {
			key, isRemoval := r.key(c)
			if newest[key] = c; isRemoval {
				delete(newest, key)
			}
		}
		return slices.Collect(maps.Values(newest)), end, nil, nil
	case from > end:
		return nil, from, nil, &store.GoneError{IsBeyondEnd: true}
	}
	return slices.Clone(all[from:]), end, r.store.changed, nil
}

func (r *storeReader[C]) Newest(context.Context) ([]C, int64, error) {
	out, end, _, err := r.get(true, 0)
	return out, end, err
}

func (r *storeReader[C]) Next(ctx context.Context, from int64, wait time.Duration) ([]C, int64, error) {
	out, end, changed, err := r.get(false, from)
	if err != nil || len(out) > 0 || wait == 0 {
		return out, end, err
	}
	select {
	case <-changed:
	case <-time.After(wait):
	case <-ctx.Done():
		r.era = 0
		return nil, from, ctx.Err()
	}
	out, end, _, err = r.get(false, from)
	return out, end, err
}

// startReader starts a host that reads the store itself and may fetch the table of a peer.
func startReader(s *restoredStore, peer *Controller) (c *Controller, isCut *atomic.Bool) {
	isCut = new(atomic.Bool)
	operator := &storeReader[feed.OperatorChange]{
		store: s, isCut: isCut, records: func(s *restoredStore) []feed.OperatorChange { return s.operator },
		key: func(c feed.OperatorChange) (string, bool) { return c.DataCentre, c.Config == nil && !c.IsOut },
	}
	targets := &storeReader[feed.TargetChange]{
		store: s, isCut: isCut, records: func(s *restoredStore) []feed.TargetChange { return s.targets },
		key: func(c feed.TargetChange) (string, bool) { return c.ID, c.Entry == nil },
	}
	return New(operator, targets, fetchedPeer{peer}, logr.Discard()), isCut
}

// fetchedPeer is a peer, if any, whose table can be fetched.
type fetchedPeer struct{ c *Controller }

func (p fetchedPeer) Fetch(_ context.Context, offset, version int64) (Snapshot, bool) {
	if p.c == nil || p.c.OperatorOffset() < offset {
		return Snapshot{}, false
	}
	s := p.c.Snapshot(SnapshotRequest{Version: version})
	if s.Config != nil {
		config := *s.Config // as it is after it was sent
		s.Config = &config
	}
	return s, true
}
func (p fetchedPeer) HasReader() bool { return false }
func (p fetchedPeer) NewestOffset() int64 {
	if p.c == nil {
		return -1
	}
	return p.c.OperatorOffset()
}

func (p fetchedPeer) Sync(context.Context, SnapshotRequest) (Snapshot, bool) {
	return Snapshot{}, false
}

func version(n int64) feed.OperatorChange {
	return feed.OperatorChange{Config: &fleet.Config{Version: n}}
}

func out(dc string) feed.OperatorChange { return feed.OperatorChange{DataCentre: dc, IsOut: true} }

func back(dc string) feed.OperatorChange { return feed.OperatorChange{DataCentre: dc} }

// applyBound is ConfigApplyMs of the deployments.
const applyBound = 4 * time.Second

// expectWithin waits until a host has the configuration and the data centres out.
func expectWithin(t *testing.T, c *Controller, bound time.Duration, want int64, outs ...string) {
	t.Helper()
	for deadline := time.Now().Add(bound); ; time.Sleep(10 * time.Millisecond) {
		v := c.View()
		got := slices.Sorted(maps.Keys(v.Out))
		if v.Config != nil && v.Config.Version == want && slices.Equal(got, outs) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("configuration %+v and data centres %v are in force after %s, want version %d and %v", v.Config, got, bound, want, outs)
		}
	}
}

// expectFor checks that nothing else is in force for a time.
func expectFor(t *testing.T, c *Controller, d time.Duration, want int64, outs ...string) {
	t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		expectWithin(t, c, 0, want, outs...)
	}
}

// Each case restores the store while the host waits at an offset, cut off or not. Records at
// offsets that are given out again were skipped, because the host went on reading at the offset
// of the earlier era; without new records it read at an offset that doesn't exist for good.
func TestRecordsOfANewEraAreNotSkipped(t *testing.T) {
	for name, test := range map[string]struct {
		restores int
		isCut    bool // during the restores
	}{
		"during a long read": {1, false}, "two in a row": {2, false}, "cut off": {1, true}, "cut off during two": {2, true},
	} {
		for written, isRecycled := range map[string]bool{"recycled offset": true, "offset beyond the end": false} {
			t.Run(name+", "+written, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newRestoredStore()
					s.write([]feed.OperatorChange{version(1), out("a"), version(2), out("b"), version(3)})
					c, isCut := startReader(s, nil)
					defer c.Close()
					expectWithin(t, c, applyBound, 3, "a", "b")
					time.Sleep(10 * time.Second)
					isCut.Store(test.isCut)
					for range test.restores {
						time.Sleep(700 * time.Millisecond)
						s.restore(1, 0)
						s.write([]feed.OperatorChange{version(4), out("c")})
						if isRecycled {
							s.write([]feed.OperatorChange{version(4), version(4), version(4)})
						}
					}
					if test.isCut {
						time.Sleep(7 * time.Second)
						isCut.Store(false)
					}
					expectWithin(t, c, applyBound, 4, "a", "b", "c")
					s.write([]feed.OperatorChange{version(5)})
					expectWithin(t, c, applyBound, 5, "a", "b", "c")
				})
			})
		}
	}
}

// Guards against a state that reverts to that of the copy: an older configuration, with its
// removed keys, or a data centre that is out and whose record the copy lacks.
func TestNothingRevertsWithTheCopy(t *testing.T) {
	for name, test := range map[string]struct {
		written []feed.OperatorChange // 10 s after the last restore
		after   []string              // out at the end
		isBack  bool                  // within the bound after written
	}{
		"written again":     {[]feed.OperatorChange{version(3), out("b")}, []string{"b"}, false},
		"never":             {nil, nil, false},
		"brought back":      {[]feed.OperatorChange{out("b"), back("b")}, nil, true},
		"another taken out": {[]feed.OperatorChange{version(2), out("d")}, []string{"d"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newRestoredStore()
				s.write([]feed.OperatorChange{version(1), version(3), out("b")})
				c, _ := startReader(s, nil)
				defer c.Close()
				expectWithin(t, c, applyBound, 3, "b")
				for range 2 { // the second one starts the hold anew
					time.Sleep(8 * time.Second)
					s.restore(1, 0)
				}
				expectFor(t, c, 10*time.Second, 3, "b")
				s.write(test.written)
				if test.isBack {
					expectWithin(t, c, applyBound, 3)
				} else {
					held := slices.Compact(slices.Sorted(slices.Values(append([]string{"b"}, test.after...))))
					expectWithin(t, c, applyBound, 3, held...)
					expectFor(t, c, restoreHold-10*time.Second-applyBound, 3, held...)
				}
				time.Sleep(2 * applyBound) // the end of the hold shows with the next read
				expectFor(t, c, 30*time.Second, 3, test.after...)
			})
		})
	}
}

// A host that follows a reader learns of the era from it and reads nothing itself.
func TestFollowerLearnsOfTheEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestoredStore()
		s.write([]feed.OperatorChange{version(1), out("c"), version(2)}, entry("x", 1, false), entry("y", 1, false))
		reader, _ := startReader(s, nil)
		defer reader.Close()
		follower := New(&storeFeed[feed.OperatorChange]{}, &storeFeed[feed.TargetChange]{}, readingPeer{reader: reader, latency: 5 * time.Millisecond}, logr.Discard())
		defer follower.Close()
		expectWithin(t, follower, applyBound, 2, "c")
		time.Sleep(5 * time.Second)
		s.restore(1, 1)
		s.write([]feed.OperatorChange{out("b")}, entry("z", 1, false))
		expectWithin(t, follower, applyBound, 2, "b", "c")
		if got := follower.Era(); got != 2 {
			t.Errorf("era %d, want 2", got)
		}
		time.Sleep(time.Second)
		for _, id := range []string{"x", "z"} {
			if !hasTarget(follower.View(), id) {
				t.Errorf("target %s is missing", id)
			}
		}
	})
}

// A host that can't reach the store learns of the restore from a peer, although the peer's
// offsets are lower. One that has just started takes over what its peer holds.
func TestPeerTellsOfTheRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestoredStore()
		s.write([]feed.OperatorChange{version(1), out("a"), version(2), version(3)})
		peer, _ := startReader(s, nil)
		defer peer.Close()
		c, isCut := startReader(s, peer)
		defer c.Close()
		expectWithin(t, c, applyBound, 3, "a")
		isCut.Store(true)
		time.Sleep(5 * time.Second)
		s.restore(1, 0)
		s.write([]feed.OperatorChange{out("b")})
		expectWithin(t, c, applyBound, 3, "a", "b")
		started, _ := startReader(s, peer)
		defer started.Close()
		expectWithin(t, started, startWait, 3, "a", "b")
		expectFor(t, started, restoreHold-3*time.Second, 3, "a", "b")
		time.Sleep(3*time.Second + 2*applyBound)
		for name, host := range map[string]*Controller{"peer": peer, "started": started} {
			if got := slices.Sorted(maps.Keys(host.View().Out)); !slices.Equal(got, []string{"b"}) {
				t.Errorf("%s: data centres %v are out after the hold, want b", name, got)
			}
		}
	})
}

// A target whose entry the copy lacks runs, and one that has departed since doesn't come back.
func TestTargetsOfACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestoredStore()
		s.write([]feed.OperatorChange{version(1)}, entry("gone", 1, false), entry("x", 1, false))
		c, _ := startReader(s, nil)
		defer c.Close()
		time.Sleep(2 * time.Second)
		s.write(nil, feed.TargetChange{ID: "gone"}, entry("new", 1, false))
		time.Sleep(3 * time.Second)
		s.restore(1, 2)
		rewritten := time.Now().Add(1500 * time.Millisecond)
		for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			if !rewritten.IsZero() && time.Now().After(rewritten) {
				s.write(nil, entry("new", 2, false))
				rewritten = time.Time{}
			}
			if v := c.View(); hasTarget(v, "gone") || !hasTarget(v, "new") || !hasTarget(v, "x") {
				t.Fatalf("targets %v %s before the end, want new and x", v.Targets, time.Until(end))
			}
		}
	})
}

// A store that doesn't name its era shows a restore by an offset that it doesn't have any more.
func TestRestoreWithoutAnEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestoredStore()
		s.era = 0
		s.write([]feed.OperatorChange{version(1), out("a"), version(2)})
		c, _ := startReader(s, nil)
		defer c.Close()
		expectWithin(t, c, applyBound, 2, "a")
		s.restore(1, 0)
		s.write([]feed.OperatorChange{out("b")})
		expectWithin(t, c, applyBound, 2, "a", "b")
	})
}

// An answer of an earlier era says nothing about the present.
func TestAnswerOfAnEarlierEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestoredStore()
		s.era = 5
		s.write([]feed.OperatorChange{version(1), out("a")})
		c, _ := startReader(s, nil)
		defer c.Close()
		expectWithin(t, c, applyBound, 1, "a")
		s.mu.Lock()
		s.era = 4
		s.mu.Unlock()
		s.write([]feed.OperatorChange{back("a")})
		expectFor(t, c, 10*time.Second, 1, "a")
	})
}
