package blame

import (
	"math/rand/v2"
	"slices"
	"time"
)

// message is one datagram.
type message struct {
	_          struct{} `cbor:",toarray"`
	Records    []record
	Clearances []clearance
	WantsAll   bool // the sender has just started
}

func (m message) isEmpty() bool { return len(m.Records)+len(m.Clearances) == 0 && !m.WantsAll }

// newsItem is evidence that is still being sent.
type newsItem struct {
	record *record // nil: the clearance of part
	part   part
	rounds int // left
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
