// Package invar checks invariants in the running program. A broken one means that
// state can't be trusted any more, so the process stops and names what broke.
package invar

import (
	"expvar"
	"fmt"
	"sync/atomic"
)

var checks = expvar.NewInt("invariant_checks_count")

// BreachError is the value of the panic that a broken invariant raises.
type BreachError struct{ what string }

// Error says which invariant broke and how.
func (b BreachError) Error() string { return "invariant broken: " + b.what }

var stop atomic.Pointer[func(BreachError)]

// OnBreach replaces the panic, for a process that logs first. It is called once,
// before any check.
func OnBreach(f func(BreachError)) { stop.Store(&f) }

// Check stops the process unless ok holds. The format and args say what broke.
func Check(ok bool, format string, args ...any) {
	checks.Add(1)
	if ok {
		return
	}
	b := BreachError{what: fmt.Sprintf(format, args...)}
	if f := stop.Load(); f != nil {
		(*f)(b)
	}
	panic(b)
}
