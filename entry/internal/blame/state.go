// Package blame attributes crashes of model targets to parts of prompts. A part that
// crashes each target that begins to write an answer on it is quarantined: requests with
// it are refused before they reach a further target.
//
// The hosts exchange evidence and each of them derives the quarantines from it. Evidence
// is a set that merges by union, in any order, and carries ages instead of times of day.
package blame

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

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
	// samePromptExtra is added if all crashes are those of one prompt, which may be a single
	// request that was sent again, and sameAddressExtra if all are those of targets at one
	// address, which may crash for reasons of its own.
	samePromptExtra  = 1
	sameAddressExtra = 2
	// occasionsPerExtra is the number of occasions without the part that adds one.
	occasionsPerExtra = 2
	// otherWindow is the time before the first crash on a part from which on they count.
	otherWindow = time.Minute
	// maxOccasions is the number that always suffices.
	maxOccasions = 5
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

// message is one datagram.
type message struct {
	_          struct{} `cbor:",toarray"`
	Records    []record
	Clearances []clearance
	WantsAll   bool // the sender has just started
}

func (m message) isEmpty() bool { return len(m.Records)+len(m.Clearances) == 0 && !m.WantsAll }

// quarantine is the state of a part that crashes targets.
type quarantine struct {
	crashes     int
	from, until time.Time
}

// isActive reports whether the quarantine has begun.
func (q quarantine) isActive(now time.Time) bool { return !now.Before(q.from) }

// newsItem is evidence that is still being sent.
type newsItem struct {
	record *record // nil: the clearance of part
	part   part
	rounds int // left
}

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

// suspect is a part with the crashes that nothing else explains.
type suspect struct {
	part    part
	depth   int // the lowest index of the part in a prompt
	crashes map[uint64]bool
}

// markStale records that there is new evidence.
func (s *state) markStale(now time.Time) {
	if s.staleSince.IsZero() {
		s.staleSince = now
	}
}

// refresh derives the quarantines if there is new evidence.
func (s *state) refresh(now time.Time) {
	if !s.staleSince.IsZero() && now.Sub(s.derivedAt) >= deriveInterval {
		s.derive(now)
	}
}

// derive determines the quarantined parts. It takes the part with the most crashes, or a
// more specific one of the same prompts if that explains nearly all of them, then
// disregards the crashes that are now explained, and so on.
func (s *state) derive(now time.Time) {
	foundAt := now
	if !s.staleSince.IsZero() {
		foundAt = s.staleSince
	}
	s.staleSince, s.derivedAt = time.Time{}, now
	suspects := map[part]*suspect{}
	clear(s.suspects)
	clear(s.unexplained)
	for crash := range s.crashedAt {
		s.unexplained[crash] = true
	}
	for _, r := range s.records {
		at := s.crashedAt[r.Crash]
		for _, id := range r.Parts {
			if first, ok := s.suspects[part{r.Service, id}]; !ok || at.Before(first) {
				s.suspects[part{r.Service, id}] = at
			}
		}
	}
	for _, r := range s.records {
		at := s.crashedAt[r.Crash]
		for i, id := range r.Parts {
			p := part{r.Service, id}
			if s.isTrusted(p, at) {
				continue
			}
			sus := suspects[p]
			if sus == nil {
				sus = &suspect{part: p, depth: i, crashes: map[uint64]bool{}}
				suspects[p] = sus
			}
			sus.depth = min(sus.depth, i)
			sus.crashes[r.Crash] = true
		}
	}
	found := map[part]quarantine{}
	take := func(sus *suspect) {
		found[sus.part] = s.hold(sus)
		delete(suspects, sus.part)
		for crash := range sus.crashes {
			delete(s.unexplained, crash)
		}
		for _, other := range suspects {
			if other.part.service == sus.part.service {
				for crash := range sus.crashes {
					delete(other.crashes, crash)
				}
			}
		}
	}
	for {
		sus := s.mostSuspicious(suspects)
		if sus == nil {
			break
		}
		take(sus)
	}
	// What crashes the targets of one service needs less evidence at another.
	for _, sus := range suspects {
		if len(sus.crashes) > 0 && isFoundElsewhere(found, sus.part) {
			found[sus.part] = s.hold(sus)
		}
	}
	for p, q := range found {
		if now.Sub(q.until) > window {
			delete(found, p)
			continue
		}
		if q.from = foundAt.Add(settleTime); s.quarantines[p].crashes > 0 {
			q.from = s.quarantines[p].from
		}
		found[p] = q
	}
	s.quarantines = found
	for p := range s.trials {
		if _, ok := found[p]; !ok {
			delete(s.trials, p)
		}
	}
}

func isFoundElsewhere(found map[part]quarantine, p part) bool {
	for q := range found {
		if q.id == p.id && q.service != p.service {
			return true
		}
	}
	return false
}

// mostSuspicious returns the next part to quarantine, or nil.
func (s *state) mostSuspicious(suspects map[part]*suspect) *suspect {
	var best *suspect
	for _, sus := range suspects {
		if s.isSufficient(sus) && (best == nil || compare(sus, best) < 0) {
			best = sus
		}
	}
	if best == nil {
		return nil
	}
	out := best
	seen := map[string]bool{}
	for crash := range best.crashes {
		for _, r := range s.byCrash[crash] {
			i := slices.Index(r.Parts, best.part.id)
			if i < 0 || r.Service != best.part.service {
				continue
			}
			for _, id := range r.Parts[i+1:] {
				sus := suspects[part{r.Service, id}]
				if seen[id] || sus == nil {
					continue
				}
				seen[id] = true
				if isMoreSpecific(sus, out) && s.isSufficient(sus) && len(s.occasions(best.part, best.crashes, sus.crashes)) <= 1 {
					out = sus
				}
			}
		}
	}
	return out
}

// compare orders suspects: most crashes first, then the most specific part.
func compare(a, b *suspect) int {
	return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(b.depth, a.depth), strings.Compare(a.part.service, b.part.service), strings.Compare(a.part.id, b.part.id))
}

// isSufficient reports whether the unexplained crashes on a part suffice to quarantine it.
func (s *state) isSufficient(sus *suspect) bool {
	if len(sus.crashes) < minOccasions {
		return false
	}
	times := s.times(sus.crashes, nil)
	if len(times) >= maxOccasions {
		return true
	}
	times = s.occasions(sus.part, sus.crashes, nil)
	if len(times) < minOccasions {
		_, wasAnswered := s.cleared[sus.part]
		return !wasAnswered && len(times) >= minOccasionsOfMany && len(sus.crashes) >= maxOccasions && len(s.otherCrashes(sus, times)) == 0
	}
	needed := minOccasions + s.otherOccasions(sus, times)/occasionsPerExtra
	onePrompt, oneAddress := s.spread(sus)
	if onePrompt {
		needed += samePromptExtra
	}
	if oneAddress {
		needed += sameAddressExtra
	}
	return len(times) >= min(needed, maxOccasions)
}

// spread reports whether one prompt has all crashes on a part, and whether all are those
// of targets at one address.
func (s *state) spread(sus *suspect) (onePrompt, oneAddress bool) {
	crashesByPrompt, addresses := map[uint32]int{}, map[uint32]bool{}
	for crash := range sus.crashes {
		prompts := map[uint32]bool{}
		for _, r := range s.byCrash[crash] {
			if r.Service == sus.part.service && slices.Contains(r.Parts, sus.part.id) {
				prompts[r.Own], addresses[r.Address] = true, true
			}
		}
		for own := range prompts {
			crashesByPrompt[own]++
			onePrompt = onePrompt || crashesByPrompt[own] == len(sus.crashes)
		}
	}
	return onePrompt, len(addresses) == 1
}

// otherOccasions returns the number of occasions at which targets of the service crashed
// without the part, from shortly before the first crash on it to the last.
func (s *state) otherOccasions(sus *suspect, times []time.Time) int {
	return len(separate(s.otherCrashes(sus, times)))
}

// otherCrashes returns the times of the crashes without the part that otherOccasions counts.
func (s *state) otherCrashes(sus *suspect, times []time.Time) []time.Time {
	var others []time.Time
	for crash := range s.unexplained {
		at := s.crashedAt[crash]
		if !sus.crashes[crash] && s.byCrash[crash][0].Service == sus.part.service && times[0].Sub(at) < otherWindow && at.Before(times[len(times)-1]) {
			others = append(others, at)
		}
	}
	return others
}

func isMoreSpecific(a, b *suspect) bool {
	return a.depth > b.depth || a.depth == b.depth && compare(a, b) < 0
}

// occasions returns the times of the crashes on a part, except some. Crashes within
// occasionLength of the first of them count once, unless one prompt has them: then each
// came after a send that the one before caused.
func (s *state) occasions(p part, crashes, except map[uint64]bool) []time.Time {
	out := s.times(crashes, except)
	if len(out) >= maxOccasions {
		return out
	}
	byPrompt := map[uint32][]time.Time{}
	for crash := range crashes {
		if except[crash] {
			continue
		}
		for _, r := range s.byCrash[crash] {
			if r.Service == p.service && slices.Contains(r.Parts, p.id) {
				byPrompt[r.Own] = append(byPrompt[r.Own], s.crashedAt[crash])
			}
		}
	}
	for _, times := range byPrompt {
		if len(times) > len(out) {
			slices.SortFunc(times, time.Time.Compare)
			out = times
		}
	}
	return out
}

// times returns the times of crashes, except some, that are at least occasionLength apart.
func (s *state) times(crashes, except map[uint64]bool) []time.Time {
	times := make([]time.Time, 0, len(crashes))
	for crash := range crashes {
		if !except[crash] {
			times = append(times, s.crashedAt[crash])
		}
	}
	return separate(times)
}

// separate sorts times and returns those that are at least occasionLength after the one
// returned before.
func separate(times []time.Time) []time.Time {
	slices.SortFunc(times, time.Time.Compare)
	var out []time.Time
	for _, t := range times {
		if len(out) == 0 || t.Sub(out[len(out)-1]) >= occasionLength {
			out = append(out, t)
		}
	}
	return out
}

// hold returns the quarantine that follows from the crashes on a part.
func (s *state) hold(sus *suspect) quarantine {
	q := quarantine{crashes: len(sus.crashes)}
	length := minHold
	times := s.occasions(sus.part, sus.crashes, nil)
	for _, t := range times[min(minOccasions, len(times))-1:] {
		switch {
		case q.until.IsZero():
			q.until = t.Add(length)
		case t.After(q.until):
			length = min(length*holdFactor, maxHold)
			q.until = t.Add(length)
		}
	}
	return q
}

// check reports whether a request must be refused, with the part that is the reason and
// the time after which to retry. If a quarantine has been held, the request may be a
// trial: rank returns the rank of this host for a key.
func (s *state) check(service string, parts []string, isTrial bool, rank func(key string) int, now time.Time) (verdict Verdict) {
	s.refresh(now)
	for _, id := range parts {
		p := part{service, id}
		q, ok := s.quarantines[p]
		switch {
		case !ok || !q.isActive(now):
		case now.Before(q.until):
			return Verdict{Part: id, RetryAfter: q.until.Sub(now)}
		case isTrial:
			verdict.IsTrial = true
		case now.Sub(s.trials[p]) < trialInterval || time.Duration(rank(id))*trialStagger > now.Sub(q.until):
			return Verdict{Part: id, RetryAfter: trialRetry}
		default:
			s.trials[p] = now
			verdict.IsTrial = true
		}
	}
	return verdict
}

// Verdict is the result of a check.
type Verdict struct {
	Part       string // quarantined, so that the request must be refused; "": none
	RetryAfter time.Duration
	IsTrial    bool // the request shows whether its part still crashes targets
}

// hasNews reports whether there is evidence that hasn't been sent yet.
func (s *state) hasNews() bool {
	return slices.ContainsFunc(s.news, func(r newsItem) bool { return r.rounds == newsRounds })
}

// nextRound returns what to send in a round. Nothing is sent if there is no news.
func (s *state) nextRound(now time.Time) message {
	var out message
	left := s.news[:0]
	for _, r := range s.news {
		if r.record != nil {
			if s.records[r.record.id] != r.record {
				continue
			}
			out.Records = append(out.Records, s.aged(r.record, now))
		} else {
			out.Clearances = append(out.Clearances, s.clearance(r.part, now))
		}
		if r.rounds--; r.rounds > 0 {
			left = append(left, r)
		}
	}
	s.news = left
	return out
}

func (s *state) aged(r *record, now time.Time) record {
	out := *r
	out.AgeMs = now.Sub(s.crashedAt[r.Crash]).Milliseconds()
	return out
}

func (s *state) clearance(p part, now time.Time) clearance {
	return clearance{Service: p.service, Part: p.id, AgeMs: now.Sub(s.cleared[p]).Milliseconds()}
}

// all returns up to n records, those of quarantined parts first and the others at
// random, with the clearances of their parts.
func (s *state) all(n int, now time.Time) message {
	var held, others []*record
	for _, r := range s.records {
		if s.isQuarantined(r) {
			held = append(held, r)
		} else {
			others = append(others, r)
		}
	}
	for _, list := range [][]*record{held, others} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	var out message
	seen := map[part]bool{}
	list := slices.Concat(held, others)
	for _, r := range list[:min(n, len(list))] {
		out.Records = append(out.Records, s.aged(r, now))
		for _, id := range r.Parts {
			p := part{r.Service, id}
			if _, ok := s.cleared[p]; ok && !seen[p] {
				seen[p] = true
				out.Clearances = append(out.Clearances, s.clearance(p, now))
			}
		}
	}
	return out
}
