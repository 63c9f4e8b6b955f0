package main

import (
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const (
	contactTime     = 4000 * time.Millisecond // ContactMs
	configApplyTime = 2500 * time.Millisecond // ConfigApplyMs
	serviceLots     = "registre-lots"
	serviceLotsNew  = "registre-lots-2"
)

// playSilent makes the open channels to the store go silent just after a change of the
// configuration, while new ones work, and then moves a route to another service.
func playSilent(d *deployment, trouble bool) (int, error) {
	for _, zone := range zones {
		for _, service := range []string{serviceLots, serviceLotsNew} {
			if _, err := d.addEngine(service, zone, 20*time.Millisecond); err != nil {
				return 0, err
			}
		}
	}
	services := []map[string]any{serviceOf(serviceLots), serviceOf(serviceLotsNew)}
	routes := func(service string, extra ...map[string]any) []map[string]any {
		return append([]map[string]any{route("r-lots", "/lots/", "unsafe", service, 1)}, extra...)
	}
	d.publish(routes(serviceLots), services)
	d.useProxies = true
	if err := d.startHosts(3); err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second)

	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, h := range d.hosts {
		for range 4 {
			clients.Go(func() {
				c := newClient(d.rec)
				for {
					select {
					case <-stop:
						return
					case <-time.After(rand.N(40 * time.Millisecond)):
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
	d.publish(routes(serviceLots, route("r-new", "/more/", "unsafe", serviceLots, 1)), services)
	d.rec.line("operator", "a route is added")
	time.Sleep(20 * time.Millisecond)
	silentAt := time.Now()
	if trouble {
		for _, h := range d.hosts {
			d.rec.line("proxy", "%d channels of %s to the store are silent", h.proxy.silence(), h.name)
		}
	}
	time.Sleep(500 * time.Millisecond)
	d.publish(routes(serviceLotsNew), services)
	ackedAt := time.Now()
	d.rec.line("operator", "the route /lots/ is moved to %s", serviceLotsNew)
	time.Sleep(6 * time.Second)
	close(stop)
	clients.Wait()

	byID := map[string]run{}
	for _, r := range d.rec.runs {
		byID[r.id] = r
	}
	broken, checked, served := 0, 0, 0
	for _, r := range d.rec.results {
		if r.status == 200 {
			served++
		}
		if r.sent.Before(ackedAt.Add(configApplyTime)) || r.sent.Before(silentAt.Add(contactTime)) {
			continue
		}
		checked++
		if at, ok := byID[r.id]; ok && strings.HasPrefix(r.path, "/lots/") && at.service == serviceLots {
			broken++
			d.rec.line("case", "CONFIG: %s, sent %s after the ack and %s after the channels fell silent, ran at %s of %s", r.id, r.sent.Sub(ackedAt), r.sent.Sub(silentAt), at.engine, at.service)
		}
	}
	d.rec.line("case", "%d requests, %d served, %d checked", len(d.rec.results), served, checked)
	if served < len(d.rec.results)/2 || checked == 0 {
		return 0, errors.New("too few requests were served")
	}
	return broken, nil
}
