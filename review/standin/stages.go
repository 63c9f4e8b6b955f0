package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// stageSpec is the Segments part of a service, as in the small sites.
type stageSpec struct {
	call, item time.Duration
	batch      int
}

const (
	stageQueue = 2
	handleTTL  = 4 * time.Second
)

func (s stageSpec) config() map[string]any {
	return map[string]any{
		"Slots": 1, "Queue": stageQueue, "Batch": s.batch, "CallMs": s.call.Milliseconds(), "ItemMs": s.item.Milliseconds(),
		"HeadroomMb": 32, "HandleTtlS": handleTTL.Seconds(), "LinkMbps": 10000,
	}
}

// stageHandler returns the handler of a stage engine. Its results are numbered from 1 in each
// process, and live until they are freed, until HandleTtlS is over or until the process ends.
func stageHandler(spec stageSpec) func(*engine, http.ResponseWriter, *http.Request) {
	var mu sync.Mutex
	slots := map[*http.Server]chan struct{}{}
	return func(e *engine, w http.ResponseWriter, r *http.Request) {
		var in struct {
			Items []struct {
				ID      string `json:"Id"`
				Stage   int
				Segment int
			}
			Handles []string
		}
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		e.mu.Lock()
		process, results := e.server, e.results
		e.mu.Unlock()
		if r.URL.Path == "/stage-free" {
			e.mu.Lock()
			defer e.mu.Unlock()
			for _, h := range in.Handles {
				delete(results, h)
			}
			return
		}
		mu.Lock()
		queue := slots[process]
		if queue == nil {
			queue = make(chan struct{}, 1+stageQueue)
			slots[process] = queue
		}
		mu.Unlock()
		select {
		case queue <- struct{}{}:
		default:
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer func() { <-queue }()
		e.work.Lock()
		time.Sleep(spec.call + time.Duration(len(in.Items))*spec.item)
		e.work.Unlock()
		type result struct{ Handle string }
		out := make([]result, len(in.Items))
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.server != process {
			return // the process has crashed
		}
		for i, item := range in.Items {
			e.made++
			h := fmt.Sprintf("%s/%x", e.address, e.made)
			results[h], out[i].Handle = item.ID, h
			e.d.record("%s makes %s for piece %d of stage %d of request %s", e.id, h, item.Segment, item.Stage, item.ID)
			time.AfterFunc(handleTTL, func() {
				e.mu.Lock()
				defer e.mu.Unlock()
				delete(results, h)
			})
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"Items": out})
	}
}

// fetch returns the request to which a result belongs that a stage engine holds now.
func (d *deployment) fetch(handle string) (request string, ok bool) {
	address, _, _ := strings.Cut(handle, "/")
	for _, e := range d.engines {
		if e.address == address {
			e.mu.Lock()
			defer e.mu.Unlock()
			request, ok = e.results[handle]
			return request, ok
		}
	}
	return "", false
}
