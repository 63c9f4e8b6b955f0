package pick

import (
	"strings"
	"testing"
	"time"
)

// An explanation must name the target that the next request gets, say why others don't, and
// count as no request.
func TestExplanationFollowsTheChoice(t *testing.T) {
	now := time.Now()
	b := newBalancer(3, 0)
	q := Query{Targets: targets("a", "a", "b"), Regions: []string{b.opts.Regions["a"]}, Affinity: "prefix", Slots: 8}
	for range 6 {
		e := b.Explain(q, now)
		if again := b.Explain(q, now); again.Chosen != e.Chosen {
			t.Fatalf("explained %s, then %s without a request between", e.Chosen, again.Chosen)
		}
		c, _ := b.Choose(q, now)
		if c.ID != e.Chosen {
			t.Fatalf("explained %s, chose %s", e.Chosen, c.ID)
		}
		if len(e.Targets) != 3 {
			t.Fatalf("%d targets explained, want 3", len(e.Targets))
		}
	}
	e := b.Explain(q, now)
	last := e.Targets[2]
	if b.opts.Regions["b"] != b.opts.Regions["a"] && !strings.HasPrefix(last.State, "left out") {
		t.Errorf("target of another region: %+v", last)
	}
	if e.Targets[0].InFlight+e.Targets[1].InFlight != 6 {
		t.Errorf("%+v, want 6 requests in flight", e.Targets)
	}
	if got := b.Explain(Query{}, now); got.Chosen != "" || got.Refusal == "" {
		t.Errorf("without targets: %+v, want a refusal", got)
	}
}
