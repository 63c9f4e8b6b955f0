// Package apiv1 defines the request and response bodies of the API that entry hosts
// provide to callers and operators.
package apiv1

import (
	"crypto/sha256"
	"encoding/hex"

	"chivepost/share/units"
)

// Outcome is the outcome of a request.
type Outcome string

// The outcomes of a request.
const (
	// Answered: the caller got the complete answer.
	Answered Outcome = "answered"
	// Refused: no stage was run.
	Refused Outcome = "refused"
	// Failed: only retryable calls were made, so it is safe to send the request again.
	Failed Outcome = "failed"
	// Unknown: a call that may run at most once may have been executed.
	Unknown Outcome = "unknown"
)

// Address is the response to GET /v1/address. Addresses are "ip:port" in order of
// preference and may be used for ValidFor. ClaimsOffset is the offset in the claims stream
// that callers put into request IDs.
type Address struct {
	Addresses    []string       `json:"addresses"`
	ValidFor     units.Duration `json:"hold"`
	ClaimsOffset int64          `json:"position"`
}

// Request is the body of POST /v1/pipelines/{name}/requests. ID has the form
// "<position>-<random>", where position is Address.ClaimsOffset. Deadline counts from the
// arrival at the entry host. Once means that no stage may run more than once, even if its
// pool allows it. Each stage then needs a claim in the log.
type Request struct {
	ID       string         `json:"id"`
	Deadline units.Duration `json:"deadline"`
	Priority int            `json:"priority"`
	Input    string         `json:"input"`
	Stream   bool           `json:"stream"`
	Once     bool           `json:"once,omitempty"`
}

// Answer is the complete answer to a request. Length is the number of bytes of Output,
// Checksum the result of Checksum(Output).
type Answer struct {
	ID       string `json:"id"`
	Output   string `json:"output"`
	Length   int    `json:"length"`
	Checksum string `json:"checksum"`
}

// NewAnswer returns an answer with the length and checksum of output.
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

// The names of the server-sent events of a streamed answer.
const (
	EventToken = "token"
	EventEnd   = "end"
	EventError = "error"
)

// Token is the data of an EventToken. Index counts from 0.
type Token struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// End is the data of an EventEnd, the last event of a complete streamed answer. Count is
// the number of tokens, Checksum that of their joined text.
type End struct {
	ID       string `json:"id"`
	Count    int    `json:"count"`
	Checksum string `json:"checksum"`
}

// ProblemType is the media type of Problem.
const ProblemType = "application/problem+json"

// Problem is the body of the response to a request that was not answered. Addresses, if
// present, are those of other entry hosts to use instead.
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

// The values of Problem.Type.
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
