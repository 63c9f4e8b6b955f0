package target

import "fmt"

// Reason classifies the failure of a call.
type Reason string

// The reasons for the failure of a call.
const (
	// ReasonUnsent: the request could not be built or no connection was obtained.
	ReasonUnsent Reason = "unsent"
	// ReasonNotRun: the target refused the call without running any of it.
	ReasonNotRun Reason = "not_run"
	// ReasonStatus: the response has a status other than 200.
	ReasonStatus Reason = "status"
	// ReasonTimeout: the call timed out.
	ReasonTimeout Reason = "timeout"
	// ReasonCancelled: the context of the call was cancelled.
	ReasonCancelled Reason = "cancelled"
	// ReasonConnectionLost: the connection failed before the response was complete.
	ReasonConnectionLost Reason = "broken"
	// ReasonWrongID: the response has the ID of another call or stream.
	ReasonWrongID Reason = "echo"
	// ReasonIncomplete: the length, checksum, end mark, finish reason or token count is
	// missing or does not match the output.
	ReasonIncomplete Reason = "incomplete"
	// ReasonFormat: the response could not be decoded.
	ReasonFormat Reason = "format"
	// ReasonTooLarge: the output exceeds Options.MaxOutput, or the responses that are being read
	// take too much memory.
	ReasonTooLarge Reason = "too_large"
)

// CallError describes a failed call. Status is the HTTP status, or 0 if unknown.
type CallError struct {
	Reason Reason
	Status int
	Detail string
	Err    error
}

// Error returns the reason, the status, the detail and the cause.
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

// Unwrap returns the cause, or nil.
func (e *CallError) Unwrap() error { return e.Err }

// IsInvalidResponse reports whether the target sent a response that is incomplete,
// malformed or belongs to another call.
func (e *CallError) IsInvalidResponse() bool {
	return e.Reason == ReasonWrongID || e.Reason == ReasonIncomplete || e.Reason == ReasonFormat
}
