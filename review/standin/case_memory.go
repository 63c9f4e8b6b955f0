package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["memory"] = runMemory }

const (
	memoryMB      = 284     // Limits.MemoryMb of a small site
	streamEvents  = 20      // 250 ms apart: 5 s of TimeoutMs 6,000
	bodyBytes     = 4000000 // MaxBodyBytes of the configuration is 4,194,304
	usualPerHost  = 7       // requests a second
	burstFactor   = 2.5     // the small site's largest burst is 2.6
	burstTime     = 7 * time.Second
	usualTime     = 8 * time.Second
	restartDelay  = 500 * time.Millisecond
	endsAllowed   = 2 // on each of two machines or more
	machinesAtAll = 2
)

// residentMB returns the resident memory of a process.
func residentMB(pid int) int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(data)) {
		if v, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(v)[0])
			return kb >> 10
		}
	}
	return 0
}

// runMemory: many users come at once, with long bodies that the configuration allows.
func runMemory(d *deployment) error {
	handle := func(e *engine, w http.ResponseWriter, r *http.Request) {
		id := e.begin(w, r)
		if n, err := io.Copy(io.Discard, r.Body); err != nil || n != bodyBytes {
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for n := 1; n <= streamEvents; n++ {
			time.Sleep(250 * time.Millisecond)
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
		}
	}
	for i := range 6 {
		if _, err := d.newEngine(fmt.Sprintf("model-%d", i+1), "model", zones[i%3], handle); err != nil {
			return err
		}
	}
	d.publish([]map[string]any{{
		"Name": "assess", "Host": "review.example", "PathPrefix": "/assess/", "Type": "streaming", "TimeoutMs": 6000, "TargetLatencyMs": 1100, "Priority": 0,
		"Service": "model", "MaxAttempts": 2, "Stages": []any{}, "Public": false, "Sticky": true, "Resumable": true, "ItlTargetMs": 300, "AllowedRegions": []string{},
	}}, []map[string]any{{"Name": "model", "HealthPath": "/healthz", "MaxConnections": 370, "Engine": map[string]any{"Slots": 64, "KvCapacityTokens": 500000}}})
	if err := d.startHosts(3); err != nil {
		return err
	}
	var mu sync.Mutex
	exceeded, peak := map[string]int{}, map[string]int{}
	done := make(chan struct{})
	var watch sync.WaitGroup
	for _, h := range d.hosts {
		watch.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(20 * time.Millisecond):
				}
				used := residentMB(h.cmd.Process.Pid)
				mu.Lock()
				peak[h.name] = max(peak[h.name], used)
				mu.Unlock()
				if used <= memoryMB {
					continue
				}
				d.record("%s uses %d MB, over its limit of %d MB, and is killed by the platform", h.name, used, memoryMB)
				_ = h.cmd.Process.Signal(syscall.SIGKILL)
				_ = h.cmd.Wait()
				mu.Lock()
				exceeded[h.name]++
				mu.Unlock()
				time.Sleep(restartDelay)
				if err := d.startHost(h, nil); err != nil {
					d.record("%s doesn't start: %v", h.name, err)
					return
				}
			}
		})
	}
	body := strings.Repeat("x", bodyBytes)
	ends := map[string]int{}
	var wait sync.WaitGroup
	n := 0
	load := func(rate float64, length time.Duration) {
		for began := time.Now(); time.Since(began) < length; n++ {
			id, h := fmt.Sprintf("%016x", 0xd000+n), d.hosts[n%len(d.hosts)]
			wait.Go(func() {
				header := map[string]string{"Deadline-Ms": "6000", "Model": "m", "Token-Usage": "2000,60", "Prefix-Hash": fmt.Sprintf("%x:100,%x:200", 1+n%5, 0x100+n)}
				status, answer, err := d.send(h, http.MethodPost, "/assess/x", id, header, body)
				end := fmt.Sprintf("status %d", status)
				if err != nil {
					end = "cut or refused a channel"
				} else if status == http.StatusOK && strings.Count(answer, "id:") != streamEvents {
					end = "incomplete"
				}
				mu.Lock()
				defer mu.Unlock()
				ends[end]++
			})
			time.Sleep(time.Duration(float64(time.Second) / rate / float64(len(d.hosts))))
		}
	}
	for range 4 {
		load(usualPerHost, usualTime)
		if d.trouble {
			d.record("%g times as many clients come for %s", burstFactor, burstTime)
			load(burstFactor*usualPerHost, burstTime)
		} else {
			load(usualPerHost, burstTime)
		}
	}
	wait.Wait()
	close(done)
	watch.Wait()
	d.record("ends of requests: %v; peak MB: %v; ends of processes: %v", ends, peak, exceeded)
	machines := 0
	for _, count := range exceeded {
		if count > endsAllowed {
			machines++
		}
	}
	if machines >= machinesAtAll {
		d.recordBreak("Fault: processes of %d machines ended by themselves more than %d times, memory over the limit: %v", machines, endsAllowed, exceeded)
	}
	if ends["status 200"] == 0 {
		return fmt.Errorf("no request was served")
	}
	return nil
}
