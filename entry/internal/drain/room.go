package drain

import (
	"cmp"
	"slices"
	"time"
)

const (
	// closeRatio is the part of MaxConns from which on idle connections are closed, so that
	// there is room while they linger.
	closeRatio = 0.875
	// closeBatchRatio is how many are closed at once at least, as a part of MaxConns, since
	// each selection looks at all connections. Selections are searchInterval apart.
	closeBatchRatio = 1.0 / 32
	searchInterval  = 10 * time.Millisecond
	// roomTimeout is how long a new connection waits for room before it is closed, and
	// maxRoomTimeout if others are about to make room. Later ones wait in the kernel meanwhile, in
	// the order of their arrival. roomInterval is the time between two attempts.
	roomTimeout    = 250 * time.Millisecond
	maxRoomTimeout = 3 * time.Second
	roomInterval   = 5 * time.Millisecond
	// Without idle connections, those make room that have sent the header of a request for
	// slowHeaderTime, or whose client has taken nothing of a response for slowWriteTime.
	slowHeaderTime = 200 * time.Millisecond
	slowWriteTime  = time.Second
	// minWaitTime is how long a connection must have waited for its client to be one of those that
	// may soon make room.
	minWaitTime = 50 * time.Millisecond
)

// makeRoom closes the connections that are of the least use if few more may be opened, and reports
// whether there is room for one.
func (s *Server) makeRoom() bool {
	if s.limits.MaxConns <= 0 {
		return true
	}
	began := time.Now()
	timeout := roomTimeout
	for {
		open, closing, longestIdle := s.selectIdle()
		for _, c := range longestIdle {
			c.closeIdle()
		}
		if open < s.limits.MaxConns || s.isClosing.Load() {
			return true
		}
		if open-closing-len(longestIdle) >= s.limits.MaxConns && s.endSlow() {
			timeout = maxRoomTimeout
		}
		if at := s.leaveAt.Load(); at != 0 && time.Now().UnixNano() >= at {
			return false
		}
		wait := time.NewTimer(roomInterval)
		select {
		case <-s.freed:
			wait.Stop()
		case <-wait.C:
			if time.Since(began) >= timeout {
				return false
			}
		}
	}
}

// endSlow ends connections that wait for their clients, and reports whether any makes room now or
// soon. Those that were just ended have roomInterval to close before others are.
func (s *Server) endSlow() bool {
	n := max(1, int(closeBatchRatio*float64(s.limits.MaxConns)))
	s.mu.Lock()
	isRoomDue, wasEnded := s.isRoomDue, time.Since(s.slowEnded) < roomInterval
	s.mu.Unlock()
	if wasEnded {
		return isRoomDue
	}
	slow, isRoomDue := s.selectSlow(n)
	for _, c := range slow {
		c.endSlow()
	}
	if n -= len(slow); n > 0 && s.limits.OnFull != nil && s.limits.OnFull(n) {
		isRoomDue = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowEnded, s.isRoomDue = time.Now(), isRoomDue
	return isRoomDue
}

// selectSlow returns up to n connections to end because they have waited for their clients for
// longest, and whether there are others that may soon be.
func (s *Server) selectSlow(n int) (slow []*conn, hasMore bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	waiting := map[*conn]time.Duration{}
	for c := range s.conns {
		wait, limit := c.waitTime(now)
		if wait < minWaitTime || c.isEnding.Load() {
			continue
		}
		hasMore = true
		if wait >= limit {
			slow, waiting[c] = append(slow, c), wait
		}
	}
	slices.SortFunc(slow, func(x, y *conn) int { return cmp.Compare(waiting[y], waiting[x]) })
	return slow[:min(n, len(slow))], hasMore
}

// selectIdle returns the number of open connections, how many of them are being closed as idle, and
// those to close because they have been idle for longest.
func (s *Server) selectIdle() (open, closing int, longestIdle []*conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	open = len(s.conns)
	excess := open + 1 - int(closeRatio*float64(s.limits.MaxConns))
	now := time.Now()
	if excess <= 0 || now.Sub(s.searched) < searchInterval && open < s.limits.MaxConns {
		return open, 0, nil
	}
	s.searched = now
	var idle []*conn
	for c := range s.conns {
		switch {
		case c.isClosing.Load():
			closing++
		case connState(c.state.Load()) == connIdle:
			idle = append(idle, c)
		}
	}
	if excess -= closing; excess <= 0 {
		return open, closing, nil
	}
	slices.SortFunc(idle, func(x, y *conn) int { return cmp.Compare(x.since.Load(), y.since.Load()) })
	excess = max(excess, int(closeBatchRatio*float64(s.limits.MaxConns)))
	return open, closing, idle[:min(excess, len(idle))]
}

// leaveRoomTime is how long connections wait for room once the host leaves.
const leaveRoomTime = 150 * time.Millisecond

// Leave gives the connections that wait for room that of all idle and slow ones, and ends the wait of
// later ones, before Shutdown closes the listeners. What waits to be accepted then would be reset, and
// callers have other hosts.
func (s *Server) Leave() {
	s.leaveAt.Store(time.Now().Add(leaveRoomTime).UnixNano())
	if s.limits.MaxConns <= 0 {
		return
	}
	s.mu.Lock()
	isFull := len(s.conns) >= s.limits.MaxConns
	var idle []*conn
	for c := range s.conns {
		if connState(c.state.Load()) == connIdle {
			idle = append(idle, c)
		}
	}
	s.mu.Unlock()
	if !isFull {
		return
	}
	slow, _ := s.selectSlow(s.limits.MaxConns)
	for _, c := range slow {
		c.endSlow()
	}
	for _, c := range idle {
		c.closeIdle()
	}
}
