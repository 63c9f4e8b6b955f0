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
	lastRead            atomic.Int64 // when a read last succeeded, in Unix nanoseconds
}

func (f *lostFeed[C]) read() error {
	now := time.Now()
	if now.Before(f.awayFrom) || !now.Before(f.awayUntil) {
		f.lastRead.Store(now.UnixNano())
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

// lostPeer reads the store for this host while the store is there, if follows is set.
type lostPeer struct {
	from, until time.Time
	follows     bool
}

func (lostPeer) Fetch(context.Context, int64, int64) (Snapshot, bool) { return Snapshot{}, false }
func (lostPeer) NewestOffset() int64                                  { return 0 }
func (p lostPeer) HasReader() bool                                    { return p.follows }

func (p lostPeer) Sync(context.Context, SnapshotRequest) (Snapshot, bool) {
	if !p.follows {
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
// peers notice its return for them.
func TestHostsThatFollowSpareAStoreThatIsAway(t *testing.T) {
	for _, test := range []struct {
		name     string
		follows  bool
		min, max int32 // refused reads of each feed in an outage of 12 s
	}{
		{"reader", false, 30, 42},
		{"follower", true, 3, 9},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				from := time.Now().Add(8 * time.Second)
				until := from.Add(12 * time.Second)
				operator, targets := &lostFeed[feed.OperatorChange]{awayFrom: from, awayUntil: until}, &lostFeed[feed.TargetChange]{awayFrom: from, awayUntil: until}
				c := New(operator, targets, lostPeer{from: from, until: until, follows: test.follows}, logr.Discard())
				defer c.Close()
				time.Sleep(22 * time.Second)
				for name, n := range map[string]int32{"operators' records": operator.refused.Load(), "targets": targets.refused.Load()} {
					if n < test.min || n > test.max {
						t.Errorf("%s: %d refused reads, want %d to %d", name, n, test.min, test.max)
					}
				}
				if c.IsStoreLost() {
					t.Error("the store counts as lost two seconds after its return")
				}
			})
		})
	}
}
