// Package events records the events of entry hosts, targets and callers as
// JSON lines, from which an independent checker verifies a run.
package events

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// Kind is the kind of an event.
type Kind string

// The kinds of events.
const (
	Accepted      Kind = "accepted"  // entry host: accepted a request
	Ended         Kind = "ended"     // entry host: finished a request; Outcome is its outcome
	Sending       Kind = "sending"   // entry host: about to send an attempt
	Result        Kind = "result"    // entry host: received the result of an attempt
	Started       Kind = "started"   // target: started a call; Load is the calls in flight including it
	Finished      Kind = "finished"  // target: finished a call
	StateChanged  Kind = "state"     // target: changed its state; Detail is the new one
	Sent          Kind = "sent"      // caller: sent a request
	Received      Kind = "got"       // caller: received the outcome of a request
	ConfigApplied Kind = "config"    // entry host: put a configuration version in force
	Published     Kind = "published" // operator: had a configuration version accepted
)

// Event is one line of the record. At is the time since the Recorder was created, by the
// clock of its process.
type Event struct {
	At         time.Duration `json:"at"`
	Kind       Kind          `json:"kind"`
	Host       string        `json:"host,omitempty"`
	DataCentre string        `json:"data_centre,omitempty"`
	Account    string        `json:"account,omitempty"`
	Request    string        `json:"request,omitempty"`
	Run        string        `json:"run,omitempty"`
	Stage      string        `json:"stage,omitempty"`
	Attempt    string        `json:"attempt,omitempty"`
	Target     string        `json:"target,omitempty"`
	Outcome    string        `json:"outcome,omitempty"`
	Version    int64         `json:"version,omitempty"`
	Load       int           `json:"load,omitempty"`
	Detail     string        `json:"detail,omitempty"`
}

// Recorder writes events to a record. It is safe for concurrent use. A nil Recorder
// discards them.
type Recorder struct {
	mu    sync.Mutex
	enc   *json.Encoder
	start time.Time
}

// New returns a Recorder that writes to w.
func New(w io.Writer) *Recorder { return &Recorder{enc: json.NewEncoder(w), start: time.Now()} }

// Add writes e and sets its At. It ignores write errors, because the record is for tests
// and must not stop the service.
func (r *Recorder) Add(e Event) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = time.Since(r.start)
	_ = r.enc.Encode(e)
}
