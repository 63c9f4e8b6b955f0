package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	// crashesBeforeLimit is the number of crashes after which a part is known to cause them.
	crashesBeforeLimit = 5
	// maxTaintedRuns is how many requests with the part may reach targets after that.
	maxTaintedRuns = 3
	// minSoundRatio is how much of the share of sound requests that were served before is
	// served afterwards.
	minSoundRatio = 0.5
	// minSoundRequests is the number of sound requests on either side that allows a comparison.
	minSoundRequests = 20
	// taintDelay is the time of the load before the first tainted request.
	taintDelay = 6 * time.Second
	// taintAwayTime is the shortest time for which a crashed target is away; up to as much again
	// is added.
	taintAwayTime = 2 * time.Second
)

// sharedParts are the numbers of different parts at the shared positions of a prompt.
var sharedParts = [...]int{3, 4, 6}

// taint is a part of prompts that crashes model targets.
type taint struct {
	part     string
	position int     // among the shared parts
	share    float64 // of the requests with a prompt
}

func newTaint(r *rand.Rand) taint {
	return taint{part: fmt.Sprintf("%08x", r.Uint32()|1<<31), position: r.IntN(len(sharedParts)), share: 1/60.0 + r.Float64()/20}
}

// prompt draws the parts of a prompt, as in the header. The last part is the request's own.
func (t taint) prompt(r *rand.Rand, isTainted bool) string {
	parts := make([]string, 0, len(sharedParts)+1)
	for i, n := range sharedParts {
		parts = append(parts, fmt.Sprintf("%08x:%d", (i+1)<<8+r.IntN(n), 100*(i+1)))
	}
	if isTainted {
		parts[t.position] = t.part + ":200"
	}
	return strings.Join(append(parts, fmt.Sprintf("%08x:50", r.Uint32()>>1)), ",")
}

// isIn reports whether a prompt holds the part before its last.
func (t taint) isIn(prompt string) bool {
	shared := prompt[:max(strings.LastIndexByte(prompt, ','), 0)]
	return t.part != "" && strings.Contains(shared, t.part+":")
}

// taintViolations returns what breaks the guarantees about requests that crash targets, and
// a line that says what was compared.
func (t *trace) taintViolations() (violations []string, summary string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tainted.from.IsZero() || len(t.crashes) == 0 {
		return nil, "no target crashed on a tainted prompt"
	}
	known := t.crashes[min(len(t.crashes), crashesBeforeLimit)-1]
	var late []string
	total := 0
	for _, a := range t.attempts {
		if !a.isTainted {
			continue
		}
		for _, run := range t.runs[a.id] {
			total++
			if len(t.crashes) >= crashesBeforeLimit && run.began.Sub(known) > contactTime && t.isInTouch(a.host, run.began) {
				late = append(late, fmt.Sprintf("%s at %s reaches %s %.1f s after", a.id, a.host, run.target, run.began.Sub(known).Seconds()))
			}
		}
	}
	if len(late) > maxTaintedRuns {
		violations = append(violations, fmt.Sprintf("BUDGET: %d tainted requests reach targets later than %s after crash %d, at most %d may: %s",
			len(late), contactTime, crashesBeforeLimit, maxTaintedRuns, strings.Join(late[:maxTaintedRuns+1], "; ")))
	}
	before := t.soundServed(time.Time{}, t.tainted.from)
	after := t.soundServed(known.Add(2*contactTime), t.tainted.to)
	if before.sent >= minSoundRequests && after.sent >= minSoundRequests && after.ratio() < minSoundRatio*before.ratio() {
		violations = append(violations, fmt.Sprintf("LOST: sound requests begin in %s of the cases, before the crashes in %s", after, before))
	}
	return violations, fmt.Sprintf("crashes %d, tainted runs %d, %d of them late; sound requests served: %s before, %s after",
		len(t.crashes), total, len(late), before, after)
}

// served counts requests and those of them that were answered at least in part.
type served struct{ sent, begun int }

func (s served) ratio() float64 { return float64(s.begun) / float64(max(s.sent, 1)) }

func (s served) String() string { return fmt.Sprintf("%d of %d", s.begun, s.sent) }

// soundServed counts the sound requests on the route of the tainted ones that were sent in the
// span to hosts in touch.
func (t *trace) soundServed(from, to time.Time) served {
	var out served
	for _, a := range t.attempts {
		if a.kind != kindStream || a.isTainted || a.outcome == left || a.began.Before(from) || a.began.After(to) || !t.isInTouch(a.host, a.began) {
			continue
		}
		out.sent++
		if a.hasBegun {
			out.begun++
		}
	}
	return out
}
