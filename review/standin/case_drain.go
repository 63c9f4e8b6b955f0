package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["drain"] = runDrain }

const (
	drainTime = 2500 * time.Millisecond // Bounds.DrainMs
	// longer is how long the engine serves after DrainMs: "and a little longer".
	longer   = 900 * time.Millisecond
	longWork = 300 * time.Millisecond
	// leavers is how many of the eight engines leave, one by one, and leaveEvery the number of
	// requests between two of them: 8 s.
	leavers    = 5
	leaveEvery = 200
)

// runDrain: engines leave one by one, as planned work, in a region with four hosts.
func runDrain(d *deployment) error {
	var mu sync.Mutex
	leftAt := map[string]time.Time{}
	cutRuns := map[string]bool{}
	handle := func(e *engine, w http.ResponseWriter, r *http.Request) {
		id := e.begin(w, r)
		mu.Lock()
		since := time.Duration(0)
		if at := leftAt[e.id]; !at.IsZero() {
			since = time.Since(at)
			cutRuns[id] = true
		}
		mu.Unlock()
		if since > drainTime {
			e.d.recordBreak("DRAIN: request %s reaches %s %s after the store has acknowledged that it is gone", id, e.id, since.Round(time.Millisecond))
		}
		time.Sleep(longWork)
		w.Header().Set("Content-Length", "4")
		_, _ = w.Write([]byte("done"))
	}
	for i := range 8 {
		if _, err := d.newEngine(fmt.Sprintf("ledger-%d", i+1), "ledger", zones[0], handle); err != nil {
			return err
		}
	}
	d.publish([]map[string]any{{
		"Name": "reserve", "Host": "review.example", "PathPrefix": "/reserve/", "Type": "unsafe", "TimeoutMs": 1200, "TargetLatencyMs": 400, "Priority": 0,
		"Service": "ledger", "MaxAttempts": 1, "Stages": []any{}, "Public": false, "Sticky": false, "Resumable": false, "AllowedRegions": []string{},
	}}, []map[string]any{{"Name": "ledger", "HealthPath": "/healthz", "MaxConnections": 110}})
	if err := d.startHostsIn(4, zones[:1]); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	var wait sync.WaitGroup
	ends := map[string]int{}
	for n := range 1200 {
		id := fmt.Sprintf("%016x", 0x9000+n)
		wait.Go(func() {
			status, _, err := d.send(d.hosts[n%len(d.hosts)], http.MethodPost, "/reserve/x", id, map[string]string{"Deadline-Ms": "2500"}, "booking")
			end := fmt.Sprintf("status %d", status)
			if err != nil {
				end = "cut"
			}
			mu.Lock()
			defer mu.Unlock()
			ends[end]++
			if end != "status 200" {
				d.record("client: request %s ends: %s (at the engine that left: %v)", id, end, cutRuns[id])
			}
		})
		if k := n/leaveEvery - 1; d.trouble && n%leaveEvery == 0 && k >= 0 && k < leavers {
			e := d.engines[k]
			e.leave()
			mu.Lock()
			leftAt[e.id] = time.Now()
			mu.Unlock()
			d.record("%s is removed from the store, and serves for %s more", e.id, drainTime+longer)
			time.AfterFunc(drainTime+longer, func() {
				d.record("%s exits", e.id)
				e.crash()
			})
		}
		time.Sleep(40 * time.Millisecond)
	}
	wait.Wait()
	d.record("ends of requests: %v", ends)
	if ends["status 200"] == 0 {
		return fmt.Errorf("no request was served")
	}
	return nil
}
