// Package apiv1 holds the bodies that callers and operators exchange with entry hosts.
package apiv1

import (
	"crypto/sha256"
	"encoding/hex"

	"chivepost/share/units"
)

// Outcome says what became of a request that got no answer, or that it got one.
type Outcome string

// The outcomes of a request.
const (
	// Answered: the whole answer was given.
	Answered Outcome = "answered"
	// Refused: nothing was run.
	Refused Outcome = "refused"
	// Failed: only calls that may be repeated were made; the request is safe to repeat.
	Failed Outcome = "failed"
	// Unknown: a call that may not be repeated may have been made.
	Unknown Outcome = "unknown"
)

// Address answers GET /v1/address. Addresses are "ip:port" in order of preference
// and valid for Hold. Position is the claims stream offset to put in request ids.
type Address struct {
	Addresses    []string       `json:"addresses"`
	ValidFor     units.Duration `json:"hold"`
	ClaimsOffset int64          `json:"position"`
}

// Request is the body of POST /v1/pipelines/{name}/requests. ID has the form
// "<position>-<random>". Deadline counts from the arrival at the entry host. Once asks
// that no stage of the request runs more than once, whatever its pool allows; each
// stage then needs a claim in the log.
type Request struct {
	ID       string         `json:"id"`
	Deadline units.Duration `json:"deadline"`
	Priority int            `json:"priority"`
	Input    string         `json:"input"`
	Stream   bool           `json:"stream"`
	Once     bool           `json:"once,omitempty"`
}

// Answer is a whole answer. Length is the number of bytes of Output, Checksum
// the value of Checksum(Output).
type Answer struct {
	ID       string `json:"id"`
	Output   string `json:"output"`
	Length   int    `json:"length"`
	Checksum string `json:"checksum"`
}

// NewAnswer returns the answer with its length and checksum.
func NewAnswer(id, output string) Answer {
	return Answer{ID: id, Output: output, Length: len(output), Checksum: Checksum(output)}
}

// IsIntact reports whether the length and checksum match the output.
func (a Answer) IsIntact() bool {
	return a.Length == len(a.Output) && a.Checksum == Checksum(a.Output)
}

// Checksum returns the first 16 hex digits of the SHA-256 of text.
func Checksum(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:8])
}

// Names of the server-sent events of a streamed answer.
const (
	EventToken = "token"
	EventEnd   = "end"
	EventError = "error"
)

// Token is one piece of a streamed answer; Index counts from 0.
type Token struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// End closes a streamed answer. Count is the number of tokens.
type End struct {
	ID       string `json:"id"`
	Count    int    `json:"count"`
	Checksum string `json:"checksum"`
}

// ProblemType is the media type of Problem.
const ProblemType = "application/problem+json"

// Problem is the body of every refusal and failure. Addresses, when present, name
// other entry hosts to use instead.
type Problem struct {
	Type       string         `json:"type"`
	Title      string         `json:"title"`
	Status     int            `json:"status"`
	Detail     string         `json:"detail,omitempty"`
	ID         string         `json:"id,omitempty"`
	Outcome    Outcome        `json:"outcome"`
	RetryAfter units.Duration `json:"retry_after,omitempty"`
	Addresses  []string       `json:"addresses,omitempty"`
}

// Types of problems.
const (
	ProblemBadRequest       = "bad_request"
	ProblemUnauthorized     = "unauthorized"
	ProblemNotFound         = "not_found"
	ProblemTooLarge         = "too_large"
	ProblemDeadline         = "deadline"
	ProblemOverload         = "overload"
	ProblemUnready          = "unready"
	ProblemMoved            = "moved"
	ProblemLogUnavailable   = "log_unavailable"
	ProblemIDConflict       = "id_conflict"
	ProblemIDReleased       = "id_released"
	ProblemIDExpired        = "id_expired"
	ProblemClaimedElsewhere = "claimed_elsewhere"
	ProblemStageFailed      = "stage_failed"
)
