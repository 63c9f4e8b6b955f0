package edge

import (
	"testing"
	"time"

	"chivepost/share/fleet"
)

// Orders of streams waited at the home of stages until the deadline, long after their callers
// had given up, and were then run in vain. A stream that has begun and broke off must still
// get its stages again, since its caller waits.
func TestStreamIsOfNoUseOnceItsCallerGivesUp(t *testing.T) {
	start := time.Now()
	tests := []struct {
		name      string
		retry     fleet.RetryPolicy
		objective time.Duration
		gap       time.Duration
		hasBegun  bool
		want      time.Duration
	}{
		{"four objectives", fleet.RetryStream, 1500 * time.Millisecond, 250 * time.Millisecond, false, 6 * time.Second},
		{"eight pauses", fleet.RetryStream, 500 * time.Millisecond, 400 * time.Millisecond, false, 3200 * time.Millisecond},
		{"two seconds", fleet.RetryStream, 300 * time.Millisecond, 100 * time.Millisecond, false, 2 * time.Second},
		{"deadline first", fleet.RetryStream, 9 * time.Second, 250 * time.Millisecond, false, 20 * time.Second},
		{"no objective", fleet.RetryStream, 0, 250 * time.Millisecond, false, 20 * time.Second},
		{"whole response", fleet.RetryAlways, 300 * time.Millisecond, 0, false, 20 * time.Second},
		{"stream has begun", fleet.RetryStream, 300 * time.Millisecond, 100 * time.Millisecond, true, 20 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := &call{start: start, headWritten: test.hasBegun, deadline: start.Add(20 * time.Second), route: &fleet.Route{Retry: test.retry, LatencyObjective: test.objective, MaxGap: test.gap}}
			if got := c.lastFirstByte().Sub(start); got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}
