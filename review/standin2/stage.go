package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// item is one piece of a stage call.
type item struct {
	ID             string `json:"Id"`
	Stage, Segment int
	RemainingMs    int64
	Key            string
	Inputs         []string
}

// call is one stage call that an engine got.
type stageCall struct {
	engine string
	items  []item
	at     time.Time
}

// answerStage answers the calls of a stage's engine: a piece gets a handle of its own.
func answerStage(e *engine, w http.ResponseWriter, r *http.Request, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Server-Load", "0,0,1")
	if r.URL.Path == "/stage-free" {
		_, _ = w.Write([]byte("{}"))
		return
	}
	var in struct{ Items []item }
	if r.URL.Path != "/stage-run" || json.Unmarshal(body, &in) != nil {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, it := range in.Items {
		e.rec.line("engine", "%s of stage service %s works on %s stage %d segment %d, key %q, inputs %s", e.id, e.service, it.ID, it.Stage, it.Segment, it.Key, strings.Join(it.Inputs, ","))
	}
	e.rec.mu.Lock()
	e.rec.calls = append(e.rec.calls, stageCall{e.id, in.Items, time.Now()})
	e.rec.mu.Unlock()
	time.Sleep(e.work)
	out := make([]map[string]string, len(in.Items))
	for i := range out {
		out[i] = map[string]string{"Handle": fmt.Sprintf("%s/%012x", e.address, rand.Uint64()>>16)}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"Items": out})
}

// answerStream answers with a stream of five events.
func answerStream(e *engine, w http.ResponseWriter, r *http.Request, _ []byte) {
	id := r.Header.Get("Attempt-Id")
	e.rec.run(id, e, r)
	e.rec.line("engine", "%s gets %s with inputs %q", e.id, id, r.Header.Get("Inputs"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Response-Signature", fmt.Sprintf("%s.%s", e.id, id))
	for n := 1; n <= 5; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, id)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

func stageServiceOf(name string) map[string]any {
	s := serviceOf(name)
	s["Segments"] = map[string]any{"Slots": 1, "Queue": 2, "Batch": 14, "CallMs": 60.0, "ItemMs": 5.0, "HeadroomMb": 32.0, "HandleTtlS": 4.0, "LinkMbps": 10000}
	return s
}
