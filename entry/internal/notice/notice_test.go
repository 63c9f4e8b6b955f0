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
