package server

import (
	"net/http"
	"strconv"

	"chivepost/share/target"
	"chivepost/stand/internal/serve"
)

// serveLoad handles GET /v1/load with a lagging report. As in all answers, the headers
// contain the current state.
func (t *Target) serveLoad(w http.ResponseWriter, r *http.Request) {
	if !t.checkReachable(w, r) {
		return
	}
	serve.WriteJSON(w, http.StatusOK, t.load())
}

// serveCacheEvents handles GET /v1/cache/events.
func (t *Target) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		serve.WriteError(w, http.StatusBadRequest, "query parameter from must be a number")
		return
	}
	if !t.checkReachable(w, r) {
		return
	}
	page := t.cache.Events(from)
	page.Boot = w.Header().Get(target.HeaderBoot)
	serve.WriteJSON(w, http.StatusOK, page)
}

// checkReachable waits for the link's delay both ways and sets the headers of all answers.
// It drops the connection of a disconnected sender, answers 500 for a fallen target and
// returns false if the handler has nothing more to do.
func (t *Target) checkReachable(w http.ResponseWriter, r *http.Request) bool {
	if sleep(r.Context(), 2*t.linkDelay(r)) != nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isCutOff(r) {
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
