package server

import (
	"fmt"
	"net/http"
	"slices"

	"chivepost/share/target"
	"chivepost/stand/internal/serve"
)

// loadedState is the state that orders have set.
type loadedState struct {
	Fence    uint64   `json:"fence"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
}

// serveOrder handles POST /v1/orders. A target that checks fences refuses an order whose
// fence is below the highest that it has accepted; others accept orders in any sequence.
func (t *Target) serveOrder(w http.ResponseWriter, r *http.Request) {
	var body target.Order
	if !serve.ReadJSON(w, r, &body) || !t.checkReachable(w, r) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.opts.Spec.ChecksFence && body.Fence < t.loaded.Fence {
		serve.WriteError(w, http.StatusConflict, fmt.Sprintf("fence %d is lower than %d", body.Fence, t.loaded.Fence))
		return
	}
	if !t.execute(body) {
		serve.WriteError(w, http.StatusBadRequest, "kind must be load, unload, version, adapter or role")
		return
	}
	t.loaded.Fence = max(t.loaded.Fence, body.Fence)
	serve.WriteJSON(w, http.StatusOK, t.loaded)
}

// execute executes an order and reports whether its kind is known. Another model or version
// replaces the weights, so that the target turns cold; an adapter is loaded in addition to
// the model. The caller holds the lock.
func (t *Target) execute(o target.Order) bool {
	l := &t.loaded
	switch o.Kind {
	case target.OrderLoad:
		t.replaceWeights(&l.Model, o.Model)
	case target.OrderVersion:
		t.replaceWeights(&l.Version, o.Model)
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

// replaceWeights sets a model or version and, if it differs, clears the cache and turns the
// target cold. The caller holds the lock.
func (t *Target) replaceWeights(current *string, name string) {
	if *current == name {
		return
	}
	*current = name
	t.cache.Clear()
	t.setCold(true)
}
