package front

import (
	"context"
	"net/http"
	"sync"

	"chivepost/entry/internal/chain"
	"chivepost/share/apiv1"
)

// repeatFilter refuses an id that is in flight on this host with another body.
// Across hosts only claims detect that, since only they are shared.
type repeatFilter struct {
	mu   sync.Mutex
	open map[string]*openID
}

type openID struct {
	body  string
	count int
}

// NewConflictFilter returns the filter that detects one id with two bodies on this host.
func NewConflictFilter() chain.Filter { return &repeatFilter{open: map[string]*openID{}} }

// Name returns the filter's name.
func (f *repeatFilter) Name() string { return "repeat" }

// Handle passes req on unless its id is in flight with another body.
func (f *repeatFilter) Handle(ctx context.Context, req *chain.Request, next chain.Next) chain.Outcome {
	key := req.Account.Name + "\x00" + req.Body.ID
	body := req.Pipeline.Name() + "\x00" + req.Body.Input
	if !f.enter(key, body) {
		return chain.Refused(req.Body.ID, apiv1.ProblemConflict, http.StatusConflict, "the id is in flight with another body")
	}
	defer f.leave(key)
	return next(ctx, req)
}

func (f *repeatFilter) enter(key, body string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	o, ok := f.open[key]
	if !ok {
		f.open[key] = &openID{body: body, count: 1}
		return true
	}
	if o.body != body {
		return false
	}
	o.count++
	return true
}

func (f *repeatFilter) leave(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	o := f.open[key]
	o.count--
	if o.count == 0 {
		delete(f.open, key)
	}
}
