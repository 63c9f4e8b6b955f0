package main

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const (
	serviceLots   = "registre-lots"
	servicePrices = "tarifs"
)

// playEntry lets another writer leave entries without ColdRemainingMs under the ID of an
// engine of one service, which name another service. No configuration lets requests of the
// second one go to the first.
func playEntry(d *deployment, trouble bool) (int, error) {
	var prices *engine
	for _, zone := range zones {
		if _, err := d.addEngine(serviceLots, zone, 60*time.Millisecond); err != nil {
			return 0, err
		}
		e, err := d.addEngine(servicePrices, zone, 60*time.Millisecond)
		if err != nil {
			return 0, err
		}
		if zone == zones[0] {
			prices = e
		}
	}
	d.publish([]map[string]any{
		route("r-lots", "/lots/", "unsafe", serviceLots, 1), route("r-prices", "/prices/", "safe", servicePrices, 2),
	}, []map[string]any{serviceOf(serviceLots), serviceOf(servicePrices)})
	if err := d.startHosts(3); err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second) // longer than ContactMs

	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	var results []result
	for _, h := range d.hosts {
		for _, path := range []string{"/lots/reserve", "/lots/reserve", "/lots/reserve", "/prices/today"} {
			clients.Go(func() {
				c := newClient(d.rec)
				for {
					select {
					case <-stop:
						return
					case <-time.After(rand.N(60 * time.Millisecond)):
					}
					method, body := "GET", []byte(nil)
					if strings.HasPrefix(path, "/lots/") {
						method, body = "POST", []byte("lot 17")
					}
					r := c.send(h, method, path, body)
					mu.Lock()
					results = append(results, r)
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	for range 3 {
		sequence := prices.awaitBeat()
		if !trouble {
			continue
		}
		entry := prices.entry(sequence + 1)
		entry["Service"] = serviceLots
		delete(entry, "ColdRemainingMs")
		value, err := json.Marshal(entry)
		if err != nil {
			return 0, err
		}
		d.store.put("keyed.servers", prices.id, value)
		d.rec.line("writer", "writes under %s: %s", prices.id, value)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	clients.Wait()

	served := 0
	for _, r := range results {
		if r.status == 200 {
			served++
		}
	}
	if served < len(results)/2 || served == 0 {
		return 0, errors.New("too few requests were served")
	}
	broken := 0
	d.rec.mu.Lock()
	runs := d.rec.runs
	d.rec.mu.Unlock()
	for _, r := range runs {
		if strings.HasPrefix(r.path, "/lots/") && r.service != serviceLots {
			broken++
			d.rec.line("case", "ROUTE: %s of %s ran at %s of service %s", r.id, r.path, r.engine, r.service)
		}
	}
	return broken, nil
}
