// Package ctrl names what the controllers of an entry host have in common.
package ctrl

// Controller keeps one piece of shared state up to date until it is closed.
type Controller interface {
	Name() string
	Status() Status
	Close()
}

// Status is what a controller says of itself. Ready is false while the host must
// not take new work on its account; Reason then says why.
type Status struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
	Detail any    `json:"detail,omitempty"`
}
