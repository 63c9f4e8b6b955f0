package place

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

func targets(n int) []Target {
	out := make([]Target, n)
	for i := range out {
		out[i] = Target{ID: "t" + strconv.Itoa(i), DataCentre: "a"}
	}
	return out
}

// A target that doesn't read on, as one that has crashed silently, must not get further
// requests while others are idle.
func TestStalledTargetIsAvoided(t *testing.T) {
	b, now := New(), start
	stalled := b.Choose(Request{ID: "first", Session: "s", OwnTokens: 3000}, targets(3), now)
	for i := range 20 {
		id := fmt.Sprint(i)
		now = now.Add(100 * time.Millisecond)
		if got := b.Choose(Request{ID: id, Session: "s", CachedAt: stalled, SessionTokens: 1000, OwnTokens: 500}, targets(3), now); got == stalled {
			t.Fatalf("request %s goes to the target with 3000 tokens ahead", id)
		}
		b.Done(id)
	}
}

// A lost message about a first event must not keep a target empty for good.
func TestPlacementExpires(t *testing.T) {
	b := New()
	first := b.Choose(Request{ID: "first", Session: "s", OwnTokens: 3000}, targets(2), start)
	later := start.Add(placementTTL + expireInterval)
	if got := b.Choose(Request{ID: "second", Session: "s", CachedAt: first, SessionTokens: 100}, targets(2), later); got != first {
		t.Errorf("second request placed at %s, want %s", got, first)
	}
	b.Done("second")
	b.Done("second")
	if n := b.Tokens(first); n != 0 {
		t.Errorf("%d tokens at a target without requests", n)
	}
}

// The cached prefix is worth a short wait, but not one longer than reading it again.
func TestPrefixIsWorthALimitedWait(t *testing.T) {
	for _, test := range []struct {
		ahead int
		stays bool
	}{{0, true}, {1000, true}, {10_000, false}} {
		b := New()
		cached := b.Choose(Request{ID: "ahead", Session: "s", OwnTokens: test.ahead}, targets(4), start)
		got := b.Choose(Request{ID: "next", Session: "s", CachedAt: cached, SessionTokens: 3000, OwnTokens: 500}, targets(4), start)
		if stays := got == cached; stays != test.stays {
			t.Errorf("%d tokens ahead: request stays at its prefix: %v, want %v", test.ahead, stays, test.stays)
		}
	}
}

// Load: 25 hosts of a data centre send long prompts of very different sizes to 23 targets,
// which read them one after the other. Each host knows only its own requests, so some targets
// have several long prompts at once while others idle. The wait for the tokens ahead, in the
// slowest tenth, must be less than half of that with each host on its own.
func TestPatternLongPromptsFromManyHosts(t *testing.T) {
	const hosts, tokensPerMS, perSecond = 25, 32.4, 60.0
	run := func(shared bool) time.Duration {
		random := rand.New(rand.NewPCG(7, 1))
		boards := make([]*Board, hosts)
		for i := range boards {
			boards[i] = New()
			if shared {
				boards[i] = boards[0]
			}
		}
		type reading struct {
			id   string
			host int
			end  time.Time
		}
		var open []reading
		var waits []time.Duration
		freeAt := map[string]time.Time{}
		now := start
		for i := range 4000 {
			now = now.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
			open = slices.DeleteFunc(open, func(r reading) bool {
				if r.end.After(now) {
					return false
				}
				boards[r.host].Done(r.id)
				return true
			})
			host, id := random.IntN(hosts), strconv.Itoa(i)
			tokens := int(min(2000*random.ExpFloat64()*random.ExpFloat64()*2, 20_000))
			target := boards[host].Choose(Request{ID: id, Session: id, OwnTokens: tokens}, targets(23), now)
			begin := now
			if freeAt[target].After(now) {
				begin = freeAt[target]
			}
			freeAt[target] = begin.Add(time.Duration(float64(tokens) / tokensPerMS * float64(time.Millisecond)))
			waits = append(waits, begin.Sub(now))
			open = append(open, reading{id, host, freeAt[target]})
		}
		slices.Sort(waits)
		return waits[len(waits)*9/10]
	}
	home, alone := run(true), run(false)
	t.Logf("wait in the slowest tenth: %s with a home, %s with each host on its own", home, alone)
	if home > alone/2 {
		t.Errorf("wait in the slowest tenth %s, want under half of the %s of hosts on their own", home, alone)
	}
}

// Requests without a session went to one target as long as no prompt waited anywhere.
func TestRequestsWithoutSessionAreSpread(t *testing.T) {
	b, got := New(), map[string]int{}
	for i := range 200 {
		id := strconv.Itoa(i)
		got[b.Choose(Request{ID: id, OwnTokens: 100}, targets(10), start)]++
		b.Done(id)
	}
	for id, n := range got {
		if n > 60 {
			t.Errorf("%d of 200 requests at %s", n, id)
		}
	}
}

// A caller that claims an enormous prompt must not keep a target empty for all others.
func TestClaimedTokensAreBounded(t *testing.T) {
	b := New()
	claimed := b.Choose(Request{ID: "claim", Session: "s", OwnTokens: 1 << 30, SessionTokens: 1 << 30}, targets(2), start)
	if n := b.Tokens(claimed); n > 2*maxPromptTokens+requestTokens {
		t.Errorf("%d tokens count for one request", n)
	}
	b.Choose(Request{ID: "negative", OwnTokens: -1 << 30, SessionTokens: -5}, targets(2), start)
	if n := b.Tokens(claimed); n < 0 {
		t.Errorf("%d tokens at a target", n)
	}
}
