package edge

import (
	"testing"
	"time"

	"chivepost/share/fleet"
)

// Orders of streams waited at the home of stages until the deadline, long after their callers
// had given up, and were then run in vain.
func TestStreamIsOfNoUseOnceItsCallerGivesUp(t *testing.T) {
	start := time.Now()
	tests := []struct {
		name      string
		retry     fleet.RetryPolicy
		objective time.Duration
		gap       time.Duration
		want      time.Duration
	}{
		{"four objectives", fleet.RetryStream, 1500 * time.Millisecond, 250 * time.Millisecond, 6 * time.Second},
		{"eight pauses", fleet.RetryStream, 500 * time.Millisecond, 400 * time.Millisecond, 3200 * time.Millisecond},
		{"two seconds", fleet.RetryStream, 300 * time.Millisecond, 100 * time.Millisecond, 2 * time.Second},
		{"deadline first", fleet.RetryStream, 9 * time.Second, 250 * time.Millisecond, 20 * time.Second},
		{"no objective", fleet.RetryStream, 0, 250 * time.Millisecond, 20 * time.Second},
		{"whole response", fleet.RetryAlways, 300 * time.Millisecond, 0, 20 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := &call{start: start, deadline: start.Add(20 * time.Second), route: &fleet.Route{Retry: test.retry, LatencyObjective: test.objective, MaxGap: test.gap}}
			if got := c.lastFirstByte().Sub(start); got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}
