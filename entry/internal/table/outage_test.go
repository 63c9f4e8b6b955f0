package table

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"chivepost/platform/feed"
)

// lostFeed fails at once while the store is away, and counts the reads of that time.
type lostFeed[C any] struct {
	awayFrom, awayUntil time.Time
	refused             atomic.Int32
	firstRead           atomic.Int64 // when a read first succeeded after that, in Unix nanoseconds
}

func (f *lostFeed[C]) read() error {
	now := time.Now()
	if now.Before(f.awayFrom) || !now.Before(f.awayUntil) {
		if !now.Before(f.awayUntil) {
			f.firstRead.CompareAndSwap(0, now.UnixNano())
		}
		return nil
	}
	f.refused.Add(1)
	return errors.New("status 503")
}

func (f *lostFeed[C]) Newest(context.Context) ([]C, int64, error) { return nil, 1, f.read() }

func (f *lostFeed[C]) Next(ctx context.Context, from int64, wait time.Duration) ([]C, int64, error) {
	if err := f.read(); err != nil {
		return nil, from, err
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return nil, from, nil
}

// lostPeer reads the store for this host while the store is there, if follows is set, and until
// goneAt, if that is set.
type lostPeer struct {
	from, until, goneAt time.Time
	follows             bool
}

func (p lostPeer) isThere() bool {
	return p.follows && (p.goneAt.IsZero() || time.Now().Before(p.goneAt))
}

func (lostPeer) Fetch(context.Context, int64, int64) (Snapshot, bool) { return Snapshot{}, false }
func (lostPeer) NewestOffset() int64                                  { return 0 }
func (p lostPeer) HasReader() bool                                    { return p.isThere() }

func (p lostPeer) Sync(context.Context, SnapshotRequest) (Snapshot, bool) {
	if !p.isThere() {
		return Snapshot{}, false
	}
	s := Snapshot{OpOffset: 1, TargetsOffset: 1}
	if now := time.Now(); !now.Before(p.from) && now.Before(p.until) {
		s.Age = now.Sub(p.from)
	}
	time.Sleep(syncWait)
	return s, true
}

// Load pattern: store away. Calls that the store refuses have a price, too. Hosts whose peers
// read the store once tried it themselves three times a second for as long as it was away; the
// peers notice its return for them. All hosts once tried both feeds, though one shows as much.
func TestStoreThatIsAwayIsSpared(t *testing.T) {
	const outage = 12 * time.Second
	for _, test := range []struct {
		name     string
		follows  bool
		min, max int32 // refused reads of targets
	}{
		{"reader", false, 30, 42},
		{"follower", true, 3, 5},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				from := time.Now().Add(8 * time.Second)
				until := from.Add(outage)
				operator, targets := &lostFeed[feed.OperatorChange]{awayFrom: from, awayUntil: until}, &lostFeed[feed.TargetChange]{awayFrom: from, awayUntil: until}
				c := New(operator, targets, lostPeer{from: from, until: until, follows: test.follows}, logr.Discard())
				defer c.Close()
				time.Sleep(22 * time.Second)
				if n := targets.refused.Load(); n < test.min || n > test.max {
					t.Errorf("targets: %d refused reads, want %d to %d", n, test.min, test.max)
				}
				// Until the next read of targets it isn't known that they can't be read either.
				if n, most := operator.refused.Load(), int32(1+outage/otherFeedPause+targetsInterval/retryPause); n < 1 || n > most {
					t.Errorf("operators' records: %d refused reads, want 1 to %d", n, most)
				}
				if c.IsStoreLost() {
					t.Error("the store counts as lost two seconds after its return")
				}
				for name, at := range map[string]int64{"operators' records": operator.firstRead.Load(), "targets": targets.firstRead.Load()} {
					if late := time.Unix(0, at).Sub(until); !test.follows && (at == 0 || late > 2*retryPause) {
						t.Errorf("%s: read %s after the store's return, want within %s", name, late, 2*retryPause)
					}
				}
			})
		})
	}
}

// Either feed may return before the other, or alone: the other must not hold it up for long.
func TestFeedThatReturnsAloneIsRead(t *testing.T) {
	for _, test := range []struct {
		name                         string
		operatorOutage, targetOutage time.Duration
		maxOperator, maxTarget       time.Duration // until the first read after the return; 0: not checked
	}{
		{"operators' records alone", 12 * time.Second, 40 * time.Second, otherFeedPause, 0},
		{"targets first", 14 * time.Second, 12 * time.Second, 2 * retryPause, 2 * retryPause},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				from := time.Now().Add(8 * time.Second)
				operator := &lostFeed[feed.OperatorChange]{awayFrom: from, awayUntil: from.Add(test.operatorOutage)}
				targets := &lostFeed[feed.TargetChange]{awayFrom: from, awayUntil: from.Add(test.targetOutage)}
				c := New(operator, targets, lostPeer{}, logr.Discard())
				defer c.Close()
				time.Sleep(30 * time.Second)
				check := func(name string, firstRead int64, back time.Time, most time.Duration) {
					if late := time.Unix(0, firstRead).Sub(back); firstRead == 0 || late < 0 || late > most {
						t.Errorf("%s: read %s after their return, want within %s", name, late, most)
					}
				}
				check("operators' records", operator.firstRead.Load(), operator.awayUntil, test.maxOperator)
				if test.maxTarget > 0 {
					check("targets", targets.firstRead.Load(), targets.awayUntil, test.maxTarget)
				}
			})
		})
	}
}

// The peer that reads the store may go shortly after the store's return.
func TestHostReadsOnceItsReaderGoesAfterAnOutage(t *testing.T) {
	for outage := 5 * time.Second; outage <= 11*time.Second; outage += 500 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			from := time.Now().Add(8 * time.Second)
			until := from.Add(outage)
			goneAt := until.Add(time.Second)
			operator, targets := &lostFeed[feed.OperatorChange]{awayFrom: from, awayUntil: until}, &lostFeed[feed.TargetChange]{awayFrom: from, awayUntil: until}
			c := New(operator, targets, lostPeer{from: from, until: until, goneAt: goneAt, follows: true}, logr.Discard())
			defer c.Close()
			time.Sleep(30 * time.Second)
			// One sync that the reader holds in vain, and the time for which a sync counts.
			const want = 2600 * time.Millisecond
			if late := time.Unix(0, operator.firstRead.Load()).Sub(goneAt); operator.firstRead.Load() == 0 || late > want {
				t.Errorf("operators' records: read %s after the reader went, %s after the store's return, want within %s", late, late+goneAt.Sub(until), want)
			}
		})
	}
}
