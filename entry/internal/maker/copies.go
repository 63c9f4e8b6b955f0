package maker

import (
	"errors"
	"expvar"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"chivepost/entry/internal/notice"
	"chivepost/platform/wire"
)

var copiedAnswers = expvar.NewInt("stage_copied_answers_count")

const (
	// rememberedAnswers is how many answers of each target are remembered: several times
	// those that its connections carry within the lifetime of an idle one.
	rememberedAnswers = 64
	// maxRemembered bounds the targets whose answers are remembered.
	maxRemembered = 1024
)

var (
	// errCopy means that an answer holds the results of an earlier one.
	errCopy = errors.New("the answer is a copy of an earlier one")
	// errRepeated means that an answer holds the results of an earlier one and can't be a copy
	// of it.
	errRepeated = errors.New("the target has started again")
	// errNoResults means that an answer holds no result by which a copy could be told.
	errNoResults = errors.New("the answer holds no results")
)

// recentAnswers remembers the answers of targets by their results. Results of one
// start of a target have handles of their own, so an answer with the same ones in the same order
// is a copy.
type recentAnswers struct {
	mu      sync.Mutex
	targets map[notice.Target]*answerRing
}

// answerRing holds the hashes of the newest answers of a target.
type answerRing struct {
	hashes [rememberedAnswers]uint64
	next   int
}

func newRecentAnswers() *recentAnswers {
	return &recentAnswers{targets: map[notice.Target]*answerRing{}}
}

// add remembers an answer by its results. It returns errCopy if the answer is known, and
// errNoResults if it holds none.
func (r *recentAnswers) add(target notice.Target, results []wire.Result) error {
	isEmpty := true
	hash := xxhash.New()
	for _, result := range results {
		isEmpty = isEmpty && result.Handle == ""
		_, _ = hash.WriteString(result.Handle + "\n") // never fails
	}
	if isEmpty {
		return errNoResults
	}
	sum := hash.Sum64()
	r.mu.Lock()
	defer r.mu.Unlock()
	ring := r.targets[target]
	if ring == nil {
		if len(r.targets) >= maxRemembered {
			clear(r.targets)
		}
		ring = &answerRing{}
		r.targets[target] = ring
	}
	if slices.Contains(ring.hashes[:], sum) {
		copiedAnswers.Add(1)
		return errCopy
	}
	ring.hashes[ring.next] = sum
	ring.next = (ring.next + 1) % rememberedAnswers
	return nil
}
