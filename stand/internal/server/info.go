package server

import (
	"net/http"
	"strconv"

	"chivepost/share/target"
	"chivepost/stand/internal/serve"
)

// showLoad answers GET /v1/load with a lag. The headers carry the present state,
// as those of all answers do.
func (t *Target) showLoad(w http.ResponseWriter, r *http.Request) {
	if !t.reachable(w, r) {
		return
	}
	serve.WriteJSON(w, http.StatusOK, t.load())
}

func (t *Target) showCacheEvents(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		serve.WriteError(w, http.StatusBadRequest, "want from as a number")
		return
	}
	if !t.reachable(w, r) {
		return
	}
	page := t.cache.Events(from)
	page.Boot = w.Header().Get(target.HeaderBoot)
	serve.WriteJSON(w, http.StatusOK, page)
}

// reachable waits for the link's delay both ways, answers for a target that is
// down or fallen and otherwise sets the headers of all answers.
func (t *Target) reachable(w http.ResponseWriter, r *http.Request) bool {
	if sleep(r.Context(), 2*t.delay(r)) != nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cutOff(r) {
		serve.Drop()
	}
	w.Header().Set(target.HeaderState, string(t.state()))
	w.Header().Set(target.HeaderBoot, t.bootID())
	if t.fallen {
		serve.WriteError(w, http.StatusInternalServerError, errFallen.Error())
		return false
	}
	return true
}
