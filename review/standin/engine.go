package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the HeartbeatMs of the settings.
const heartbeat = 1200 * time.Millisecond

// engine is a stand-in of an engine of any service.
type engine struct {
	d                 *deployment
	id, service, zone string
	address           string
	handle            func(e *engine, w http.ResponseWriter, r *http.Request)

	mu       sync.Mutex
	server   *http.Server
	conns    map[net.Conn]bool
	stop     chan struct{}
	born     int64
	sequence atomic.Int64
}

// newEngine starts an engine at a free port.
func (d *deployment) newEngine(id, service, zone string, handle func(*engine, http.ResponseWriter, *http.Request)) (*engine, error) {
	l, err := net.Listen("tcp", d.ip(1)+":0")
	if err != nil {
		return nil, err
	}
	e := &engine{d: d, id: id, service: service, zone: zone, address: l.Addr().String(), handle: handle}
	e.serve(l)
	d.engines = append(d.engines, e)
	return e, nil
}

// serve starts the process of the engine.
func (e *engine) serve(l net.Listener) {
	e.mu.Lock()
	defer e.mu.Unlock()
	conns := map[net.Conn]bool{}
	e.conns, e.born, e.stop = conns, time.Now().UnixMilli(), make(chan struct{})
	e.sequence.Store(0)
	e.server = &http.Server{Handler: e, ConnState: func(c net.Conn, s http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		switch s {
		case http.StateNew:
			conns[c] = true
		case http.StateClosed:
			delete(conns, c)
		}
	}}
	go func(s *http.Server) { _ = s.Serve(l) }(e.server)
	go func(stop chan struct{}) {
		for {
			e.d.store.putEntry(e.id, e.entry(nil))
			select {
			case <-stop:
				return
			case <-time.After(heartbeat):
			}
		}
	}(e.stop)
}

// entry returns the engine's entry, with some fields replaced. A nil value removes a field.
func (e *engine) entry(change map[string]any) []byte {
	entry := map[string]any{
		"Service": e.service, "Address": e.address, "Zone": e.zone, "Version": "v1", "Slots": 8, "State": "ready",
		"ColdRemainingMs": 0, "Sequence": e.sequence.Add(1), "born": e.born,
	}
	for k, v := range change {
		if entry[k] = v; v == nil {
			delete(entry, k)
		}
	}
	out, _ := json.Marshal(entry)
	return out
}

// crash resets all connections and closes the port, as the end of the process does.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.stop)
	for c := range e.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	go func(s *http.Server) { _ = s.Close() }(e.server)
}

// leave removes the engine's entry, as engines do that never report `draining`. The engine
// serves on.
func (e *engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.stop)
	e.stop = make(chan struct{})
	e.d.store.put(topicServers, e.id, nil)
}

// ServeHTTP answers 421 to requests for another instance, and passes on the others.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Target-Instance"); want != "" && want != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", e.id)
		return
	}
	e.handle(e, w, r)
}

// begin echoes the id and sets the receipt.
func (e *engine) begin(w http.ResponseWriter, r *http.Request) string {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Response-Signature", "signed-by-"+e.id+"-for-"+id)
	return id
}
