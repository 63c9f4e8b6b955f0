// Package events is the record of what happened, written as JSON lines by entry
// hosts, targets and callers and read by an independent checker.
package events

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// Kind says what happened.
type Kind string

// The kinds of events.
const (
	Accepted      Kind = "accepted"  // entry host: request taken
	Ended         Kind = "ended"     // entry host: request's outcome
	Sending       Kind = "sending"   // entry host: attempt about to be sent
	Result        Kind = "result"    // entry host: attempt's result
	Started       Kind = "started"   // target: call begun; Load is calls in flight with it
	Finished      Kind = "finished"  // target: call done
	StateChanged  Kind = "state"     // target: Detail is its new state
	Sent          Kind = "sent"      // caller: request sent
	Received      Kind = "got"       // caller: outcome seen
	ConfigApplied Kind = "config"    // entry host: version in force
	Published     Kind = "published" // operator: version accepted
)

// Event is one line of the record. At is time since the start of the writer's
// process or run, in its own clock.
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

// Recorder writes events. A nil Recorder drops them.
type Recorder struct {
	mu    sync.Mutex
	enc   *json.Encoder
	start time.Time
}

// New returns a Log that writes to w.
func New(w io.Writer) *Recorder { return &Recorder{enc: json.NewEncoder(w), start: time.Now()} }

// Add writes e with the time since the Log was made. A write error is ignored:
// the record is for tests and must not stop the service.
func (l *Recorder) Add(e Event) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e.At = time.Since(l.start)
	_ = l.enc.Encode(e)
}
