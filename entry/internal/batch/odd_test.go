package batch

import (
	"context"
	"errors"
	"math"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"chivepost/entry/internal/place"
	"chivepost/share/fleet"
)

// oddClient answers each call with as many outcomes as pieces.
type oddClient struct{}

func (oddClient) Run(_ context.Context, c *Call) ([]Outcome, Failure, error) {
	out := make([]Outcome, len(c.Pieces))
	for i := range out {
		out[i].Handle = "t/1"
	}
	return out, FailureNone, nil
}

func (oddClient) Free(context.Context, Target, []string) error { return errors.New("unreachable") }

type oddCatalog struct{}

func (oddCatalog) Stage(string, string) (fleet.Batching, []Target, bool) {
	return fleet.Batching{Slots: 1, BatchSize: 4, CallOverhead: time.Millisecond, ItemTime: time.Millisecond}, []Target{{ID: "t", Address: "t", DataCentre: "a"}}, true
}

func (oddCatalog) Models(string, string) []place.Target { return nil }

// Orders come from other hosts. A malformed one must end neither the home nor the orders of
// others; one with a thousand million pieces once took all memory of the process, and one with
// a stage after a missing one ended it.
func TestOddOrdersDoNotEndTheHome(t *testing.T) {
	stages := []fleet.Stage{{Service: "s"}, {Service: "s", After: []int{0}}}
	order := func(change func(o *Order)) Order {
		o := Order{ID: "odd", Request: "r", Stages: stages, Pieces: []int{1, 1}, TimeLeft: time.Second, DueIn: time.Second}
		change(&o)
		return o
	}
	for name, odd := range map[string]Order{
		"no stages":              order(func(o *Order) { o.Stages = nil }),
		"pieces without number":  order(func(o *Order) { o.Pieces = nil }),
		"pieces below zero":      order(func(o *Order) { o.Pieces = []int{-1, 1} }),
		"too many pieces":        order(func(o *Order) { o.Pieces = []int{1 << 30, 1 << 30} }),
		"all pieces there are":   order(func(o *Order) { o.Pieces = []int{math.MaxInt, 1} }),
		"after a missing stage":  order(func(o *Order) { o.Stages = []fleet.Stage{{Service: "s", After: []int{7}}} }),
		"after a negative stage": order(func(o *Order) { o.Stages = []fleet.Stage{{Service: "s", After: []int{-1}}} }),
		"after itself":           order(func(o *Order) { o.Stages = []fleet.Stage{{Service: "s", After: []int{0}}} }),
		"in a ring": order(func(o *Order) {
			o.Stages = []fleet.Stage{{Service: "s", After: []int{1}}, {Service: "s", After: []int{0}}}
		}),
		"unknown progress":    order(func(o *Order) { o.Progress = make([]StageProgress, 9) }),
		"time beyond all":     order(func(o *Order) { o.TimeLeft, o.DueIn = math.MaxInt64, math.MinInt64 }),
		"sizes beyond all":    order(func(o *Order) { o.Stages = []fleet.Stage{{Service: "s", ResultBytes: math.MaxInt64}} }),
		"priority beyond all": order(func(o *Order) { o.Priority, o.Rank = math.MinInt, math.MaxInt }),
	} {
		t.Run(name, func(t *testing.T) {
			h := New(oddClient{}, oddCatalog{}, logr.Discard())
			defer h.Close()
			h.Submit(odd)
			h.Await(t.Context(), odd.ID, 50*time.Millisecond)
			h.Drop(odd.ID, SessionTarget{}, nil)
			h.Submit(order(func(o *Order) { o.ID = "sound" }))
			if got := h.Await(t.Context(), "sound", time.Second); !got.IsDone || got.Reason != ReasonNone {
				t.Errorf("a sound order ended with %+v, want results", got)
			}
		})
	}
}
