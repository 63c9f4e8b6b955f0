package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["inputs"] = runInputs }

// runInputs: a stage engine crashes and starts again under its Id while requests wait for
// their other stage.
func runInputs(d *deployment) error {
	fast := stageSpec{call: 200 * time.Millisecond, item: 12 * time.Millisecond, batch: 14}
	heavy := stageSpec{call: 1500 * time.Millisecond, item: 12 * time.Millisecond, batch: 14}
	for i, z := range zones {
		if _, err := d.newEngine(fmt.Sprintf("fast-%d", i+1), "fast", z, stageHandler(fast)); err != nil {
			return err
		}
		if _, err := d.newEngine(fmt.Sprintf("heavy-%d", i+1), "heavy", z, stageHandler(heavy)); err != nil {
			return err
		}
		if _, err := d.newEngine(fmt.Sprintf("model-%d", i+1), "model", z, serveModel); err != nil {
			return err
		}
	}
	stage := func(service string) map[string]any {
		return map[string]any{"Service": service, "After": []int{}, "ByteSize": 8000}
	}
	d.publish([]map[string]any{{
		"Name": "answer", "Host": "review.example", "PathPrefix": "/answer/", "Type": "streaming", "TimeoutMs": 6000, "TargetLatencyMs": 2500, "Priority": 0,
		"Service": "model", "MaxAttempts": 2, "Stages": []any{stage("fast"), stage("heavy")}, "Public": false, "Sticky": false, "Resumable": true, "ItlTargetMs": 300,
		"AllowedRegions": []string{},
	}}, []map[string]any{
		{"Name": "fast", "HealthPath": "/healthz", "MaxConnections": 370, "Segments": fast.config()},
		{"Name": "heavy", "HealthPath": "/healthz", "MaxConnections": 370, "Segments": heavy.config()},
		{"Name": "model", "HealthPath": "/healthz", "MaxConnections": 370, "Engine": map[string]any{"Slots": 64, "KvCapacityTokens": 500000}},
	})
	if err := d.startHosts(3); err != nil {
		return err
	}
	var wait sync.WaitGroup
	ends := map[string]int{}
	var mu sync.Mutex
	began := time.Now()
	for n := 0; time.Since(began) < 12*time.Second; n++ {
		id := fmt.Sprintf("%016x", 0xa000+n)
		chunks := []string{"1,1", "2,1", "3,1"}[n%3]
		wait.Go(func() {
			header := map[string]string{"Deadline-Ms": "6000", "Chunks": chunks, "Chunk-Key": "key-" + id, "Model": "m", "Token-Usage": "1000,40"}
			status, body, err := d.send(d.hosts[n%len(d.hosts)], http.MethodPost, "/answer/x", id, header, "question "+id)
			end := fmt.Sprintf("status %d", status)
			if err != nil {
				end = "cut: " + err.Error()
			}
			d.record("client: request %s ends: %s, %d events", id, end, strings.Count(body, "id:"))
			mu.Lock()
			defer mu.Unlock()
			ends[end]++
		})
		if d.trouble && n == 20 {
			e := d.engines[0]
			d.record("%s crashes", e.id)
			e.crash()
			time.Sleep(400 * time.Millisecond)
			if err := e.restart(); err != nil {
				return err
			}
			d.record("%s has started again under its Id", e.id)
		}
		time.Sleep(60 * time.Millisecond)
	}
	wait.Wait()
	d.record("ends of requests: %v", ends)
	if ends["status 200"] == 0 {
		return fmt.Errorf("no request was served")
	}
	return nil
}

// serveModel fetches the inputs of a request from their makers and answers with a stream.
func serveModel(e *engine, w http.ResponseWriter, r *http.Request) {
	id := e.begin(w, r)
	inputs := strings.Split(r.Header.Get("Inputs"), ",")
	var foreign []string
	for _, h := range inputs {
		owner, ok := e.d.fetch(h)
		if !ok {
			e.d.record("%s: request %s names input %s, which is gone", e.id, id, h)
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusConflict)
			return
		}
		if owner != id {
			foreign = append(foreign, h+" of request "+owner)
		}
	}
	if len(foreign) > 0 {
		e.d.recordBreak("MIXED: %s runs request %s with inputs of other requests: %s", e.id, id, strings.Join(foreign, ", "))
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= 3; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(30 * time.Millisecond)
	}
}
