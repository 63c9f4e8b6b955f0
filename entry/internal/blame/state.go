// Package blame attributes crashes of model targets to parts of prompts. A part that
// crashes each target that begins to write an answer on it is quarantined: requests with
// it are refused before they reach a further target.
//
// The hosts exchange evidence and each of them derives the quarantines from it. Evidence
// is a set that merges by union, in any order, and carries ages instead of times of day.
package blame

import "time"

const (
	// minOccasions is the number of occasions at which targets crash on a part before it
	// is quarantined.
	minOccasions = 3
	// minOccasionsOfMany is that number if the part has at least maxOccasions crashes, none
	// happened without it and no complete answer on it is known: it may take all targets
	// down before a further occasion.
	minOccasionsOfMany = 2
	// occasionLength is the time within which crashes count as one occasion, because
	// targets that share a rack or a power supply crash together.
	occasionLength = 200 * time.Millisecond
	// ageError is how far the estimates of the times of two crashes may be off against each
	// other at a host that was told of them: ages are in whole milliseconds, and the datagrams
	// have different delays.
	ageError = 5 * time.Millisecond
	// samePromptExtra is added if all crashes are those of one prompt, which may be a single
	// request that was sent again, and sameAddressExtra if all are those of targets at one
	// address, which may crash for reasons of its own.
	samePromptExtra  = 1
	sameAddressExtra = 2
	// seriesExtra is added if all are within seriesTime and a complete answer on the part ended
	// shortly before, since targets may crash one after the other for a reason of their own.
	seriesExtra = 2
	seriesTime  = time.Second
	// occasionsPerExtra is the number of occasions without the part that adds one.
	occasionsPerExtra = 2
	// otherWindow is the time before the first crash on a part from which on they count.
	otherWindow = time.Minute
	// maxOccasions is the number that suffices whatever crashed at other times.
	maxOccasions = 5
	// Crashes within commonCauseTime of a crash on a part suggest a cause in common if at least
	// minWithout of them are without the part, and more than one for maxWithPerWithout with it.
	commonCauseTime   = 300 * time.Millisecond
	minWithout        = 2
	maxWithPerWithout = 4
	// occasionsDespiteOthers is the number that suffices also then.
	occasionsDespiteOthers = 2 * maxOccasions
	// settleTime is the time until a part that the evidence points to is quarantined, in
	// which more evidence of other hosts arrives.
	settleTime = 500 * time.Millisecond
	// deriveInterval is the least time between two derivations.
	deriveInterval = 200 * time.Millisecond
	// minHold and maxHold bound how long no request with a quarantined part is tried.
	// Each crash of a trial multiplies the hold by holdFactor.
	minHold    = time.Minute
	maxHold    = 30 * time.Minute
	holdFactor = 4
	// trialStagger is the time after which the host of the next rank may try a request
	// whose part has been held.
	trialStagger = 10 * time.Second
	// trialInterval is the time between two trials of one host if neither the answer nor
	// the crash of the first is known.
	trialInterval = 15 * time.Second
	// trialRetry is the Retry-After while another host may try.
	trialRetry = 5 * time.Second
	// window is how long crashes are remembered. Those of a quarantined part are
	// remembered for as long after its hold.
	window = 10 * time.Minute
	// trustDuration is how long a part counts as sound after a complete answer.
	trustDuration = 10 * time.Second
	// priorTrust is how long a part counts as sound after a complete answer that ended
	// before the first crash on it. It is shorter, because a part may have become deadly.
	priorTrust = time.Second
	// clearInterval is the time after which a further complete answer is shared.
	clearInterval = 2 * time.Second
	// maxCrashes, maxRecordsPerCrash and maxClears limit the evidence held.
	maxCrashes         = 128
	maxRecordsPerCrash = 32
	maxClears          = 1024
	// maxParts and maxNameBytes limit a record.
	maxParts     = 16
	maxNameBytes = 64
	// maxCompleted limits the complete answers of this host that are remembered, in
	// parts.
	maxCompleted = 4096
	// newsRounds is the number of rounds in which new evidence is sent.
	newsRounds = 3
)

// part is a part of the prompts for a service.
type part struct{ service, id string }

// quarantine is the state of a part that crashes targets.
type quarantine struct {
	crashes     int
	from, until time.Time
}

// isActive reports whether the quarantine has begun.
func (q quarantine) isActive(now time.Time) bool { return !now.Before(q.from) }

// state holds the evidence and the quarantines that follow from it. It isn't safe for
// concurrent use.
type state struct {
	records     map[string]*record
	byCrash     map[uint64][]*record
	crashedAt   map[uint64]time.Time
	cleared     map[part]time.Time // end of the latest complete answer, if there was a crash
	suspects    map[part]time.Time // parts with evidence, and the time of the first crash
	unexplained map[uint64]bool    // crashes without a quarantined part
	staleSince  time.Time          // of the first evidence that the quarantines don't reflect; zero: none
	derivedAt   time.Time
	quarantines map[part]quarantine
	trials      map[part]time.Time
	news        []newsItem
	// completed and completedBefore are two generations of the complete answers of this
	// host, by part.
	completed       map[part]time.Time
	completedBefore map[part]time.Time
	rotatedAt       time.Time
}

func newState() *state {
	return &state{
		records: map[string]*record{}, byCrash: map[uint64][]*record{}, crashedAt: map[uint64]time.Time{}, cleared: map[part]time.Time{},
		suspects: map[part]time.Time{}, unexplained: map[uint64]bool{}, quarantines: map[part]quarantine{}, trials: map[part]time.Time{}, completed: map[part]time.Time{},
	}
}
