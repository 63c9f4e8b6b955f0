package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// run is one run of a request by an engine.
type run struct {
	id, engine, service, path string
	at                        time.Time
}

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	runs  []run
	// results are what the clients got.
	results []result
	// foreign are the requests that ran on inputs of another one.
	foreign []string
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, began: time.Now()}, nil
}

func (r *recorder) line(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %-8s %s\n", time.Since(r.began).Seconds(), who, fmt.Sprintf(format, args...))
}

func (r *recorder) run(id string, e *engine, req *http.Request) {
	r.line("engine", "%s of service %s runs %s %s %s", e.id, e.service, id, req.Method, req.URL.Path)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run{id, e.id, e.service, req.URL.Path, time.Now()})
}
