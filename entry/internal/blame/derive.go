package blame

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

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
// Those that seem to have a cause in common with crashes without the part don't count, unless
// there are very many.
func (s *state) isSufficient(sus *suspect) bool {
	if !s.suffices(sus) {
		return false
	}
	if len(s.times(sus.crashes, nil)) >= occasionsDespiteOthers {
		return true
	}
	own := &suspect{part: sus.part, depth: sus.depth, crashes: s.ownCrashes(sus)}
	return len(own.crashes) == len(sus.crashes) || s.suffices(own)
}

// ownCrashes returns the crashes on a part around which few targets crashed without it.
func (s *state) ownCrashes(sus *suspect) map[uint64]bool {
	own := maps.Clone(sus.crashes)
	for crash := range sus.crashes {
		with, without := 0, 0
		for other := range s.unexplained {
			switch {
			case s.crashedAt[other].Sub(s.crashedAt[crash]).Abs() > commonCauseTime || s.byCrash[other][0].Service != sus.part.service:
			case sus.crashes[other]:
				with++
			default:
				without++
			}
		}
		if without >= minWithout && without*maxWithPerWithout > with {
			delete(own, crash)
		}
	}
	return own
}

// suffices reports whether the crashes on a part suffice if all of them count.
func (s *state) suffices(sus *suspect) bool {
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
	if times[len(times)-1].Sub(times[0]) < seriesTime && s.wasSound(sus.part) {
		needed += seriesExtra
	}
	return len(times) >= min(needed, maxOccasions)
}

// wasSound reports whether the latest complete answer on a part ended before the first crash
// on it, but not long before.
func (s *state) wasSound(p part) bool {
	at, wasAnswered := s.cleared[p]
	first := s.suspects[p]
	return wasAnswered && !at.After(first) && first.Sub(at) < trustDuration
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

// separate sorts times and returns those that are, up to ageError, at least occasionLength
// after the one returned before.
func separate(times []time.Time) []time.Time {
	slices.SortFunc(times, time.Time.Compare)
	var out []time.Time
	for _, t := range times {
		if len(out) == 0 || t.Sub(out[len(out)-1]) >= occasionLength-ageError {
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
