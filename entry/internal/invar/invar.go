// Package invar checks invariants in the running program. A broken one means that
// state can't be trusted any more, so the process stops and names what broke.
package invar

import (
	"expvar"
	"fmt"
	"sync/atomic"
)

var checks = expvar.NewInt("invariant_checks_count")

// ViolationError is the value of the panic that a broken invariant raises.
type ViolationError struct{ what string }

// Error says which invariant broke and how.
func (b ViolationError) Error() string { return "invariant broken: " + b.what }

var stop atomic.Pointer[func(ViolationError)]

// OnViolation replaces the panic, for a process that logs first. It is called once,
// before any check.
func OnViolation(f func(ViolationError)) { stop.Store(&f) }

// Check stops the process unless ok holds. The format and args say what broke.
func Check(ok bool, format string, args ...any) {
	checks.Add(1)
	if ok {
		return
	}
	b := ViolationError{what: fmt.Sprintf(format, args...)}
	if f := stop.Load(); f != nil {
		(*f)(b)
	}
	panic(b)
}
