package main

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"
)

// playAgain lets a stage engine crash and start again under its ID, while requests that have
// results there wait for another stage.
func playAgain(d *deployment, trouble bool) (int, error) {
	const fast, slow = 60 * time.Millisecond, 700 * time.Millisecond
	m := newMakers()
	var crashing *engine
	for i := range 4 {
		for _, s := range []struct {
			service string
			work    time.Duration
		}{{"annuaire", fast}, {"tarifs", slow}, {"atelier-llm", 0}} {
			e, err := d.addEngine(s.service, zones[i%len(zones)], s.work)
			if err != nil {
				return 0, err
			}
			if e.answer = m.answerStage; s.service == "atelier-llm" {
				e.answer = m.answerStream
			}
			if s.service == "annuaire" {
				crashing = e
			}
		}
	}
	r := route("r-letter", "/letter/", "streaming", "atelier-llm", 1)
	r["TimeoutMs"], r["TargetLatencyMs"], r["ItlTargetMs"] = 6000, 2500, 300
	r["Stages"] = []map[string]any{
		{"Service": "annuaire", "After": []int{}, "ByteSize": 8000}, {"Service": "tarifs", "After": []int{}, "ByteSize": 6000},
	}
	d.publish([]map[string]any{r}, []map[string]any{serviceOf("atelier-llm"), stageServiceOf("annuaire", fast), stageServiceOf("tarifs", slow)})
	if err := d.startHosts(3); err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second) // longer than ContactMs

	var clients sync.WaitGroup
	send := func(n int) {
		for i := range n {
			clients.Go(func() {
				time.Sleep(rand.N(100 * time.Millisecond))
				res := newClient(d.rec).send(d.hosts[i%len(d.hosts)], "POST", "/letter/a", []byte("lot 17"), "Chunks", "1,1", "Chunk-Key", "7c1e07a291bd", "Deadline-Ms", "5000")
				d.rec.mu.Lock()
				d.rec.results = append(d.rec.results, res)
				d.rec.mu.Unlock()
			})
		}
	}
	send(12)
	time.Sleep(260 * time.Millisecond) // the first stage is done
	if trouble {
		d.rec.line("engine", "%s of %s crashes", crashing.id, crashing.service)
		m.forget(crashing.address)
		if err := crashing.restart(100 * time.Millisecond); err != nil {
			return 0, err
		}
		d.rec.line("engine", "%s is back under its ID", crashing.id)
	}
	time.Sleep(20 * time.Millisecond)
	send(24)
	clients.Wait()
	served := 0
	for _, res := range d.rec.results {
		if res.status == 200 {
			served++
		}
	}
	d.rec.line("case", "%d requests, %d served", len(d.rec.results), served)
	if served < len(d.rec.results)/2 || served == 0 {
		return 0, errors.New("too few requests were served")
	}
	for _, id := range d.rec.foreign {
		d.rec.line("case", "MIXED: %s ran on inputs of another request", id)
	}
	return len(d.rec.foreign), nil
}
