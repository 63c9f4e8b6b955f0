package main

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"
)

// playReborn cuts a machine off from the store. Meanwhile an engine starts again under its ID,
// and then leaves, which it says in all its answers. Its entry is removed; it serves on.
func playReborn(d *deployment, trouble bool) (int, error) {
	var leaving *engine
	for _, zone := range zones {
		e, err := d.addEngine(serviceLots, zone, 20*time.Millisecond)
		if err != nil {
			return 0, err
		}
		if leaving == nil {
			leaving = e
		}
	}
	d.publish([]map[string]any{route("r-lots", "/lots/", "unsafe", serviceLots, 1)}, []map[string]any{serviceOf(serviceLots)})
	d.useProxies = true
	if err := d.startHosts(1); err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second) // longer than ContactMs

	stop := make(chan struct{})
	var clients sync.WaitGroup
	h := d.hosts[0]
	for range 12 {
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
	time.Sleep(time.Second)
	if trouble {
		h.proxy.cut()
		d.rec.line("proxy", "%s is cut off from the store", h.name)
	}
	time.Sleep(time.Second)
	d.rec.line("engine", "%s ends", leaving.id)
	if err := leaving.restart(500 * time.Millisecond); err != nil {
		return 0, err
	}
	d.rec.line("engine", "%s is back under its ID", leaving.id)
	time.Sleep(1500 * time.Millisecond)
	leaving.mu.Lock()
	leaving.leaving = true
	leaving.mu.Unlock()
	leaving.leave()
	d.rec.line("engine", "%s leaves, which it says in all its answers; its entry is removed", leaving.id)
	time.Sleep(3500 * time.Millisecond)
	if trouble {
		h.proxy.heal()
		d.rec.line("proxy", "%s reaches the store again", h.name)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	clients.Wait()

	sent := map[string]time.Time{}
	served := 0
	var toldAt time.Time // when the machine first passed on an answer that said so
	for _, r := range d.rec.results {
		sent[r.id] = r.sent
		if r.status == 200 {
			served++
			if r.header.Get("Response-Signature") == leaving.id+"."+r.id && r.sent.Add(r.took).After(leaving.leftAt) && (toldAt.IsZero() || r.sent.Add(r.took).Before(toldAt)) {
				toldAt = r.sent.Add(r.took)
			}
		}
	}
	if toldAt.IsZero() || served < len(d.rec.results)/2 {
		return 0, errors.New("too few requests were served")
	}
	broken := 0
	for _, r := range d.rec.runs {
		if late := sent[r.id].Sub(toldAt); r.engine == leaving.id && late > drainTime {
			broken++
			d.rec.line("case", "DRAIN: %s, sent %s after an answer with Server-Leaving was passed on, reaches %s", r.id, late, r.engine)
		}
	}
	d.rec.line("case", "%d requests, %d served", len(d.rec.results), served)
	return broken, nil
}
