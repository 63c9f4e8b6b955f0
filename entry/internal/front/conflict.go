package front

import (
	"context"
	"net/http"
	"sync"

	"chivepost/entry/internal/chain"
	"chivepost/share/apiv1"
)

// conflictFilter refuses a request whose ID is in flight on this host with another
// body. Conflicts between hosts are detected by claims only, which all hosts share.
type conflictFilter struct {
	mu     sync.Mutex
	active map[string]*activeID
}

// activeID is a request ID in flight.
type activeID struct {
	body  string
	count int // requests in flight
}

// NewConflictFilter returns the filter that refuses a second body for an ID in flight.
func NewConflictFilter() chain.Filter { return &conflictFilter{active: map[string]*activeID{}} }

// Name returns the filter's name.
func (f *conflictFilter) Name() string { return "repeat" }

// Handle passes req on unless its ID is in flight with another body.
func (f *conflictFilter) Handle(ctx context.Context, req *chain.Request, next chain.Next) chain.Outcome {
	key := req.Account.Name + "\x00" + req.Body.ID
	body := req.Pipeline.Name() + "\x00" + req.Body.Input
	if !f.begin(key, body) {
		return chain.Refused(req.Body.ID, apiv1.ProblemIDConflict, http.StatusConflict, "the id is in flight with another body")
	}
	defer f.end(key)
	return next(ctx, req)
}

func (f *conflictFilter) begin(key, body string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	id, ok := f.active[key]
	if !ok {
		f.active[key] = &activeID{body: body, count: 1}
		return true
	}
	if id.body != body {
		return false
	}
	id.count++
	return true
}

func (f *conflictFilter) end(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := f.active[key]
	id.count--
	if id.count == 0 {
		delete(f.active, key)
	}
}
