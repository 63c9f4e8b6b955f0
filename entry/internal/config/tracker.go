package config

import (
	"crypto/sha256"
	"errors"
	"fmt"

	"chivepost/entry/internal/invar"
	"chivepost/share/bundle"
)

var (
	errContradictoryOffer = errors.New("offer contradicts the known versions")
	errContradictoryCopy  = errors.New("copy contradicts the changes read")
)

// configVersion is a configuration with its version, which is the newest version
// after all records up to offset through.
type configVersion struct {
	version int64
	through int64
	author  string
	data    []byte
	bundle  *bundle.Bundle
}

// deferredChange is a change that can't be decided yet.
type deferredChange struct {
	offset int64
	record record
}

// maxDeferred limits the changes that are kept while changes can't be decided.
const maxDeferred = 256

// maxDigests is the number of versions whose digests are kept to check that a version
// never has two contents.
const maxDigests = 64

// tracker determines the version in force. It decides changes in the order of the
// stream and adopts versions from copies and peers. It makes no calls and is not safe
// for concurrent use.
type tracker struct {
	// lastRead is the last offset read.
	lastRead int64
	// decidedVersion is the version after all records up to decidedThrough. It is valid
	// only while canDecide is set.
	decidedVersion int64
	decidedThrough int64
	// canDecide is false while records are missing between those that the version in
	// force accounts for and those read. firstAfterGap is then the first offset read
	// after the missing records.
	canDecide     bool
	firstAfterGap int64
	deferred      []deferredChange
	inForce       configVersion
	// copyAsOf is the highest as_of of the copies read. A new reader can start from that
	// copy as long as the log service keeps the records after copyAsOf.
	copyAsOf int64
	digests  map[int64][sha256.Size]byte
	// onDecided is called with the outcome of each change.
	onDecided func(r record, accepted bool, offset int64)
}

func newTracker() *tracker {
	return &tracker{canDecide: true, digests: map[int64][sha256.Size]byte{}, onDecided: func(record, bool, int64) {}}
}

// skipTo records that reading continues at offset first, because the records before it
// have expired.
func (t *tracker) skipTo(first int64) {
	t.lastRead = first - 1
	t.deferred = nil
	if t.canDecide && t.decidedThrough >= t.lastRead {
		return
	}
	t.canDecide = false
	t.firstAfterGap = first
	t.resume()
}

// resume starts deciding changes again, from the version in force, if no record is
// missing between inForce.through and the records read.
func (t *tracker) resume() {
	if t.canDecide || t.inForce.through < t.firstAfterGap-1 {
		return
	}
	t.canDecide = true
	t.decidedVersion, t.decidedThrough = t.inForce.version, t.inForce.through
	deferred := t.deferred
	t.deferred = nil
	for _, d := range deferred {
		t.applyChange(d.offset, d.record)
	}
	t.markDecided(t.lastRead)
}

// applyChange decides the change record at offset, or defers it while changes can't be
// decided.
func (t *tracker) applyChange(offset int64, r record) {
	if !t.canDecide {
		if len(t.deferred) == maxDeferred {
			t.deferred, t.firstAfterGap = nil, offset
		}
		t.deferred = append(t.deferred, deferredChange{offset, r})
		return
	}
	if offset <= t.decidedThrough {
		return // A copy or a peer's offer already includes it.
	}
	b, err := bundle.Decode(r.Bundle)
	accepted := err == nil && r.Base == t.decidedVersion
	if accepted {
		t.decidedVersion = offset
		t.checkDigest(offset, r.Bundle)
		if offset > t.inForce.version {
			invar.Check(offset > t.inForce.through, "config: change %d accepted, but version %d is in force as of %d",
				offset, t.inForce.version, t.inForce.through)
			t.setInForce(configVersion{version: offset, through: offset, author: r.Author, data: r.Bundle, bundle: b})
		}
	}
	t.markDecided(offset)
	t.onDecided(r, accepted, offset)
}

// markDecided records that all records up to offset have been decided.
func (t *tracker) markDecided(offset int64) {
	if !t.canDecide {
		return
	}
	t.decidedThrough = max(t.decidedThrough, offset)
	if t.decidedVersion == t.inForce.version {
		t.inForce.through = max(t.inForce.through, t.decidedThrough)
	}
	invar.Check(t.decidedVersion == t.inForce.version || t.decidedThrough < t.inForce.through,
		"config: version %d is in force as of offset %d, but the log gives %d as of %d",
		t.inForce.version, t.inForce.through, t.decidedVersion, t.decidedThrough)
}

// applyCopy applies the copy record at offset. A copy is adopted only while changes
// can't be decided: otherwise every change before it has been decided. A copy as of an
// offset before the end of the missing records doesn't help and is ignored.
func (t *tracker) applyCopy(offset int64, r record) error {
	if r.AsOf >= offset {
		return fmt.Errorf("%w: as of %d at offset %d", errContradictoryCopy, r.AsOf, offset)
	}
	switch {
	case !t.canDecide && r.AsOf < t.firstAfterGap-1:
		return nil
	case !t.canDecide:
		if err := t.adopt(Offer{Version: r.Copied, Author: r.Author, Through: r.AsOf, Data: r.Bundle}); err != nil {
			return err
		}
	case r.Copied > t.inForce.version:
		return fmt.Errorf("%w: version %d, in force %d", errContradictoryCopy, r.Copied, t.inForce.version)
	}
	t.checkDigest(r.Copied, r.Bundle)
	t.copyAsOf = max(t.copyAsOf, r.AsOf)
	return nil
}

// adopt puts the version of a copy or a peer in force if it is newer than the one in
// force. An older version is ignored.
func (t *tracker) adopt(o Offer) error {
	cv := &t.inForce
	if o.Version < 1 || o.Through < o.Version {
		return fmt.Errorf("%w: version %d through %d", errContradictoryOffer, o.Version, o.Through)
	}
	if o.Version < cv.version && o.Through > cv.through || o.Version > cv.version && o.Through <= cv.through {
		return fmt.Errorf("%w: version %d through %d, in force %d through %d",
			errContradictoryOffer, o.Version, o.Through, cv.version, cv.through)
	}
	switch {
	case o.Version < cv.version:
		return nil
	case o.Version == cv.version:
		if len(o.Data) > 0 {
			t.checkDigest(o.Version, o.Data)
		}
		cv.through = max(cv.through, o.Through)
	default:
		b, err := bundle.Decode(o.Data)
		if err != nil {
			return fmt.Errorf("version %d: %w", o.Version, err)
		}
		t.checkDigest(o.Version, o.Data)
		t.setInForce(configVersion{version: o.Version, through: o.Through, author: o.Author, data: o.Data, bundle: b})
	}
	t.resume()
	return nil
}

// setInForce replaces the version in force. All changes of the version go through it,
// so that the invariant check covers them.
func (t *tracker) setInForce(cv configVersion) {
	invar.Check(cv.version > t.inForce.version, "config: version %d would revert to %d", t.inForce.version, cv.version)
	t.inForce = cv
}

// checkDigest checks the invariant that a version always has the same bytes.
func (t *tracker) checkDigest(version int64, data []byte) {
	sum := sha256.Sum256(data)
	known, ok := t.digests[version]
	invar.Check(!ok || known == sum, "config: version %d has two contents, %x and %x", version, known, sum)
	if ok {
		return
	}
	t.digests[version] = sum
	if len(t.digests) <= maxDigests {
		return
	}
	lowest := version
	for v := range t.digests {
		lowest = min(lowest, v)
	}
	delete(t.digests, lowest)
}
