package main

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"
)

const drainTime = 2500 * time.Millisecond // DrainMs

// playGone makes the open channels to the store go silent, while new ones work, and then lets
// an engine leave that never reports that it is draining: its entry is removed, and it serves
// on for some seconds.
func playGone(d *deployment, trouble bool) (int, error) {
	var leaving *engine
	for range 2 {
		for _, zone := range zones {
			e, err := d.addEngine(serviceLots, zone, 60*time.Millisecond)
			if err != nil {
				return 0, err
			}
			leaving = e
		}
	}
	d.publish([]map[string]any{route("r-lots", "/lots/", "unsafe", serviceLots, 1)}, []map[string]any{serviceOf(serviceLots)})
	d.useProxies = true
	if err := d.startHosts(3); err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second) // longer than ContactMs

	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, h := range d.hosts {
		for range 6 {
			clients.Go(func() {
				c := newClient(d.rec)
				for {
					select {
					case <-stop:
						return
					case <-time.After(rand.N(60 * time.Millisecond)):
					}
					r := c.send(h, "POST", "/lots/reserve", []byte("lot 17"))
					d.rec.mu.Lock()
					d.rec.results = append(d.rec.results, r)
					d.rec.mu.Unlock()
				}
			})
		}
	}
	time.Sleep(time.Second)
	silentAt := time.Now()
	if trouble {
		for _, h := range d.hosts {
			d.rec.line("proxy", "%d channels of %s to the store are silent", h.proxy.silence(), h.name)
		}
	}
	time.Sleep(200 * time.Millisecond)
	leaving.leave()
	ackedAt := time.Now()
	d.rec.line("store", "the entry of %s is removed; it serves on", leaving.id)
	time.Sleep(7 * time.Second)
	close(stop)
	clients.Wait()

	sent := map[string]time.Time{}
	served, checked := 0, 0
	for _, r := range d.rec.results {
		sent[r.id] = r.sent
		if r.status == 200 {
			served++
		}
		if r.sent.After(silentAt.Add(contactTime)) {
			checked++
		}
	}
	broken := 0
	for _, r := range d.rec.runs {
		at := sent[r.id]
		if r.engine != leaving.id || r.at.Before(ackedAt.Add(drainTime)) || at.Before(silentAt.Add(contactTime)) {
			continue
		}
		broken++
		d.rec.line("case", "DRAIN: %s, sent %s after the channels fell silent, reaches %s %s after the ack that it is gone", r.id, at.Sub(silentAt), r.engine, r.at.Sub(ackedAt))
	}
	d.rec.line("case", "%d requests, %d served, %d checked", len(d.rec.results), served, checked)
	if served < len(d.rec.results)/2 || checked == 0 {
		return 0, errors.New("too few requests were served")
	}
	return broken, nil
}
