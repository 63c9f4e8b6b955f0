package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["twice"] = runTwice }

const (
	eventGap    = 290 * time.Millisecond // ItlTargetMs is 300
	slowFactor  = 8                      // srv_grey slow: "(x (8) times as long)"
	slowTime    = 6500 * time.Millisecond
	streamEvent = 14
	overlap     = 400 * time.Millisecond
)

// modelRun is the work of a model engine on a request.
type modelRun struct {
	engine      string
	began, last time.Time // last: the end, or the last moment at which it was seen at work
	from        int
	ended       bool
}

// runTwice: one of seven model engines takes eight times as long for some seconds.
func runTwice(d *deployment) error {
	var mu sync.Mutex
	runs := map[string][]*modelRun{}
	var slowFrom, slowTo time.Time
	factor := func(e *engine) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if now := time.Now(); e.id == "model-1" && now.After(slowFrom) && now.Before(slowTo) {
			return slowFactor
		}
		return 1
	}
	// The engine drops a request when it finds out that its channel is closed: by a failed write.
	handle := func(e *engine, w http.ResponseWriter, r *http.Request) {
		id := e.begin(w, r)
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		run := &modelRun{engine: e.id, began: time.Now(), last: time.Now(), from: from}
		mu.Lock()
		runs[id] = append(runs[id], run)
		mu.Unlock()
		e.d.record("%s begins request %s after event %d", e.id, id, from)
		w.Header().Set("Content-Type", "text/event-stream")
		end := "complete"
		for n := from + 1; n <= streamEvent; n++ {
			f := factor(e)
			time.Sleep(f * eventGap)
			mu.Lock()
			run.last = time.Now()
			mu.Unlock()
			if f > 1 {
				e.d.record("%s makes event %d of request %s", e.id, n, id)
			}
			_, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n)
			if err == nil {
				err = http.NewResponseController(w).Flush()
			}
			if err != nil {
				end = "dropped, its channel is closed"
				break
			}
		}
		mu.Lock()
		run.last, run.ended = time.Now(), true
		mu.Unlock()
		e.d.record("%s ends request %s: %s", e.id, id, end)
	}
	for i := range 7 {
		if _, err := d.newEngine(fmt.Sprintf("model-%d", i+1), "model", zones[i%3], handle); err != nil {
			return err
		}
	}
	d.publish([]map[string]any{{
		"Name": "answer", "Host": "review.example", "PathPrefix": "/answer/", "Type": "streaming", "TimeoutMs": 20000, "TargetLatencyMs": 3100, "Priority": 2,
		"Service": "model", "MaxAttempts": 2, "Stages": []any{}, "Public": false, "Sticky": true, "Resumable": true, "ItlTargetMs": 300, "AllowedRegions": []string{},
	}}, []map[string]any{{"Name": "model", "HealthPath": "/healthz", "MaxConnections": 370, "Engine": map[string]any{"Slots": 64, "KvCapacityTokens": 500000}}})
	if err := d.startHosts(3); err != nil {
		return err
	}
	var wait sync.WaitGroup
	ends := map[string]int{}
	for n := range 60 {
		id := fmt.Sprintf("%016x", 0xc000+n)
		wait.Go(func() {
			header := map[string]string{"Deadline-Ms": "20000", "Model": "m", "Token-Usage": "500,70", "Prefix-Hash": fmt.Sprintf("%x:100,%x:200", 1+n%5, 0x100+n)}
			status, body, err := d.send(d.hosts[n%3], http.MethodPost, "/answer/x", id, header, "question")
			end := fmt.Sprintf("status %d", status)
			if err != nil {
				end = "cut"
			}
			d.record("client: request %s ends: %s, %d events", id, end, strings.Count(body, "id:"))
			mu.Lock()
			defer mu.Unlock()
			ends[end]++
		})
		if d.trouble && n == 20 {
			mu.Lock()
			slowFrom, slowTo = time.Now(), time.Now().Add(slowTime)
			mu.Unlock()
			d.record("model-1 takes %d times as long for %s", slowFactor, slowTime)
		}
		time.Sleep(200 * time.Millisecond)
	}
	wait.Wait()
	time.Sleep(3 * time.Second)
	d.record("ends of requests: %v", ends)
	mu.Lock()
	defer mu.Unlock()
	for id, list := range runs {
		for i, next := range list[min(1, len(list)):] {
			before := list[i]
			if !before.ended {
				before.last = time.Now()
			}
			if late := before.last.Sub(next.began); late > overlap {
				d.recordBreak("TWICE: request %s goes on at %s after event %d, and %s still works on it %s later", id, next.engine, next.from, before.engine, late.Round(time.Millisecond))
			}
		}
	}
	if ends["status 200"] == 0 {
		return fmt.Errorf("no request was served")
	}
	return nil
}
