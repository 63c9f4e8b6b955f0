// Package guard keeps a panic in one task from ending the process: it is logged with its
// stack, and what other tasks do goes on. Tasks that decide what may run at most once aren't
// guarded, because a host must not go on with such state in doubt.
package guard

import (
	"context"
	"expvar"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"
)

var panics = expvar.NewInt("panics_count")

const (
	// restartPause is the pause before a background task starts again, so that one that
	// panics each time takes little of the processor.
	restartPause = 500 * time.Millisecond
	// logInterval and logBurst limit the lines on panics, each with a stack.
	logInterval = time.Second
	logBurst    = 10
)

var logLimit = rate.NewLimiter(rate.Every(logInterval), logBurst)

// Run calls f and returns its panic as an error.
func Run(logger logr.Logger, task string, f func()) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = Report(logger, task, p)
		}
	}()
	f()
	return nil
}

// Report logs a recovered panic with the stack and returns it as an error.
func Report(logger logr.Logger, task string, p any) error {
	panics.Add(1)
	err := fmt.Errorf("panic in %s: %v", task, p)
	if logLimit.Allow() {
		logger.Error(err, "panic", "task", task, "stack", string(debug.Stack()))
	}
	return err
}

// Keep runs f until it returns or ctx ends, and starts it again after a panic.
func Keep(ctx context.Context, logger logr.Logger, task string, f func()) {
	for Run(logger, task, f) != nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(restartPause):
		}
	}
}
