package target

import "fmt"

// Reason classifies the failure of a call.
type Reason string

// The reasons for which calls fail.
const (
	// ReasonUnsent: no connection was obtained.
	ReasonUnsent Reason = "unsent"
	// ReasonNotRun: the target refused the call before any work.
	ReasonNotRun Reason = "not_run"
	// ReasonStatus: the target answered with an error status.
	ReasonStatus Reason = "status"
	// ReasonTimeout: the call's timeout passed.
	ReasonTimeout Reason = "timeout"
	// ReasonCancelled: the caller gave up.
	ReasonCancelled Reason = "cancelled"
	// ReasonConnectionLost: the connection failed after it was obtained.
	ReasonConnectionLost Reason = "broken"
	// ReasonWrongID: the answer carries the id of another call.
	ReasonWrongID Reason = "echo"
	// ReasonIncomplete: length, checksum, end mark or count don't match the answer.
	ReasonIncomplete Reason = "incomplete"
	// ReasonFormat: the answer is not in the protocol's format.
	ReasonFormat Reason = "format"
	// ReasonTooLarge: the answer is larger than allowed.
	ReasonTooLarge Reason = "too_large"
)

// CallError is the error of every failed call. Status is 0 without an answer.
type CallError struct {
	Reason Reason
	Status int
	Detail string
	Err    error
}

// Error says why the call failed.
func (e *CallError) Error() string {
	text := "call target: " + string(e.Reason)
	if e.Status != 0 {
		text += fmt.Sprintf(": status %d", e.Status)
	}
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause, if there is one.
func (e *CallError) Unwrap() error { return e.Err }

// IsInvalidResponse reports whether the target answered, but with an answer that is not
// whole or belongs to another call.
func (e *CallError) IsInvalidResponse() bool {
	return e.Reason == ReasonWrongID || e.Reason == ReasonIncomplete || e.Reason == ReasonFormat
}
