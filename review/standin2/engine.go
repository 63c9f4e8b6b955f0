package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// engine is a sound engine: it echoes the ID of a request, signs its answers, and answers
// 421 to requests that name another engine.
type engine struct {
	id, service, zone string
	store             *store
	rec               *recorder
	address           string
	born              int64
	work              time.Duration
	server            *http.Server

	mu       sync.Mutex
	sequence int64
	state    string
	stopped  bool
	leaving  bool // all its answers say so
	leftAt   time.Time
	beaten   chan struct{} // closed and replaced by each entry that it writes

	// answer, unless nil, writes the answer to a request that the engine runs.
	answer func(e *engine, w http.ResponseWriter, r *http.Request, body []byte)
}

func startEngine(st *store, rec *recorder, id, service, zone string, work time.Duration) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, service: service, zone: zone, store: st, rec: rec, address: l.Addr().String(), born: time.Now().UnixMilli(), work: work, state: "ready", beaten: make(chan struct{})}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func() { _ = e.server.Serve(l) }()
	e.beat()
	go func() {
		for {
			time.Sleep(heartbeat)
			e.beat()
		}
	}()
	return e, nil
}

// entry returns the fields of the engine's entry in the store.
func (e *engine) entry(sequence int64) map[string]any {
	return map[string]any{
		"Service": e.service, "Address": e.address, "Zone": e.zone, "Version": "v1", "Slots": 6, "State": e.state,
		"ColdRemainingMs": 0, "Sequence": sequence, "born": e.born,
	}
}

// beat writes the engine's entry.
func (e *engine) beat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return
	}
	e.sequence++
	value, _ := json.Marshal(e.entry(e.sequence))
	e.store.put("keyed.servers", e.id, value)
	close(e.beaten)
	e.beaten = make(chan struct{})
}

// awaitBeat returns just after the engine has written its entry, with the entry's sequence.
func (e *engine) awaitBeat() int64 {
	e.mu.Lock()
	beaten := e.beaten
	e.mu.Unlock()
	<-beaten
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sequence
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Keep-Alive", "timeout=5")
	if id != "" {
		w.Header().Set("Attempt-Id", id)
	}
	e.mu.Lock()
	if e.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	e.mu.Unlock()
	if named := r.Header.Get("Target-Instance"); named != "" && named != e.id {
		e.rec.line("engine", "%s of %s answers 421 to %s, which names %s", e.id, e.service, id, named)
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.answer != nil {
		e.answer(e, w, r, body)
		return
	}
	e.rec.run(id, e, r)
	time.Sleep(e.work)
	out := bytes.Repeat([]byte("x"), 800)
	w.Header().Set("Response-Signature", fmt.Sprintf("%s.%s", e.id, id))
	w.Header().Set("Served-By", e.service)
	_, _ = w.Write(out)
}

// restart ends the engine for a while and starts it again at its address, under its ID.
func (e *engine) restart(pause time.Duration) error {
	e.mu.Lock()
	e.stopped = true
	e.mu.Unlock()
	_ = e.server.Close()
	time.Sleep(pause)
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.born, e.sequence, e.stopped = time.Now().UnixMilli(), 0, false
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	server := e.server
	e.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	e.beat()
	return nil
}

// leave removes the engine's entry, which it writes no more. It serves on.
func (e *engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped, e.leftAt = true, time.Now()
	e.store.put("keyed.servers", e.id, nil)
}

func (e *engine) stop() {
	e.mu.Lock()
	e.stopped = true
	e.mu.Unlock()
	_ = e.server.Close()
}
