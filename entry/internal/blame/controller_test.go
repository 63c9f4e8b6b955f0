package blame

import (
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
)

// fakeGossip connects two controllers.
type fakeGossip struct {
	mu     sync.Mutex
	handle func(data []byte, from string)
	peer   *fakeGossip
	sent   int
}

func (g *fakeGossip) Rank(string) int { return 0 }

func (g *fakeGossip) Handle(_ byte, handle func(data []byte, from string)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.handle = handle
}

func (g *fakeGossip) SendTo(_ byte, data []byte, _ ...string) {
	g.mu.Lock()
	g.sent += len(data)
	g.mu.Unlock()
	g.peer.mu.Lock()
	handle := g.peer.handle
	g.peer.mu.Unlock()
	if handle != nil {
		handle(data, "peer")
	}
}

func (g *fakeGossip) SendToSome(kind byte, data []byte, _ int) int {
	g.SendTo(kind, data)
	return 1
}

func newPair() (a, b *fakeGossip) {
	a, b = &fakeGossip{}, &fakeGossip{}
	a.peer, b.peer = b, a
	return a, b
}

func waitFor(t *testing.T, what string, isTrue func() bool) {
	t.Helper()
	for end := time.Now().Add(contactTime); !isTrue(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %s: %s", contactTime, what)
		}
	}
}

func TestEvidenceReachesAnotherHostAndOneThatStarts(t *testing.T) {
	ga, gb := newPair()
	a := New(ga, logr.Discard())
	defer a.Close()
	b := New(gb, logr.Discard())
	parts := []string{"system", "deadly"}
	for _, target := range []string{"t1", "t2", "t3"} {
		a.RecordBroken(Broken{Service: "s", Target: target, Address: target, Parts: parts, Own: target})
		time.Sleep(occasionLength)
	}
	isRefused := func(c *Controller) func() bool {
		return func() bool { return c.Check("s", parts, false).Part == "deadly" }
	}
	waitFor(t, "the other host refuses", isRefused(b))
	b.Close()
	_, gb = newPair()
	gb.peer = ga
	ga.mu.Lock()
	ga.peer = gb
	ga.mu.Unlock()
	started := New(gb, logr.Discard())
	defer started.Close()
	waitFor(t, "a host that started refuses", isRefused(started))
	started.RecordComplete("s", parts)
	waitFor(t, "a complete answer at one host ends the quarantine at the other", func() bool { return !isRefused(a)() })
}

// Hosts send nothing about prompts while no target crashes.
func TestNothingIsSentWithoutEvidence(t *testing.T) {
	ga, _ := newPair()
	a := New(ga, logr.Discard())
	defer a.Close()
	for range 50 {
		a.RecordComplete("s", []string{"system", "x"})
	}
	time.Sleep(time.Duration(startRounds+2) * roundInterval)
	ga.mu.Lock()
	before := ga.sent
	ga.mu.Unlock()
	time.Sleep(2 * roundInterval)
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if ga.sent != before || before > startRounds*8 {
		t.Errorf("sent %d bytes while starting and %d later, want at most %d and 0", before, ga.sent-before, startRounds*8)
	}
}

func TestMalformedDatagramsAreIgnored(t *testing.T) {
	ga, _ := newPair()
	a := New(ga, logr.Discard())
	defer a.Close()
	for _, data := range [][]byte{nil, {0xff}, {0x84, 1}, []byte("what?")} {
		ga.handle(data, "peer")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.state.records) != 0 {
		t.Errorf("%d records, want 0", len(a.state.records))
	}
}
