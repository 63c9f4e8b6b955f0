package server

import (
	"cmp"
	"net/http"
	"slices"
	"sync"

	"chivepost/share/target"
	"chivepost/stand/internal/serve"
)

// ledger counts executions by the ID of their work.
type ledger struct {
	mu     sync.Mutex
	counts map[string]int
}

// add counts an execution.
func (l *ledger) add(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[id]++
}

// ledgerID returns the ID under which a call is counted: that of the header, else that of
// the input, else the call's own.
func ledgerID(r *http.Request, input, id string) string {
	return cmp.Or(r.Header.Get(target.HeaderIdempotencyID), target.WorkID(input), id)
}

// Ledger returns the executions, sorted by ID.
func (t *Target) Ledger() target.Ledger {
	t.ledger.mu.Lock()
	defer t.ledger.mu.Unlock()
	out := target.Ledger{Entries: []target.LedgerEntry{}}
	for id, n := range t.ledger.counts {
		out.Entries = append(out.Entries, target.LedgerEntry{ID: id, Pool: t.opts.Spec.Pool, Count: n})
	}
	slices.SortFunc(out.Entries, func(a, b target.LedgerEntry) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (t *Target) serveLedger(w http.ResponseWriter, _ *http.Request) {
	serve.WriteJSON(w, http.StatusOK, t.Ledger())
}
