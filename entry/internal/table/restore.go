package table

import (
	"maps"
	"time"

	"chivepost/platform/feed"
	"chivepost/share/fleet"
)

// restoreHold is how long a data centre that is out stays out after the operators' records were
// first read in a new era of the store, if they don't name it. A store in trouble extends bounds
// by at most 8 s (SkewMaxMs): operators may need that once to notice that their record is gone,
// and once until it is written again.
const restoreHold = 16 * time.Second

// restoreState is what a State knows of the store's return from a copy. The era is the highest
// one known; offsets of an earlier one mean nothing.
type restoreState struct {
	era           feed.Era
	held          map[string]bool        // data centres that are out, though the records of the era don't name them
	heldOrders    map[string]fleet.Order // orders of roll-outs known before the restore and not written since
	copiedOrders  map[string]fleet.Order // those that the records of the era had when they were last read in full
	holdUntil     time.Time              // zero: no operators' records of a new era were read
	awaitsRecords bool                   // no operators' records of the new era were read
	awaitsTargets bool                   // the same for targets
	restarts      int                    // how often the offsets were dropped
}

// Era returns the highest era known, or 0.
func (s *State) Era() feed.Era { return s.era }

// LearnEra takes over an era of the store and reports whether it is a new one. The first one
// known isn't: what was read before may belong to it.
func (s *State) LearnEra(era feed.Era) bool {
	if era <= s.era {
		return false
	}
	isNew := s.era != 0
	s.era = era
	if isNew {
		s.Restart()
	}
	return isNew
}

// Restart drops the offsets, because the store was restored from a copy. What is known stays in
// force: the copy may lack the newest records. Data centres that are out are held, and so are
// orders of roll-outs: one that seems withdrawn would be rolled back for good.
func (s *State) Restart() {
	s.restarts++
	s.operatorOffset, s.targetsOffset = -1, -1
	s.awaitsRecords, s.awaitsTargets = true, true
	s.held, s.holdUntil = maps.Clone(s.out), time.Time{}
	s.heldOrders, s.copiedOrders = maps.Clone(s.orders), nil
	s.logger.Info("store restored from a copy, reading it anew", "era", s.era.Number(), "data_centres_out", len(s.out))
}

// isOutdated reports whether the offsets of a peer belong to an earlier era, or may do so.
func (s *State) isOutdated(era feed.Era) bool {
	return s.era.IsAfter(era) || era == 0 && s.era != 0 && s.restarts > 0
}

// startHold records that operators' records of the new era were read for the first time.
func (s *State) startHold(now time.Time) {
	if s.awaitsRecords {
		s.awaitsRecords, s.holdUntil = false, now.Add(restoreHold)
	}
}

// holdOrders puts the held orders back into force after the records were read in full.
func (s *State) holdOrders() {
	if len(s.heldOrders) == 0 {
		return
	}
	s.copiedOrders = maps.Clone(s.orders)
	maps.Copy(s.orders, s.heldOrders)
}

// EndHold brings back the data centres that are still held when the hold is over, lets the
// records decide on held orders, and reports whether there were any. It is called only when the
// operators' records have just been read.
func (s *State) EndHold(now time.Time) bool {
	if len(s.held) == 0 && len(s.heldOrders) == 0 || s.awaitsRecords || now.Before(s.holdUntil) {
		return false
	}
	for service, held := range s.heldOrders {
		order, isCopied := s.copiedOrders[service]
		if isCopied {
			s.orders[service] = order
		} else {
			delete(s.orders, service)
		}
		if !isCopied || order != held {
			s.logger.Info("hold of an order over", "service", service, "version", held.Target, "era", s.era.Number())
		}
	}
	s.heldOrders, s.copiedOrders = nil, nil
	for dc := range maps.Clone(s.held) {
		s.logger.Info("hold of a data centre over", "data_centre", dc, "era", s.era.Number())
		s.restore(dc, now)
	}
	return true
}

// holdOut holds data centres that a peer knows to be out from before the restore. Only a host
// that hasn't seen the restore itself needs it, because it started later. It reports whether
// anything changed.
func (s *State) holdOut(dcs []string, now time.Time) bool {
	if s.restarts > 0 || !s.holdUntil.IsZero() || s.operatorOffset < 0 {
		return false
	}
	for _, dc := range dcs {
		if !s.out[dc] {
			s.out[dc], s.held[dc], s.holdUntil = true, true, now.Add(restoreHold)
		}
	}
	return !s.holdUntil.IsZero()
}

// mergeHeld adds the held data centres to out, which a peer's snapshot names, and takes over
// which of those the peer holds. A peer that started after the restore may not know of a data
// centre that is held here.
func (s *State) mergeHeld(out map[string]bool, peerHolds []string, now time.Time) {
	confirmed := maps.Clone(out)
	for _, dc := range peerHolds {
		delete(confirmed, dc)
	}
	for dc := range s.held {
		if confirmed[dc] {
			delete(s.held, dc)
		}
		out[dc] = true
	}
	for _, dc := range peerHolds {
		if !s.out[dc] {
			s.held[dc] = true
		}
	}
	if len(s.held) > 0 && s.holdUntil.IsZero() {
		s.holdUntil = now.Add(restoreHold)
	}
}
