// Package pick chooses the target of a request: by place, by what the target is
// likely to hold in its cache, by its load and by how its answers have been. It
// also keeps this host's shares of limits that hold over all hosts.
package pick

import (
	"time"
)

const (
	// failWeight is the weight of a new outcome in a target's rate of failures.
	failWeight = 0.3
	// ejectRate is the rate of failures from which on a target is left alone: two
	// failures in a row, or three in five.
	ejectRate = 0.45
	// ejectFirst and ejectMax bound for how long; each time in a row doubles it.
	ejectFirst = time.Second
	ejectMax   = 6 * time.Second
	// absentFirst is how long a target that can't be reached is left alone at first.
	absentFirst = 700 * time.Millisecond
	// fullPause is how long a target that has refused a request is passed over.
	fullPause = 150 * time.Millisecond
	// timeWeight is the weight of a new measurement of the time to the first byte.
	timeWeight = 0.2
	// maxSlowness bounds what slowness adds to a target's load.
	maxSlowness = 8.0
)

// Outcome is how a request went at a target.
type Outcome int

// The outcomes.
const (
	Answered    Outcome = iota // a whole answer
	Refused                    // the target says that it ran nothing
	Unreachable                // it could not be reached
	Failed                     // no whole answer, or one that can't be right
	Cancelled                  // the caller left, or the time was over: says nothing of the target
)

// health is what this host has seen of a target.
type health struct {
	inFlight int
	failRate float64
	ejected  time.Time // until when it is left alone
	ejects   int       // in a row
	paused   time.Time // until when it is passed over
	probing  bool      // a single request tries it after it was left alone
	first    time.Duration
	seen     time.Time
	coldSent []time.Time // recent sends while cold
}

// note takes an outcome. first is the time to the first byte of an answer.
func (h *health) note(o Outcome, first time.Duration, now time.Time) {
	h.probing = false
	switch o {
	case Answered:
		h.failRate -= failWeight * h.failRate
		h.ejects, h.ejected = 0, time.Time{}
		switch {
		case first == 0:
		case h.first == 0:
			h.first = first
		default:
			h.first += time.Duration(timeWeight * float64(first-h.first))
		}
	case Refused:
		h.paused = now.Add(fullPause)
	case Unreachable:
		h.failRate += failWeight * (1 - h.failRate)
		h.eject(absentFirst, now)
	case Failed:
		h.failRate += failWeight * (1 - h.failRate)
		if h.failRate >= ejectRate {
			h.eject(ejectFirst, now)
		}
	case Cancelled:
	}
}

func (h *health) eject(first time.Duration, now time.Time) {
	if now.Before(h.ejected) {
		return // requests that were under way as it was ejected add nothing
	}
	h.ejected = now.Add(min(first<<min(h.ejects, 4), ejectMax))
	h.ejects++
}

// isOut reports whether a target is to be left alone. After the time for that a
// single request tries it first.
func (h *health) isOut(now time.Time) bool {
	return now.Before(h.ejected) || now.Before(h.paused) || h.ejects > 0 && h.probing
}
