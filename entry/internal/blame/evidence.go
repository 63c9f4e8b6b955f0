package blame

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

// record is a broken answer: a target crashed while the request waited for an answer or
// had only begun to receive one.
type record struct {
	_       struct{} `cbor:",toarray"`
	Crash   uint64   // identifies the incarnation of the target
	AgeMs   int64    // only in datagrams
	Service string
	Parts   []string // in order, without the last part of the prompt
	Own     uint32   // identifies the last part, which belongs to the request or its session
	Address uint32   // identifies the address of the target

	id string
}

// clearance is a complete answer on a part with a crash. It may have ended before the crash.
type clearance struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Part    string
	AgeMs   int64 // only in datagrams
}

// crashID identifies the crash of an incarnation of a target.
func crashID(target string, startMillis int64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(target)) // hash.Hash never returns an error
	_, _ = h.Write(binary.BigEndian.AppendUint64([]byte{0}, uint64(startMillis)))
	return h.Sum64()
}

// shortID identifies the last part of a prompt or an address.
func shortID(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // hash.Hash never returns an error
	return h.Sum32()
}

// Broken is a broken answer: the target crashed while the request waited for its answer or
// had only begun to receive it.
type Broken struct {
	Service     string
	Target      string
	Address     string
	StartMillis int64    // of the target's incarnation
	Parts       []string // of the prompt, in order, without the last
	Own         string   // the last part, which belongs to the request or its session
}

// recordBroken adds a broken answer of this host.
func (s *state) recordBroken(b Broken, now time.Time) {
	r := record{Crash: crashID(b.Target, b.StartMillis), Service: b.Service, Parts: b.Parts, Own: shortID(b.Own), Address: shortID(b.Address)}
	if s.add(r, now) {
		s.markStale(now)
		s.refresh(now)
	}
}

// recordComplete adds a complete answer of this host.
func (s *state) recordComplete(service string, parts []string, now time.Time) {
	if now.Sub(s.rotatedAt) > trustDuration || len(s.completed) >= maxCompleted {
		s.completedBefore, s.completed, s.rotatedAt = s.completed, map[part]time.Time{}, now
	}
	changed := false
	for _, id := range parts {
		p := part{service, id}
		s.completed[p] = now
		if first, ok := s.suspects[p]; ok && first.Before(now) {
			changed = s.clear(p, now) || changed
		}
	}
	if changed {
		s.markStale(now)
	}
	s.refresh(now)
}

// completedAt returns when this host last relayed a complete answer on a part.
func (s *state) completedAt(p part) time.Time {
	if t, ok := s.completed[p]; ok {
		return t
	}
	return s.completedBefore[p]
}

// merge adds the evidence of another host.
func (s *state) merge(msg message, now time.Time) {
	changed := false
	for _, r := range msg.Records {
		changed = s.add(r, now.Add(-age(r.AgeMs))) || changed
	}
	for _, c := range msg.Clearances {
		changed = s.clear(part{c.Service, c.Part}, now.Add(-age(c.AgeMs))) || changed
	}
	if changed {
		s.markStale(now)
	}
	s.refresh(now)
}

// age returns the age in a datagram, within bounds.
func age(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), (window+2*maxHold).Milliseconds())) * time.Millisecond
}

// add adds a record and reports whether it is new or changes the time of a crash.
func (s *state) add(r record, at time.Time) bool {
	if len(r.Parts) == 0 || len(r.Parts) > maxParts || len(r.Service) > maxNameBytes ||
		slices.ContainsFunc(r.Parts, func(id string) bool { return len(id) > maxNameBytes }) {
		return false
	}
	known, isKnown := s.crashedAt[r.Crash]
	isEarlier := !isKnown || at.Before(known)
	r.id = string(binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint64(nil, r.Crash), r.Own)) + r.Service + "\x00" + strings.Join(r.Parts, "\x00")
	if s.records[r.id] != nil {
		if isEarlier {
			s.crashedAt[r.Crash] = at
		}
		return isEarlier
	}
	if len(s.byCrash[r.Crash]) >= maxRecordsPerCrash {
		return false
	}
	if isEarlier {
		s.crashedAt[r.Crash] = at
	}
	s.records[r.id] = &r
	s.byCrash[r.Crash] = append(s.byCrash[r.Crash], &r)
	s.news = append(s.news, newsItem{record: &r, rounds: newsRounds})
	for _, id := range r.Parts {
		p := part{r.Service, id}
		if first, ok := s.suspects[p]; !ok || s.crashedAt[r.Crash].Before(first) {
			s.suspects[p] = s.crashedAt[r.Crash]
		}
		if done := s.completedAt(p); !done.IsZero() && !s.isTrusted(p, s.crashedAt[r.Crash]) {
			s.clear(p, done)
		}
	}
	s.limit()
	return true
}

// clear records a complete answer on a part and reports whether it is news.
func (s *state) clear(p part, at time.Time) bool {
	known, interval := s.cleared[p], clearInterval
	if first, ok := s.suspects[p]; ok && !known.After(first) {
		if interval = priorTrust / 4; at.After(first) {
			interval = 0
		}
	}
	if len(p.service) > maxNameBytes || len(p.id) > maxNameBytes || at.Sub(known) <= interval {
		return false
	}
	s.cleared[p] = at
	if len(s.cleared) > maxClears {
		s.limit()
	}
	s.news = append(s.news, newsItem{part: p, rounds: newsRounds})
	return true
}

// isTrusted reports whether a part counts as sound at the time of a crash, because of a
// complete answer that ended later or not long before.
func (s *state) isTrusted(p part, crash time.Time) bool {
	at, ok := s.cleared[p]
	if first, isSuspect := s.suspects[p]; isSuspect && !at.After(first) {
		return ok && crash.Before(at.Add(priorTrust))
	}
	return ok && crash.Before(at.Add(trustDuration))
}

// isQuarantined reports whether one of the record's parts is quarantined.
func (s *state) isQuarantined(r *record) bool {
	return slices.ContainsFunc(r.Parts, func(id string) bool {
		_, ok := s.quarantines[part{r.Service, id}]
		return ok
	})
}

// expire forgets old evidence, and the least useful evidence above the limits.
func (s *state) expire(now time.Time) {
	changed := false
	for p, q := range s.quarantines {
		if now.Sub(q.until) > window {
			delete(s.quarantines, p)
			delete(s.trials, p)
			changed = true
		}
	}
	for crash, at := range s.crashedAt {
		if now.Sub(at) > window && !slices.ContainsFunc(s.byCrash[crash], s.isQuarantined) {
			s.forget(crash)
			changed = true
		}
	}
	for p, at := range s.cleared {
		if now.Sub(at) > window+trustDuration {
			delete(s.cleared, p)
		}
	}
	if changed {
		s.markStale(now)
	}
	s.refresh(now)
}

func (s *state) forget(crash uint64) {
	for _, r := range s.byCrash[crash] {
		delete(s.records, r.id)
	}
	delete(s.byCrash, crash)
	delete(s.crashedAt, crash)
}

// limit removes the oldest evidence above the limits, that of quarantined parts last.
func (s *state) limit() {
	for len(s.crashedAt) > maxCrashes {
		var oldest uint64
		var oldestAt time.Time
		oldestHeld := true
		for crash, at := range s.crashedAt {
			held := slices.ContainsFunc(s.byCrash[crash], s.isQuarantined)
			if oldestAt.IsZero() || oldestHeld && !held || held == oldestHeld && at.Before(oldestAt) {
				oldest, oldestAt, oldestHeld = crash, at, held
			}
		}
		s.forget(oldest)
		evictedCount.Add(1)
	}
	for len(s.cleared) > maxClears {
		var oldest part
		for p, at := range s.cleared {
			if oldest == (part{}) || at.Before(s.cleared[oldest]) {
				oldest = p
			}
		}
		delete(s.cleared, oldest)
	}
}
