package edge

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"chivepost/platform/wire"
)

// Guards against a stream that breaks off after its first event: the host asked a target without
// a first event to stop while that event was on its way, passed it on, and the target stopped.
func TestFirstEventThatCrossesTheRequestToStop(t *testing.T) {
	crossing := func(w net.Conn, r *http.Request) {
		// The host asks after 0.45 of the objective of one second.
		time.Sleep(470 * time.Millisecond)
		streamHead(w, r)
		chunk(w, "id: 1\ndata: one\n\n")
		time.Sleep(20 * time.Millisecond)
		_ = w.Close()
	}
	var resumed atomic.Int64
	sound := func(w net.Conn, r *http.Request) {
		if r.Header.Get(wire.HeaderLastEvent) != "" {
			resumed.Add(1)
		}
		streamHead(w, r)
		chunk(w, "id: 1\ndata: one\n\n")
		chunk(w, "id: 2\ndata: two\n\n")
		chunk(w, "")
	}
	h := startHost(t, fakeStages{}, crossing, sound)
	h.view.Config.Routes[2].Resumable = true
	for range 4 {
		got := h.send(t, "/stream/1", nil)
		if got.status != http.StatusOK || got.body != "id: 1\ndata: one\n\nid: 2\ndata: two\n\n" {
			t.Fatalf("status %d, body %q, want the whole stream of the sound target", got.status, got.body)
		}
	}
	if n := resumed.Load(); n > 0 {
		t.Errorf("%d streams begun by the target that stopped, want none: their stage results are freed", n)
	}
}
