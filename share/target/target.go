// Package target defines the protocol between entry hosts and targets, and a client for
// it.
package target

import (
	"context"
	"time"

	"chivepost/share/bundle"
	"chivepost/share/units"
)

// Headers of calls and responses.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderTimeout   = "X-Timeout"
	HeaderFence     = "X-Fence"
	HeaderPriority  = "X-Priority"
	HeaderState     = "X-Target-State"
	HeaderBoot      = "X-Target-Boot"
	HeaderNotRun    = "X-Not-Run"
	// HeaderRetryAfter gives, with status 503, the seconds for which the target wants no calls
	// of this host.
	HeaderRetryAfter = "Retry-After"
	// HeaderDataCentre names the data centre of the calling host.
	HeaderDataCentre = "X-Data-Centre"
	// HeaderIdempotencyID identifies the work across attempts, for services that count
	// executions in a ledger.
	HeaderIdempotencyID = "X-Idempotency-Id"
)

// State is the state that a target reports.
type State string

// The states of targets.
const (
	StateWarm    State = "warm"
	StateCold    State = "cold"
	StateLeaving State = "leaving"
)

// Call is one attempt at a stage. ID is "<run>/<stage>/<attempt>". Kind selects the
// protocol: streamed completions for engines, /v1/run for all others.
type Call struct {
	ID       string
	Kind     bundle.Kind
	Address  string
	Input    string
	Model    string
	Timeout  time.Duration
	Fence    uint64
	Priority int
	// Once means that the call may run at most once. It gets a new connection and no
	// retries.
	Once bool
	// IdempotencyID is sent to the target if not empty.
	IdempotencyID string
}

// Execution says whether a target executed a call.
type Execution int

// The degrees of certainty about the execution of a call.
const (
	// NotExecuted: the call was not sent, or the target reported that it ran nothing.
	NotExecuted Execution = iota
	// MayHaveExecuted: the target may have run the call.
	MayHaveExecuted
	// Executed: the target returned a valid response.
	Executed
)

// Result is the result of a call. Output is valid only if Err is nil. State and Boot,
// which identifies the incarnation of the target, are empty without a response.
type Result struct {
	Output       string
	Tokens       int
	CachedTokens int
	State        State
	Boot         string
	Pause        time.Duration // for which the target wants no calls of this host; 0: none
	Execution    Execution
	Err          error
}

// LoadReport is the response to GET /v1/load. Limit and ColdLimit bound the calls in
// flight, warm and in cold start. Age is the time since the load was measured.
type LoadReport struct {
	State     State          `json:"state"`
	Boot      string         `json:"boot"`
	Running   int            `json:"running"`
	Queued    int            `json:"queued"`
	Limit     int            `json:"limit"`
	ColdLimit int            `json:"cold_limit"`
	Age       units.Duration `json:"as_of"`
}

// Caller makes calls to targets. Run calls onToken, if not nil, for each token of a
// streamed output, or once with the whole output if it is not streamed.
type Caller interface {
	Run(ctx context.Context, call Call, onToken func(index int, text string)) Result
	LoadReport(ctx context.Context, address string) (LoadReport, error)
}
