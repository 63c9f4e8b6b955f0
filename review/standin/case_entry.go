package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["entry"] = runEntry }

// runEntry: another writer leaves an entry under the Id of an engine in which ColdRemainingMs is
// missing and which names another service.
func runEntry(d *deployment) error {
	allowed := map[string]string{"/reserve/": "ledger", "/lookup/": "catalogue"}
	handle := servePlain(func(e *engine, id string, r *http.Request) {
		for prefix, service := range allowed {
			if strings.HasPrefix(r.URL.Path, prefix) && e.service != service {
				e.d.recordBreak("ROUTE: %s of service %s runs request %s (%s %s), which only %s may run", e.id, e.service, id, r.Method, r.URL.Path, service)
				return
			}
		}
		e.d.record("%s runs %s (%s)", e.id, id, r.URL.Path)
	})
	for _, service := range []string{"ledger", "catalogue"} {
		for i, z := range zones {
			if _, err := d.newEngine(fmt.Sprintf("%s-%d", service, i+1), service, z, handle); err != nil {
				return err
			}
		}
	}
	route := func(name, kind, service string) map[string]any {
		return map[string]any{
			"Name": name, "Host": "review.example", "PathPrefix": "/" + name + "/", "Type": kind, "TimeoutMs": 1200, "TargetLatencyMs": 250, "Priority": 0,
			"Service": service, "MaxAttempts": 1, "Stages": []any{}, "Public": false, "Sticky": false, "Resumable": false, "AllowedRegions": []string{},
		}
	}
	d.publish([]map[string]any{route("reserve", "unsafe", "ledger"), route("lookup", "safe", "catalogue")}, []map[string]any{
		{"Name": "ledger", "HealthPath": "/healthz", "MaxConnections": 110}, {"Name": "catalogue", "HealthPath": "/healthz", "MaxConnections": 110},
	})
	if err := d.startHosts(3); err != nil {
		return err
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	ends := map[string]int{}
	for n := range 300 {
		id := fmt.Sprintf("%016x", 0xb000+n)
		wait.Go(func() {
			method, path, service := http.MethodPost, "/reserve/x", "ledger"
			if n/3%3 == 0 {
				method, path, service = http.MethodGet, "/lookup/x", "catalogue"
			}
			status, body, err := d.send(d.hosts[n%len(d.hosts)], method, path, id, map[string]string{"Deadline-Ms": "2500"}, "")
			end := fmt.Sprintf("status %d", status)
			if err != nil {
				end = "cut"
			} else if status == http.StatusOK && !strings.HasPrefix(body, service+" ") {
				end = "a success of another service"
				d.record("client: request %s (%s) gets %q", id, path, body)
			}
			mu.Lock()
			defer mu.Unlock()
			ends[end]++
		})
		if d.trouble && n == 100 {
			e := d.engines[len(d.engines)-3] // the first one of catalogue
			entry := e.entry(map[string]any{"Service": "ledger", "Sequence": 1000, "ColdRemainingMs": nil})
			d.record("another writer writes servers/%s: %s", e.id, entry)
			d.store.put(topicServers, e.id, entry)
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
