package loads

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
)

// countingGossip counts datagrams.
type countingGossip struct{ sent int }

func (*countingGossip) Handle(byte, func([]byte, string)) {}

func (g *countingGossip) SendWithinRegion(_ byte, _ []byte, n int) int {
	g.sent++
	return n
}

// Guards against control traffic without use: hosts of small deployments send nothing, and
// an idle host says once that it has no requests.
func TestSendsOnlyWhatIsNeeded(t *testing.T) {
	g := &countingGossip{}
	inFlight, isNeeded := map[string]int{"t": 1}, false
	c := New(NewBoard(1, 1), g, func() map[string]int { return inFlight }, func() bool { return isNeeded }, logr.Discard())
	c.Close() // rounds are run by the test
	for _, step := range []struct {
		isNeeded bool
		inFlight map[string]int
		want     int
	}{
		{false, map[string]int{"t": 1}, 0},
		{true, map[string]int{"t": 1}, 1},
		{true, map[string]int{"t": 2}, 2},
		{true, nil, 3},
		{true, nil, 3},
		{true, map[string]int{"t": 1}, 4},
	} {
		isNeeded, inFlight = step.isNeeded, step.inFlight
		if c.round(time.Now()); g.sent != step.want {
			t.Errorf("%+v: %d datagrams sent so far, want %d", step, g.sent, step.want)
		}
	}
}
