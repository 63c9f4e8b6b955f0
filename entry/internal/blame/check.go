package blame

import "time"

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
