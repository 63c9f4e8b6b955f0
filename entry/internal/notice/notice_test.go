package notice

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
)

const drain = 4 * time.Second

var (
	begin  = time.Now()
	engine = Target{ID: "t", StartMillis: 1}
)

func at(d time.Duration) time.Time { return begin.Add(d) }

func TestStatus(t *testing.T) {
	type heard struct {
		at     time.Duration
		notice Notice
	}
	leave, pause := Notice{Leaving: true}, func(d time.Duration) Notice { return Notice{Pause: d} }
	tests := []struct {
		name  string
		heard []heard
		at    time.Duration
		want  Status
	}{
		{"nothing announced", []heard{{0, Notice{}}}, time.Second, Status{}},
		{"leaving, last resort", []heard{{0, leave}}, time.Second, Status{Leaving: true}},
		{"leaving, drained", []heard{{0, leave}}, 2 * time.Second, Status{Leaving: true, Closed: true}},
		{"leaving, said again", []heard{{0, leave}, {1900 * time.Millisecond, leave}}, 2 * time.Second, Status{Leaving: true, Closed: true}},
		{"leaving for hours", []heard{{0, leave}}, 5 * time.Hour, Status{Leaving: true, Closed: true}},
		{"busy", []heard{{0, pause(time.Second)}}, 900 * time.Millisecond, Status{Closed: true, Until: at(time.Second)}},
		{"no longer busy", []heard{{0, pause(time.Second)}}, time.Second, Status{}},
		{"the longer pause holds", []heard{{0, pause(3 * time.Second)}, {time.Second, pause(time.Second)}}, 2500 * time.Millisecond, Status{Closed: true, Until: at(3 * time.Second)}},
		{"busy and leaving", []heard{{0, leave}, {0, pause(time.Second)}}, 900 * time.Millisecond, Status{Leaving: true, Closed: true, Until: at(time.Second)}},
		{"busy and drained", []heard{{0, leave}, {0, pause(time.Minute)}}, 2 * time.Second, Status{Leaving: true, Closed: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := New(drain, logr.Discard())
			for _, h := range test.heard {
				b.Record(engine, h.notice, at(h.at))
			}
			if got := b.Status(engine, at(test.at)); got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

// A target that starts again under its ID isn't bound by what it announced before.
func TestNextIncarnationIsOpen(t *testing.T) {
	b := New(drain, logr.Discard())
	b.Record(engine, Notice{Leaving: true, Pause: time.Hour}, begin)
	if err := b.Check(engine, at(drain)); !errors.Is(err, ErrLeaving) {
		t.Errorf("got %v, want %v", err, ErrLeaving)
	}
	if err := b.Check(Target{ID: engine.ID, StartMillis: 2}, at(drain)); err != nil {
		t.Errorf("next incarnation: got %v, want nil", err)
	}
}

// A target that had started again unseen announced that it leaves, and a host forgot it when it
// learned of the new start. A target that starts anew after it left must be open, though.
func TestAnnouncementsAroundAnUnseenStart(t *testing.T) {
	leave, busy := Notice{Leaving: true}, Notice{Pause: time.Hour}
	tests := []struct {
		name             string
		notice           Notice
		announced        time.Duration
		unseenSince      time.Duration // last reading that didn't show the new start
		started          time.Duration // by the clock of the target
		chosen           int64         // start that the caller knows
		want             error         // just after the new start is known
		wantMuchLater    error         // 31 s after that
		isAnnouncedAgain bool          // by the new start
	}{
		{"leaving, while cut off", leave, 0, -4 * time.Second, -2 * time.Second, 2, ErrLeaving, ErrLeaving, false},
		{"leaving, clock of the target ahead", leave, 0, -4 * time.Second, time.Second, 2, ErrLeaving, ErrLeaving, false},
		{"leaving, and chosen before the start was known", leave, 0, -4 * time.Second, -2 * time.Second, 1, ErrLeaving, ErrLeaving, false},
		{"leaving, and said again", leave, 0, -4 * time.Second, -2 * time.Second, 2, ErrLeaving, ErrLeaving, true},
		{"left, and started after its drain time while cut off", leave, 0, -4 * time.Second, drain + time.Second, 2, nil, nil, false},
		{"left, and read once more before it started", leave, 0, time.Second, -time.Hour, 2, nil, nil, false},
		{"busy, while cut off", busy, 0, -4 * time.Second, -2 * time.Second, 2, ErrBusy, ErrBusy, false},
		{"busy, and started later", busy, 0, -4 * time.Second, time.Second, 2, nil, nil, false},
		{"nothing announced", Notice{}, 0, -4 * time.Second, -2 * time.Second, 2, nil, nil, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := New(drain, logr.Discard())
			next := Target{ID: "t", StartMillis: at(test.started).UnixMilli()}
			b.Record(engine, test.notice, at(test.announced))
			b.Restarted("t", engine.StartMillis, next.StartMillis, at(test.unseenSince), at(5*time.Second))
			if test.isAnnouncedAgain {
				b.Record(engine, test.notice, at(6*time.Second)) // chosen before
			}
			chosen := next
			if test.chosen == 1 {
				chosen = engine
			}
			for _, c := range []struct {
				after time.Duration
				want  error
			}{{10 * time.Second, test.want}, {36 * time.Second, test.wantMuchLater}} {
				if err := b.Check(chosen, at(c.after)); !errors.Is(err, c.want) {
					t.Errorf("%s after the announcement: got %v, want %v", c.after, err, c.want)
				}
			}
			// A target whose entry stays is tried again in the end, unless it said so itself.
			isOpen := b.Check(next, at(time.Minute)) == nil
			if want := !test.isAnnouncedAgain; isOpen != want {
				t.Errorf("open a minute later: %t, want %t", isOpen, want)
			}
		})
	}
}

// The memory of a host doesn't grow with the targets that come and go.
func TestBoardIsBounded(t *testing.T) {
	b := New(drain, logr.Discard())
	for i := range 2 * maxTargets {
		b.Record(Target{ID: fmt.Sprint(i)}, Notice{Leaving: true}, at(time.Duration(i)*time.Microsecond))
	}
	if n := len(b.targets); n != maxTargets {
		t.Errorf("%d targets are kept, want %d", n, maxTargets)
	}
	if newest := (Target{ID: fmt.Sprint(2*maxTargets - 1)}); b.Check(newest, at(drain)) == nil {
		t.Error("the newest announcement is lost")
	}
}
