// Package pick chooses the target of a request by its distance, by the prompt prefixes
// that it probably has cached, by its load and by its recent outcomes. It also keeps this
// host within its share of the limits that apply to all hosts together.
package pick

import (
	"time"
)

const (
	// failWeight is the weight of a new outcome in a target's failure rate.
	failWeight = 0.3
	// ejectFailRate is the failure rate from which on a target is ejected: two failures in
	// a row, or three in five.
	ejectFailRate = 0.45
	// firstEjection is how long a target is ejected. Each further ejection in a row doubles
	// the time, up to maxEjection.
	firstEjection = time.Second
	maxEjection   = 6 * time.Second
	// unreachableEjection replaces firstEjection for a target that can't be reached.
	unreachableEjection = 700 * time.Millisecond
	// refusalPause is how long a target is skipped after it refused a request.
	refusalPause = 150 * time.Millisecond
	// firstByteWeight is the weight of a new measurement of the time to the first byte.
	firstByteWeight = 0.2
	// maxSlowFactor bounds the factor by which a slow target's load is raised.
	maxSlowFactor = 8.0
)

// Outcome is the outcome of a request at a target.
type Outcome int

// Outcomes of a request at a target.
const (
	Answered    Outcome = iota // a complete answer
	Refused                    // the target reported that it ran nothing
	Unreachable                // nothing could be sent to it
	Failed                     // no complete answer, or an invalid one
	Cancelled                  // the caller disconnected or the deadline passed: not the target's fault
)

// health is what this host has observed of a target.
type health struct {
	inFlight     int
	failRate     float64
	ejectedUntil time.Time
	ejections    int // in a row
	pausedUntil  time.Time
	probing      bool // a single request is trying it after an ejection
	firstByte    time.Duration
	lastChosen   time.Time
	report       report
	coldSends    []time.Time // recent sends while cold
}

// record updates the health with an outcome. firstByte is the time to the first byte of
// the answer, or 0.
func (h *health) record(o Outcome, firstByte time.Duration, now time.Time) {
	h.probing = false
	switch o {
	case Answered:
		h.failRate -= failWeight * h.failRate
		h.ejections, h.ejectedUntil = 0, time.Time{}
		switch {
		case firstByte == 0:
		case h.firstByte == 0:
			h.firstByte = firstByte
		default:
			h.firstByte += time.Duration(firstByteWeight * float64(firstByte-h.firstByte))
		}
	case Refused:
		h.pausedUntil = now.Add(refusalPause)
	case Unreachable:
		h.failRate += failWeight * (1 - h.failRate)
		h.eject(unreachableEjection, now)
	case Failed:
		h.failRate += failWeight * (1 - h.failRate)
		if h.failRate >= ejectFailRate {
			h.eject(firstEjection, now)
		}
	case Cancelled:
	}
}

func (h *health) eject(initial time.Duration, now time.Time) {
	if now.Before(h.ejectedUntil) {
		return // failures of requests sent before the ejection don't prolong it
	}
	h.ejectedUntil = now.Add(min(initial<<min(h.ejections, 4), maxEjection))
	h.ejections++
}

// isUnavailable reports whether a target is ejected or paused, or is being tried by a
// single request after an ejection.
func (h *health) isUnavailable(now time.Time) bool {
	return now.Before(h.ejectedUntil) || now.Before(h.pausedUntil) || h.ejections > 0 && h.probing
}
