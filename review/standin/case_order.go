package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["order"] = runOrder }

const (
	greyShare  = 0.45 // srv_grey of the small site: x = 0.45, for one engine of seven (share 0.15)
	greyTime   = 6500 * time.Millisecond
	greyStatus = http.StatusTooManyRequests // without Not-Executed: the request may have run
)

// runOrder: one of seven model engines crashes while another one of its zone fails part of its
// requests.
func runOrder(d *deployment) error {
	const events = 20
	random := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	var greyTo time.Time
	isGrey := func(e *engine) bool {
		mu.Lock()
		defer mu.Unlock()
		return e.id == "model-4" && time.Now().Before(greyTo) && random.Float64() < greyShare
	}
	handle := func(e *engine, w http.ResponseWriter, r *http.Request) {
		id := e.begin(w, r)
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		if isGrey(e) {
			e.d.record("%s fails request %s, which goes on after event %d, with status %d", e.id, id, from, greyStatus)
			w.Header().Set("Content-Length", "0")
			w.WriteHeader(greyStatus)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for n := from + 1; n <= events; n++ {
			time.Sleep(150 * time.Millisecond)
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n); err != nil || http.NewResponseController(w).Flush() != nil {
				return
			}
		}
	}
	for i := range 7 {
		if _, err := d.newEngine(fmt.Sprintf("model-%d", i+1), "model", zones[i%3], handle); err != nil {
			return err
		}
	}
	d.publish([]map[string]any{{
		"Name": "answer", "Host": "review.example", "PathPrefix": "/answer/", "Type": "streaming", "TimeoutMs": 20000, "TargetLatencyMs": 3100, "Priority": 2,
		"Service": "model", "MaxAttempts": 2, "Stages": []any{}, "Public": false, "Sticky": false, "Resumable": true, "ItlTargetMs": 300, "AllowedRegions": []string{},
	}}, []map[string]any{{"Name": "model", "HealthPath": "/healthz", "MaxConnections": 370, "Engine": map[string]any{"Slots": 64, "KvCapacityTokens": 500000}}})
	if err := d.startHosts(3); err != nil {
		return err
	}
	var wait sync.WaitGroup
	ends := map[string]int{}
	for n := range 200 {
		id := fmt.Sprintf("%016x", 0xf000+n)
		wait.Go(func() {
			status, body, err := d.send(d.hosts[n%3], http.MethodPost, "/answer/x", id, map[string]string{"Deadline-Ms": "20000", "Model": "m", "Token-Usage": "500,100"}, "question")
			got := strings.Count(body, "id:")
			end := fmt.Sprintf("status %d", status)
			if err != nil {
				end = "cut"
			} else if status == http.StatusOK && got < events {
				end = "too short, seemingly complete"
				d.recordBreak("ORDER: the stream of request %s ends as complete after %d of %d events", id, got, events)
			}
			mu.Lock()
			defer mu.Unlock()
			ends[end]++
		})
		if d.trouble && n == 60 {
			mu.Lock()
			greyTo = time.Now().Add(greyTime)
			mu.Unlock()
			d.record("model-4 fails %g of its requests for %s", greyShare, greyTime)
		}
		if d.trouble && n == 100 {
			d.record("model-1 crashes")
			d.engines[0].crash()
		}
		time.Sleep(50 * time.Millisecond)
	}
	wait.Wait()
	d.record("ends of requests: %v", ends)
	if ends["status 200"] == 0 {
		return fmt.Errorf("no request was served")
	}
	return nil
}
