package fleet

import "time"

// Order is an operator's order to move the traffic of a service to the targets of a
// version.
type Order struct {
	Service  string        `cbor:"service"`
	Target   string        `cbor:"target"`   // the version
	Duration time.Duration `cbor:"duration"` // within which the roll-out ends
}

// RolloutState says how far a roll-out is.
type RolloutState string

// The states of a roll-out.
const (
	RolloutInProgress RolloutState = "in_progress"
	RolloutCompleted  RolloutState = "completed"
	RolloutRolledBack RolloutState = "rolled_back"
)

// RolloutStatus is the state of the newest roll-out of a service.
type RolloutStatus struct {
	Target string       `cbor:"target,omitempty"` // the version
	State  RolloutState `cbor:"state,omitempty"`  // empty: there was no roll-out
}

// IsFinal reports whether the roll-out has ended.
func (s RolloutStatus) IsFinal() bool {
	return s.State == RolloutCompleted || s.State == RolloutRolledBack
}
