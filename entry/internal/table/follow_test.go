package table

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"chivepost/platform/feed"
	"chivepost/share/fleet"
)

const (
	// drainBound is the shortest time on the sites after which no request may reach a departed
	// target.
	drainBound = 2500 * time.Millisecond
	// sendTime is what a request takes from the choice of its target to its arrival: two round
	// trips between regions, and the host's own work.
	sendTime = 100 * time.Millisecond
)

// scriptedTargets is a feed of targets to which a test appends.
type scriptedTargets struct {
	mu      sync.Mutex
	changes []feed.TargetChange
	latency time.Duration // of a read
}

// partialOutage is a feed that turns one host away from a time on: it refuses its reads, or
// doesn't answer them.
type partialOutage struct {
	*scriptedTargets
	from     time.Time
	isSilent bool
}

func (f partialOutage) Next(ctx context.Context, from int64, wait time.Duration) ([]feed.TargetChange, int64, error) {
	if time.Now().Before(f.from) {
		return f.scriptedTargets.Next(ctx, from, wait)
	}
	if f.isSilent {
		<-ctx.Done()
	}
	return nil, from, errors.New("status 503")
}

func (f *scriptedTargets) append(changes ...feed.TargetChange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changes = append(f.changes, changes...)
}

func (f *scriptedTargets) Newest(ctx context.Context) ([]feed.TargetChange, int64, error) {
	return f.Next(ctx, 0, 0)
}

func (f *scriptedTargets) Next(_ context.Context, from int64, _ time.Duration) ([]feed.TargetChange, int64, error) {
	f.mu.Lock()
	changes := f.changes[from:]
	f.mu.Unlock()
	time.Sleep(f.latency)
	return changes, from + int64(len(changes)), nil
}

// readingPeer is a host that reads the store for another one, over a link with a latency. It
// hangs from a time on, if that is set.
type readingPeer struct {
	reader    *Controller
	latency   time.Duration
	hangsFrom time.Time
}

// callTimeout is the timeout of calls to peers.
const callTimeout = 1500 * time.Millisecond

func (readingPeer) Fetch(context.Context, int64, int64) (Snapshot, bool) { return Snapshot{}, false }
func (readingPeer) NewestOffset() int64                                  { return 0 }
func (p readingPeer) HasReader() bool                                    { return p.reader != nil }

func (p readingPeer) Sync(ctx context.Context, req SnapshotRequest) (Snapshot, bool) {
	if p.reader == nil {
		return Snapshot{}, false
	}
	time.Sleep(p.latency)
	sentAt := time.Now()
	s := p.reader.AwaitSnapshot(ctx, req)
	time.Sleep(p.latency)
	if !p.hangsFrom.IsZero() && !time.Now().Before(p.hangsFrom) {
		time.Sleep(time.Until(sentAt.Add(callTimeout)))
		return Snapshot{}, false
	}
	return s, true
}

// Guards against a host that follows a reader and takes a time without changes for an outage of
// the store: it once kept a target that departed then for 2.1 s longer.
func TestFollowerDropsADepartedTargetAfterAQuietTime(t *testing.T) {
	const latency = 5 * time.Millisecond
	for quiet := 2 * time.Second; quiet <= 8*time.Second; quiet += 300 * time.Millisecond {
		t.Run(quiet.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				targets := &scriptedTargets{latency: latency, changes: []feed.TargetChange{entry("x", 1, false), entry("y", 1, false)}}
				reader := New(&storeFeed[feed.OperatorChange]{}, targets, readingPeer{}, logr.Discard())
				defer reader.Close()
				follower := New(&storeFeed[feed.OperatorChange]{}, targets, readingPeer{reader: reader, latency: latency}, logr.Discard())
				defer follower.Close()
				for _, id := range []string{"x", "y"} {
					time.Sleep(quiet)
					targets.append(feed.TargetChange{ID: id})
					departedAt := time.Now()
					for hasTarget(follower.View(), id) && time.Since(departedAt) < 10*time.Second {
						time.Sleep(10 * time.Millisecond)
					}
					if took := time.Since(departedAt); took > drainBound-sendTime {
						t.Errorf("target %s may get requests for %s, want at most %s", id, took, drainBound-sendTime)
					}
				}
			})
		})
	}
}

// Guards against a host that relies for too long on the table of a reader which the store turns
// away, or which hangs.
func TestFollowerDropsADepartedTargetWithoutItsReader(t *testing.T) {
	const latency = 5 * time.Millisecond
	for _, failure := range []string{"store refuses the reader", "store doesn't answer the reader", "reader hangs"} {
		for n := range 31 * 10 {
			phase := time.Duration(n/10-15) * 100 * time.Millisecond
			stagger := time.Duration(n%10) * 110 * time.Millisecond
			t.Run(fmt.Sprintf("%s, target departs after %s, hosts start within %s", failure, phase, stagger), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					failsFrom := time.Now().Add(10*time.Second + 370*time.Millisecond)
					targets := &scriptedTargets{latency: latency, changes: []feed.TargetChange{entry("x", 1, false)}}
					ofReader := partialOutage{scriptedTargets: targets, from: failsFrom, isSilent: failure == "store doesn't answer the reader"}
					peer := readingPeer{latency: latency}
					if failure == "reader hangs" {
						ofReader.from, peer.hangsFrom = failsFrom.Add(time.Hour), failsFrom
					}
					peer.reader = New(&storeFeed[feed.OperatorChange]{}, ofReader, readingPeer{}, logr.Discard())
					defer peer.reader.Close()
					time.Sleep(stagger)
					follower := New(&storeFeed[feed.OperatorChange]{}, targets, peer, logr.Discard())
					defer follower.Close()
					time.Sleep(time.Until(failsFrom.Add(phase)))
					targets.append(feed.TargetChange{ID: "x"})
					departedAt := time.Now()
					for hasTarget(follower.View(), "x") && time.Since(departedAt) < 10*time.Second {
						time.Sleep(10 * time.Millisecond)
					}
					if took := time.Since(departedAt); took > drainBound-sendTime {
						t.Errorf("the target may get requests for %s, want at most %s", took, drainBound-sendTime)
					}
				})
			})
		}
	}
}

func hasTarget(v *View, id string) bool {
	for _, list := range v.Targets {
		for _, t := range list {
			if t.ID == id {
				return true
			}
		}
	}
	return false
}

// An outage shows in the age of the peer's table, not in the times of its answers: entries that
// are missing after it are held, also if the peer doesn't hold them.
func TestFollowerHoldsMissingEntriesAfterAnOutage(t *testing.T) {
	s := NewState()
	s.ApplyTargets([]feed.TargetChange{entry("x", 1, false), entry("y", 1, false)}, 2, true, start)
	now := start
	for age := time.Duration(0); age <= 4*time.Second; age += time.Second {
		now = now.Add(time.Second)
		s.Merge(Snapshot{TargetsOffset: 2, TargetsAge: age}, now)
	}
	now = now.Add(500 * time.Millisecond)
	s.Merge(Snapshot{TargetsOffset: 3, IsDelta: true, Departed: []fleet.Target{*entry("x", 1, false).Entry}}, now)
	if got := ids(s.View()); got != "x y " {
		t.Errorf("targets just after the outage %q, want x and y", got)
	}
	s.Expire(now.Add(expiryHold + time.Millisecond))
	if got := ids(s.View()); got != "y " {
		t.Errorf("targets after the hold %q, want y", got)
	}
}

// The table of a peer that can't read the store either doesn't hide an outage.
func TestFetchedTableHasItsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		from := time.Now().Add(5 * time.Second)
		operator := &lostFeed[feed.OperatorChange]{awayFrom: from, awayUntil: from.Add(time.Hour)}
		targets := &lostFeed[feed.TargetChange]{awayFrom: from, awayUntil: from.Add(time.Hour)}
		c := New(operator, targets, readingPeer{}, logr.Discard())
		defer c.Close()
		time.Sleep(15 * time.Second)
		if age := c.Snapshot(SnapshotRequest{}).TargetsAge; age < 10*time.Second || age > 11500*time.Millisecond {
			t.Errorf("the table of a host that has not read the store for 10 s has the age %s", age)
		}
	})
}
