// Package canary moves the traffic of a service to the targets of another version, as an
// operator orders it, and back if that version is bad. A Gate decides on each host which
// targets a request may use, within the grants of the Decider, which runs on one host. The
// Controller exchanges grants and evidence and writes the status. See
// docs/design/rollouts.md.
package canary

import (
	"errors"
	"time"

	"chivepost/share/fleet"
)

const (
	// grantTTL is how long a grant holds after the host has asked for it.
	grantTTL = 1500 * time.Millisecond
	// takeoverDelay is how long a new decider gives no grants. It is longer than reports count
	// for the majority of the decider before it.
	takeoverDelay = grantTTL + 100*time.Millisecond
	// orderDelay is the time within which an operator's record is in force everywhere.
	orderDelay = 4 * time.Second
	// wantedFor is how long a new grant is kept for the routes that the decider names.
	wantedFor = time.Second
	// crashTime is the time within which the connections of a target that crashes break.
	crashTime = time.Second
	// shareUsed and slackUsed are the parts of the exposure that grants may use. The rest
	// covers requests that were counted and then refused before they reached a target.
	shareUsed = 0.85
	slackUsed = 0.8
	// badLimit is the number of bad responses, over all hosts, after which a version must get
	// no more requests.
	badLimit = 50
	// minStopBad is the least number of bad responses after which a host stops by itself.
	minStopBad = 3
	// minResponses is the least number of responses that show that a version is good. If the
	// service has few requests, a quarter of them suffices.
	minResponses = 12
	// minTargetShare is the least number of new targets at the cutover, relative to the old
	// ones.
	minTargetShare = 0.5
	// reserveShare of the duration, within minReserve and maxReserve, is kept for the cutover
	// and the write of the verdict; lastWrite is the time of the write alone.
	reserveShare = 0.3
	minReserve   = 3 * time.Second
	maxReserve   = 8 * time.Second
	lastWrite    = 1200 * time.Millisecond
	// minCutover is the shortest cutover, in which a version that can't take the traffic
	// fails.
	minCutover = 800 * time.Millisecond
	// slackAtStart is the part of the slack that may be used at once, so that a version that
	// is bad from the start is found soon. The rest becomes available over the trial.
	slackAtStart = 0.3
)

// ErrNotGranted means that a request must not be sent to a target because of its version.
var ErrNotGranted = errors.New("the target's version may not get the request")

// Phase is what the hosts do with an ordered version.
type Phase int

// The phases of a roll-out.
const (
	PhaseHold    Phase = iota // it gets nothing
	PhaseTrial                // it gets granted requests
	PhaseCutover              // it gets all requests
)

// Report is what a host tells the decider of a roll-out. Counts are cumulative since the
// host saw the order.
type Report struct {
	Service     string              `cbor:"service"`
	Version     string              `cbor:"version"`
	Age         time.Duration       `cbor:"age"`                // since the order
	Requests    uint32              `cbor:"requests,omitempty"` // that reached the service
	Sent        uint32              `cbor:"sent,omitempty"`     // to the new version
	Cap         uint32              `cbor:"cap,omitempty"`      // granted
	Total       uint32              `cbor:"total,omitempty"`    // granted to all hosts, as of the last reply
	TotalBy     string              `cbor:"total_by,omitempty"` // the decider of that reply
	Phase       Phase               `cbor:"phase,omitempty"`
	OldInFlight int                 `cbor:"old_in_flight,omitempty"` // requests in progress at old targets
	IsStopped   bool                `cbor:"is_stopped,omitempty"`    // by this host itself
	Status      fleet.RolloutStatus `cbor:"status"`                  // newest known
	Evidence    Evidence            `cbor:"evidence,omitempty"`
}

// Reply is the decider's answer to a Report.
type Reply struct {
	Service string              `cbor:"service"`
	Version string              `cbor:"version"`
	Phase   Phase               `cbor:"phase,omitempty"`
	Cap     uint32              `cbor:"cap,omitempty"` // requests that the host may have sent to the version, in all
	Total   uint32              `cbor:"total,omitempty"`
	By      string              `cbor:"by"`
	Wanted  []string            `cbor:"wanted,omitempty"` // routes with the least evidence; empty: all
	Age     time.Duration       `cbor:"age"`
	Status  fleet.RolloutStatus `cbor:"status"`
}

// cutoverAt returns the time after the order at which the trial ends.
func cutoverAt(duration time.Duration) time.Duration {
	reserve := min(max(time.Duration(reserveShare*float64(duration)), minReserve), maxReserve)
	return max(duration-reserve, duration/2)
}
