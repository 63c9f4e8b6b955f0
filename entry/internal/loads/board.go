// Package loads tells the hosts of one data centre how many requests each of them has in
// flight at its targets, in datagrams of bounded size beside the rounds of gossip. What a
// host knows of the others is an estimate that is up to maxAge old; a host that hears
// nothing counts only its own requests.
package loads

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxAge is how long the counts of a host are used. With longer use more hosts are known,
	// by figures that more requests have changed since.
	maxAge = 1600 * time.Millisecond
	// maxTargets bounds the targets in one record. A host that has more in use tells the
	// fullest ones, which matter most to a choice.
	maxTargets = 24
	// relayed is the number of records of other hosts in a datagram. With two, prompts in
	// common queue a tenth less in the model, for 1.4 KB/s instead of 0.9 KB/s of each host.
	relayed = 1
	// maxRecords bounds the hosts whose records are kept: several times those of a data
	// centre of the largest deployment that is planned.
	maxRecords = 256
	// maxCount bounds the requests in flight that a host may report for one target.
	maxCount = 1 << 12
)

// Record is what one host has in flight at the targets of its data centre.
type Record struct {
	_           struct{} `cbor:",toarray"`
	Host        uint32   // as in heartbeats
	Incarnation uint32   // start of the host's process in Unix seconds
	Round       uint32   // increases with each record of the incarnation
	AgeMillis   uint16   // time since the host made the record
	Counts      []uint16 // pairs of the key of a target and the requests in flight there
}

// key identifies a target within a data centre. Two targets with the same key count as
// loaded with the requests of both, which is rare and makes only the choice less even.
func key(target string) uint16 { return uint16(xxhash.Sum64String(target)) }

// received is a record with the time at which it was made, by this host's clock.
type received struct {
	Record
	madeAt time.Time
}

// Board keeps the newest records of the other hosts. It is safe for concurrent use.
type Board struct {
	mu       sync.Mutex
	self     Record
	records  map[uint32]received
	byTarget map[uint16]float64 // sum of the counts of fresh records
	summedAt time.Time
}

// NewBoard returns an empty board of the host with an ID.
func NewBoard(host uint32, incarnation uint32) *Board {
	return &Board{self: Record{Host: host, Incarnation: incarnation}, records: map[uint32]received{}}
}

// Next returns the records of the next datagram: that of this host, with its requests in
// flight by target, and the newest of others.
func (b *Board) Next(inFlight map[string]int, now time.Time) []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.self.Round++
	b.self.Counts = encodeCounts(inFlight)
	out := []Record{b.self}
	newest := make([]received, 0, len(b.records))
	for _, r := range b.records {
		if now.Sub(r.madeAt) < maxAge/2 {
			newest = append(newest, r)
		}
	}
	slices.SortFunc(newest, func(x, y received) int {
		return cmp.Or(y.madeAt.Compare(x.madeAt), cmp.Compare(x.Host, y.Host))
	})
	for _, r := range newest[:min(relayed, len(newest))] {
		r.AgeMillis = uint16(max(now.Sub(r.madeAt).Milliseconds(), 0))
		out = append(out, r.Record)
	}
	return out
}

// encodeCounts returns the counts of the fullest targets.
func encodeCounts(inFlight map[string]int) []uint16 {
	targets := make([]string, 0, len(inFlight))
	for t, n := range inFlight {
		if n > 0 {
			targets = append(targets, t)
		}
	}
	slices.SortFunc(targets, func(x, y string) int {
		return cmp.Or(cmp.Compare(inFlight[y], inFlight[x]), cmp.Compare(x, y))
	})
	var out []uint16
	for _, t := range targets[:min(maxTargets, len(targets))] {
		out = append(out, key(t), uint16(min(inFlight[t], maxCount)))
	}
	return out
}

// Merge takes over the records of a datagram and returns how many were invalid.
func (b *Board) Merge(records []Record, now time.Time) (invalid int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range records[:min(len(records), relayed+1)] {
		if !r.isValid() {
			invalid++
			continue
		}
		known, isKnown := b.records[r.Host]
		madeAt := now.Add(-time.Duration(r.AgeMillis) * time.Millisecond)
		switch {
		case r.Host == b.self.Host || now.Sub(madeAt) >= maxAge:
		case isKnown && (r.Incarnation < known.Incarnation || r.Incarnation == known.Incarnation && r.Round <= known.Round):
		case !isKnown && len(b.records) >= maxRecords:
		default:
			b.records[r.Host] = received{Record: r, madeAt: madeAt}
		}
	}
	b.summedAt = time.Time{}
	return invalid
}

func (r Record) isValid() bool {
	if len(r.Counts)%2 != 0 || len(r.Counts) > 2*maxTargets {
		return false
	}
	for i := 1; i < len(r.Counts); i += 2 {
		if r.Counts[i] > maxCount {
			return false
		}
	}
	return true
}

// sumInterval is how long a sum is used while no record arrives.
const sumInterval = 50 * time.Millisecond

// InFlight returns how many requests the other hosts have in flight at a target by their
// newest records.
func (b *Board) InFlight(target string, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.summedAt.IsZero() || now.Sub(b.summedAt) >= sumInterval {
		b.sum(now)
	}
	return b.byTarget[key(target)]
}

// sum removes the records that are too old and adds up the others.
func (b *Board) sum(now time.Time) {
	b.summedAt, b.byTarget = now, map[uint16]float64{}
	for id, r := range b.records {
		if now.Sub(r.madeAt) >= maxAge {
			delete(b.records, id)
			continue
		}
		for i := 0; i < len(r.Counts); i += 2 {
			b.byTarget[r.Counts[i]] += float64(r.Counts[i+1])
		}
	}
}

// Hosts returns the number of other hosts whose records are fresh, and the mean age of
// these records.
func (b *Board) Hosts(now time.Time) (n int, age time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sum(now)
	for _, r := range b.records {
		age += now.Sub(r.madeAt)
	}
	return len(b.records), age / time.Duration(max(len(b.records), 1))
}
