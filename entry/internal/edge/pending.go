package edge

import (
	"sync"
	"sync/atomic"
	"time"
)

// phase is how far a request has come.
type phase int32

const (
	phaseHead   phase = iota // its head and body are read
	phaseStages              // its stages run
	phaseTarget              // it is sent to targets
	phaseAnswer              // the head of the response is written
)

func (p phase) String() string { return [...]string{"head", "stages", "target", "answer"}[p] }

// pending holds the requests in progress.
type pending struct {
	mu    sync.Mutex
	calls map[*call]struct{}
	count atomic.Int64
}

// add adds a request. The returned function removes it.
func (p *pending) add(c *call) (remove func()) {
	p.count.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[c] = struct{}{}
	return func() {
		p.count.Add(-1)
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.calls, c)
	}
}

// LogPending logs and counts each request in progress, for a process that is about to end.
func (h *Handler) LogPending() {
	h.pending.mu.Lock()
	defer h.pending.mu.Unlock()
	for c := range h.pending.calls {
		abandonedCount.Add(1)
		h.logger.Info("request abandoned", "id", c.id, "phase", phase(c.phase.Load()).String(), "took", time.Since(c.start).Round(time.Millisecond).String(),
			"leaving_for", c.leavingFor.Round(time.Millisecond).String())
	}
}

// setPhase records how far the request has come, unless the response has begun.
func (c *call) setPhase(p phase) {
	if !c.headWritten {
		c.phase.Store(int32(p))
	}
}
