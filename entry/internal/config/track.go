package config

import (
	"crypto/sha256"
	"errors"
	"fmt"

	"chivepost/entry/internal/invar"
	"chivepost/share/bundle"
)

var (
	errOffer = errors.New("offer contradicts what is known")
	errCopy  = errors.New("copy contradicts the changes read")
)

// inForce is a configuration with its version. It is known to be the newest one
// after all records up to offset through.
type inForce struct {
	version int64
	through int64
	author  string
	data    []byte
	bundle  *bundle.Bundle
}

// heldChange is a change that can't be judged yet.
type heldChange struct {
	offset int64
	record record
}

// maxHeld bounds the changes held while the version is not settled.
const maxHeld = 256

// maxDigests is how many versions the check for equal bytes remembers.
const maxDigests = 64

// track follows the versions. It judges changes from its own reading of the stream
// and takes versions from copies and peers; it makes no calls and has no lock.
type track struct {
	// read is the last offset read.
	read int64
	// judged is the version after all records up to judgedThrough, if settled.
	judged        int64
	judgedThrough int64
	// settled is false while records are missing between what is known and what was
	// read; gapFirst is then the first offset read after the missing ones.
	settled  bool
	gapFirst int64
	held     []heldChange
	force    inForce
	// copyAsOf is the highest as_of of the copies read. A fresh reader can start from
	// that copy as long as the records after copyAsOf are kept.
	copyAsOf int64
	digests  map[int64][sha256.Size]byte
	// onJudged is told the outcome of each change.
	onJudged func(r record, accepted bool, offset int64)
}

func newTrack() *track {
	return &track{settled: true, digests: map[int64][sha256.Size]byte{}, onJudged: func(record, bool, int64) {}}
}

// skipTo notes that reading continues at first because the records before are gone.
func (t *track) skipTo(first int64) {
	t.read = first - 1
	t.held = nil
	if t.settled && t.judgedThrough >= t.read {
		return
	}
	t.settled = false
	t.gapFirst = first
	t.settle()
}

// settle starts judging again from the version in force if no record is missing
// between the offset up to which that version is known and the records read.
func (t *track) settle() {
	if t.settled || t.force.through < t.gapFirst-1 {
		return
	}
	t.settled = true
	t.judged, t.judgedThrough = t.force.version, t.force.through
	held := t.held
	t.held = nil
	for _, h := range held {
		t.change(h.offset, h.record)
	}
	t.passed(t.read)
}

// change applies a change record at offset.
func (t *track) change(offset int64, r record) {
	if !t.settled {
		if len(t.held) == maxHeld {
			t.held, t.gapFirst = nil, offset
		}
		t.held = append(t.held, heldChange{offset, r})
		return
	}
	if offset <= t.judgedThrough {
		return // A copy or a peer's offer has accounted for it.
	}
	b, err := bundle.Decode(r.Bundle)
	accepted := err == nil && r.Base == t.judged
	if accepted {
		t.judged = offset
		t.checkDigest(offset, r.Bundle)
		if offset > t.force.version {
			invar.Check(offset > t.force.through, "config: change %d accepted, but version %d is in force as of %d",
				offset, t.force.version, t.force.through)
			t.setForce(inForce{version: offset, through: offset, author: r.Author, data: r.Bundle, bundle: b})
		}
	}
	t.passed(offset)
	t.onJudged(r, accepted, offset)
}

// passed notes that all records up to offset have been judged.
func (t *track) passed(offset int64) {
	if !t.settled {
		return
	}
	t.judgedThrough = max(t.judgedThrough, offset)
	if t.judged == t.force.version {
		t.force.through = max(t.force.through, t.judgedThrough)
	}
	invar.Check(t.judged == t.force.version || t.judgedThrough < t.force.through,
		"config: version %d is in force as of offset %d, but the log gives %d as of %d",
		t.force.version, t.force.through, t.judged, t.judgedThrough)
}

// copied applies a copy record at offset. It has an effect only while the version is
// not settled: otherwise every change up to it has been judged. A copy from before
// the missing records settles nothing.
func (t *track) copied(offset int64, r record) error {
	if r.AsOf >= offset {
		return fmt.Errorf("%w: as of %d at offset %d", errCopy, r.AsOf, offset)
	}
	switch {
	case !t.settled && r.AsOf < t.gapFirst-1:
		return nil
	case !t.settled:
		if err := t.adopt(Offer{Version: r.Copied, Author: r.Author, Through: r.AsOf, Data: r.Bundle}); err != nil {
			return err
		}
	case r.Copied > t.force.version:
		return fmt.Errorf("%w: version %d, in force %d", errCopy, r.Copied, t.force.version)
	}
	t.checkDigest(r.Copied, r.Bundle)
	t.copyAsOf = max(t.copyAsOf, r.AsOf)
	return nil
}

// adopt takes a version from a copy or a peer. An older version is ignored.
func (t *track) adopt(o Offer) error {
	f := &t.force
	if o.Version < 1 || o.Through < o.Version {
		return fmt.Errorf("%w: version %d through %d", errOffer, o.Version, o.Through)
	}
	if o.Version < f.version && o.Through > f.through || o.Version > f.version && o.Through <= f.through {
		return fmt.Errorf("%w: version %d through %d, in force %d through %d",
			errOffer, o.Version, o.Through, f.version, f.through)
	}
	switch {
	case o.Version < f.version:
		return nil
	case o.Version == f.version:
		if len(o.Data) > 0 {
			t.checkDigest(o.Version, o.Data)
		}
		f.through = max(f.through, o.Through)
	default:
		b, err := bundle.Decode(o.Data)
		if err != nil {
			return fmt.Errorf("version %d: %w", o.Version, err)
		}
		t.checkDigest(o.Version, o.Data)
		t.setForce(inForce{version: o.Version, through: o.Through, author: o.Author, data: o.Data, bundle: b})
	}
	t.settle()
	return nil
}

// setForce is the only place where the version in force changes.
func (t *track) setForce(f inForce) {
	invar.Check(f.version > t.force.version, "config: version %d would revert to %d", t.force.version, f.version)
	t.force = f
}

// checkDigest asserts that a version always has the same bytes.
func (t *track) checkDigest(version int64, data []byte) {
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
