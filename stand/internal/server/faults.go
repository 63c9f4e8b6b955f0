package server

import (
	"net/http"
	"slices"

	"chivepost/share/target"
	"chivepost/share/units"
	"chivepost/stand/internal/serve"
)

// Faults are the injected faults in force. Shares are fractions of the calls, 0 to 1.
type Faults struct {
	// Down breaks each connection before any work.
	Down bool `json:"down"`
	// Cut breaks the connections of callers in the listed data centres.
	Cut []string `json:"cut,omitempty"`
	// Slow multiplies durations; 0 and 1 change nothing.
	Slow float64 `json:"slow"`
	// Fail is the share of calls that are answered 500 instead of the result. A service has
	// then not done the work.
	Fail float64 `json:"fail"`
	// Refuse is the share of calls that are answered 503 before any work.
	Refuse float64 `json:"refuse"`
	// Crossed is the share of calls that get the answer of another call.
	Crossed float64 `json:"crossed"`
	// Truncated is the share of calls that get a part of the answer.
	Truncated float64 `json:"truncated"`
	// LoseAnswers is the share of calls whose connection breaks after the work is done.
	LoseAnswers float64 `json:"lose_answers"`
	// Late delays the answer after the work.
	Late units.Duration `json:"late"`
}

// Change is the body of POST /v1/faults. Fields that are absent change nothing.
type Change struct {
	// Cold turns the target cold without notice, or warm at once.
	Cold *bool `json:"cold"`
	// Leaving sets whether the target reports that it is leaving.
	Leaving *bool `json:"leaving"`
	// Restart ends all calls and restarts the target cold.
	Restart     *bool           `json:"restart"`
	Down        *bool           `json:"down"`
	Cut         *[]string       `json:"cut"`
	Slow        *float64        `json:"slow"`
	Fail        *float64        `json:"fail"`
	Refuse      *float64        `json:"refuse"`
	Crossed     *float64        `json:"crossed"`
	Truncated   *float64        `json:"truncated"`
	LoseAnswers *float64        `json:"lose_answers"`
	Late        *units.Duration `json:"late"`
}

// Apply applies a change.
func (t *Target) Apply(c Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	set(&t.faults.Down, c.Down)
	set(&t.faults.Cut, c.Cut)
	set(&t.faults.Slow, c.Slow)
	set(&t.faults.Fail, c.Fail)
	set(&t.faults.Refuse, c.Refuse)
	set(&t.faults.Crossed, c.Crossed)
	set(&t.faults.Truncated, c.Truncated)
	set(&t.faults.LoseAnswers, c.LoseAnswers)
	set(&t.faults.Late, c.Late)
	if c.Leaving != nil && *c.Leaving != t.leaving {
		t.leaving = *c.Leaving
		t.recordState()
	}
	if c.Restart != nil && *c.Restart {
		t.boot(true)
	}
	if c.Cold != nil {
		t.setCold(*c.Cold)
	}
}

// isCutOff reports whether faults disconnect the sender of a request. The caller holds the
// lock.
func (t *Target) isCutOff(r *http.Request) bool {
	return t.faults.Down || slices.Contains(t.faults.Cut, r.Header.Get(target.HeaderDataCentre))
}

// set copies a value if there is one.
func set[T any](to, from *T) {
	if from != nil {
		*to = *from
	}
}

// Status is the current state of a target, without the lag of load reports.
type Status struct {
	Name    string       `json:"name"`
	Pool    string       `json:"pool"`
	Address string       `json:"address"`
	State   target.State `json:"state"`
	Boot    string       `json:"boot"`
	Fallen  bool         `json:"fallen"`
	Calls   int          `json:"calls"`
	Faults  Faults       `json:"faults"`
}

// Status returns the target's current state.
func (t *Target) Status() Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Status{
		Name: t.Name(), Pool: t.Pool(), Address: t.Address(), State: t.state(),
		Boot: t.bootID(), Fallen: t.fallen, Calls: t.inFlight, Faults: t.faults,
	}
}

func (t *Target) setFaults(w http.ResponseWriter, r *http.Request) {
	var change Change
	if !serve.ReadJSON(w, r, &change) {
		return
	}
	t.Apply(change)
	serve.WriteJSON(w, http.StatusOK, t.Status())
}

func (t *Target) serveFaults(w http.ResponseWriter, _ *http.Request) {
	serve.WriteJSON(w, http.StatusOK, t.Status())
}
