package server

import (
	"fmt"
	"net/http"
	"slices"

	"chivepost/share/target"
	"chivepost/stand/internal/serve"
)

// loaded is what orders have made of a target.
type loaded struct {
	Fence    uint64   `json:"fence"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
}

// order takes an order. A target that checks fences refuses one with a number below
// the highest that it has accepted; others take orders in any sequence.
func (t *Target) order(w http.ResponseWriter, r *http.Request) {
	var body target.Order
	if !serve.ReadJSON(w, r, &body) || !t.reachable(w, r) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.opts.Spec.ChecksFence && body.Fence < t.loaded.Fence {
		serve.WriteError(w, http.StatusConflict, fmt.Sprintf("fence %d is older than %d", body.Fence, t.loaded.Fence))
		return
	}
	if !t.carryOut(body) {
		serve.WriteError(w, http.StatusBadRequest, "want kind load, unload, version, adapter or role")
		return
	}
	t.loaded.Fence = max(t.loaded.Fence, body.Fence)
	serve.WriteJSON(w, http.StatusOK, t.loaded)
}

// carryOut changes what is loaded. Another model or version replaces the weights,
// so that the target turns cold; an adapter is loaded beside the model. The caller
// holds the lock.
func (t *Target) carryOut(o target.Order) bool {
	l := &t.loaded
	switch o.Kind {
	case target.OrderLoad:
		t.replace(&l.Model, o.Model)
	case target.OrderVersion:
		t.replace(&l.Version, o.Model)
	case target.OrderUnload:
		l.Model, l.Version, l.Adapters = "", "", nil
	case target.OrderAdapter:
		if !slices.Contains(l.Adapters, o.Model) {
			l.Adapters = append(l.Adapters, o.Model)
		}
	case target.OrderRole:
		l.Role = o.Model
	default:
		return false
	}
	return true
}

func (t *Target) replace(current *string, name string) {
	if *current == name {
		return
	}
	*current = name
	t.cache.Clear()
	t.setCold(true)
}
