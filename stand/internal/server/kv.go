package server

import (
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"chivepost/share/target"
	"chivepost/stand/internal/serve"
)

const (
	// blockBytes is the size of the KV cache of one block: 16 tokens of an
	// 8-billion-parameter model with 128 KiB each.
	blockBytes = 16 * 128 << 10
	// blockTime is the time to read or write one block, at about 4 GB/s.
	blockTime = 500 * time.Microsecond
)

// exportKV returns the leading blocks of a prompt that are cached.
func (t *Target) exportKV(w http.ResponseWriter, r *http.Request) {
	var body target.KVExportRequest
	if !serve.ReadJSON(w, r, &body) || !t.checkReachable(w, r) {
		return
	}
	blocks := target.PrefixBlockHashes(body.Prompt)
	blocks = blocks[:t.cache.Match(blocks)]
	if sleep(r.Context(), time.Duration(len(blocks))*blockTime) != nil {
		return
	}
	serve.WriteJSON(w, http.StatusOK, target.KVCache{Blocks: blocks, Bytes: int64(len(blocks)) * blockBytes})
}

// importKV stores blocks that another engine exported, in order from the first one
// of the prompt.
func (t *Target) importKV(w http.ResponseWriter, r *http.Request) {
	var body target.KVCache
	if !serve.ReadJSON(w, r, &body) || !t.checkReachable(w, r) {
		return
	}
	if body.Bytes != int64(len(body.Blocks))*blockBytes {
		serve.WriteError(w, http.StatusBadRequest, "bytes don't match the number of blocks")
		return
	}
	if sleep(r.Context(), time.Duration(len(body.Blocks))*blockTime) != nil {
		return
	}
	t.cache.Use(body.Blocks)
	w.WriteHeader(http.StatusNoContent)
}

// cancelCall cancels the running completion with the call ID in the path, like a disconnect
// of its caller.
func (t *Target) cancelCall(w http.ResponseWriter, r *http.Request) {
	if !t.checkReachable(w, r) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	cancel, ok := t.cancels[mux.Vars(r)["id"]]
	if !ok {
		serve.WriteError(w, http.StatusNotFound, "no call with this id is running")
		return
	}
	cancel()
	w.WriteHeader(http.StatusNoContent)
}
