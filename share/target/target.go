// Package target holds the protocol between entry hosts and targets and a client for it.
package target

import (
	"context"
	"time"

	"chivepost/share/bundle"
	"chivepost/share/units"
)

// Headers of calls and answers.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderTimeout   = "X-Timeout"
	HeaderFence     = "X-Fence"
	HeaderPriority  = "X-Priority"
	HeaderState     = "X-Target-State"
	HeaderBoot      = "X-Target-Boot"
	HeaderNotRun    = "X-Not-Run"
	// HeaderDataCentre names the data centre of the calling host.
	HeaderDataCentre = "X-Data-Centre"
	// HeaderIdempotencyID names the work, across attempts, for services that keep a ledger.
	HeaderIdempotencyID = "X-Idempotency-Id"
)

// State is what a target says of itself.
type State string

// The states of targets.
const (
	StateWarm    State = "warm"
	StateCold    State = "cold"
	StateLeaving State = "leaving"
)

// Call is one attempt at a stage. ID is "<run>/<stage>/<attempt>". Kind selects the
// protocol: streamed completions for engines, /v1/run for everything else.
type Call struct {
	ID       string
	Kind     bundle.Kind
	Address  string
	Input    string
	Model    string
	Timeout  time.Duration
	Fence    uint64
	Priority int
	// Once marks a call that may not be repeated: a fresh connection, no retries.
	Once bool
	// IdempotencyID, when not empty, is passed on to the target.
	IdempotencyID string
}

// Execution says how far a call got.
type Execution int

// How far a call got.
const (
	// NotExecuted: no byte reached the target, or the target said that nothing was run.
	NotExecuted Execution = iota
	// MayHaveExecuted: the target may have run the call.
	MayHaveExecuted
	// Executed: the target answered the call.
	Executed
)

// Result is what came of a call. Output is valid only if Err is nil. State and
// Boot are empty if the target did not answer.
type Result struct {
	Output       string
	Tokens       int
	CachedTokens int
	State        State
	Boot         string
	Execution    Execution
	Err          error
}

// LoadReport answers GET /v1/load. Age is the age of the report.
type LoadReport struct {
	State     State          `json:"state"`
	Boot      string         `json:"boot"`
	Running   int            `json:"running"`
	Queued    int            `json:"queued"`
	Limit     int            `json:"limit"`
	ColdLimit int            `json:"cold_limit"`
	Age       units.Duration `json:"as_of"`
}

// Caller makes calls to targets. Token, when not nil, is called for each streamed piece.
type Caller interface {
	Run(ctx context.Context, call Call, token func(index int, text string)) Result
	LoadReport(ctx context.Context, address string) (LoadReport, error)
}
