// Package ctrl defines the interface that the controllers of an entry host share.
package ctrl

// Controller keeps one part of the host's state up to date until it is closed.
type Controller interface {
	Name() string
	Status() Status
	Close()
}

// Status is the state of a controller. While Ready is false, the host must not accept
// new work; Reason is then the cause.
type Status struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
	Detail any    `json:"detail,omitempty"`
}
