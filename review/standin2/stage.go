package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// item is one piece of a stage call.
type item struct {
	ID             string `json:"Id"`
	Stage, Segment int
	Key            string
	Inputs         []string
}

// piece identifies the piece of which a stage engine keeps a result.
type piece struct {
	request        string
	stage, segment int
}

// makers holds the results of stage engines. An engine numbers its results; it knows none of
// an earlier start, and its counts start anew.
type makers struct {
	mu      sync.Mutex
	results map[string]map[string]piece // by address and handle
	counts  map[string]int
}

func newMakers() *makers {
	return &makers{results: map[string]map[string]piece{}, counts: map[string]int{}}
}

// add keeps the result of a piece and returns its handle.
func (m *makers) add(address string, p piece) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.results[address] == nil {
		m.results[address] = map[string]piece{}
	}
	m.counts[address]++
	handle := fmt.Sprintf("%s/%x", address, m.counts[address])
	m.results[address][handle] = p
	return handle
}

// fetch returns the piece to which a result belongs, or false if its maker has none.
func (m *makers) fetch(handle string) (piece, bool) {
	address, _, _ := strings.Cut(handle, "/")
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.results[address][handle]
	return p, ok
}

func (m *makers) free(handles []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range handles {
		address, _, _ := strings.Cut(h, "/")
		delete(m.results[address], h)
	}
}

// forget drops all results of an engine that has ended.
func (m *makers) forget(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.results, address)
	delete(m.counts, address)
}

// answerStage answers calls of pieces and calls that free results.
func (m *makers) answerStage(e *engine, w http.ResponseWriter, r *http.Request, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Server-Load", "0,0,1")
	if r.URL.Path == "/stage-free" {
		var in struct{ Handles []string }
		if json.Unmarshal(body, &in) == nil {
			m.free(in.Handles)
		}
		_, _ = w.Write([]byte("{}"))
		return
	}
	var in struct{ Items []item }
	if r.URL.Path != "/stage-run" || json.Unmarshal(body, &in) != nil {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(e.work)
	out := make([]map[string]string, len(in.Items))
	for i, it := range in.Items {
		out[i] = map[string]string{"Handle": m.add(e.address, piece{it.ID, it.Stage, it.Segment})}
		e.rec.line("engine", "%s of %s makes %s for %s stage %d segment %d", e.id, e.service, out[i]["Handle"], it.ID, it.Stage, it.Segment)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"Items": out})
}

// answerStream fetches the inputs of a request and answers with a stream of five events. It
// answers 409 and runs nothing if an input is gone.
func (m *makers) answerStream(e *engine, w http.ResponseWriter, r *http.Request, _ []byte) {
	id := r.Header.Get("Attempt-Id")
	var foreign []string
	for h := range strings.SplitSeq(r.Header.Get("Inputs"), ",") {
		p, ok := m.fetch(h)
		if !ok {
			e.rec.line("engine", "%s answers 409 to %s: %s is gone", e.id, id, h)
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusConflict)
			return
		}
		if p.request != id {
			foreign = append(foreign, fmt.Sprintf("%s of %s", h, p.request))
		}
	}
	e.rec.run(id, e, r)
	if len(foreign) > 0 {
		e.rec.line("engine", "%s runs %s on inputs of another request: %s", e.id, id, strings.Join(foreign, ", "))
		e.rec.mu.Lock()
		e.rec.foreign = append(e.rec.foreign, id)
		e.rec.mu.Unlock()
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Response-Signature", fmt.Sprintf("%s.%s", e.id, id))
	for n := 1; n <= 5; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, id)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(10 * time.Millisecond)
	}
}

// stageServiceOf returns a stage's service as the operator writes it.
func stageServiceOf(name string, call time.Duration) map[string]any {
	s := serviceOf(name)
	s["Segments"] = map[string]any{"Slots": 1, "Queue": 2, "Batch": 14, "CallMs": call.Seconds() * 1000, "ItemMs": 1.0, "HeadroomMb": 32.0, "HandleTtlS": 4.0, "LinkMbps": 10000}
	return s
}
