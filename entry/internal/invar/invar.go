// Package invar checks invariants at run time. After a violation the state of the
// process can't be trusted, so the process stops with a description of the violation.
package invar

import (
	"expvar"
	"fmt"
	"sync/atomic"
)

var checkCount = expvar.NewInt("invariant_checks_count")

// ViolationError is the panic value of a violated invariant.
type ViolationError struct{ description string }

// Error returns which invariant was violated and how.
func (v ViolationError) Error() string { return "invariant broken: " + v.description }

var onViolation atomic.Pointer[func(ViolationError)]

// OnViolation sets a function that Check calls before it panics, for a process that
// logs the violation first. OnViolation must be called at most once, before any Check.
func OnViolation(f func(ViolationError)) { onViolation.Store(&f) }

// Check stops the process unless ok is true. The format and args describe the
// violation.
func Check(ok bool, format string, args ...any) {
	checkCount.Add(1)
	if ok {
		return
	}
	v := ViolationError{description: fmt.Sprintf(format, args...)}
	if f := onViolation.Load(); f != nil {
		(*f)(v)
	}
	panic(v)
}
