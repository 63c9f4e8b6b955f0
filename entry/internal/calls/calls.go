// Package calls logs when calls of the log service start to fail and when they succeed
// again, without a log line for each call.
package calls

import (
	"time"

	"github.com/go-logr/logr"
)

// minLogInterval is the minimum time between two log lines about failing calls. Calls
// fail and succeed in turn during an outage or while the append rate is at its limit,
// which would otherwise repeat the lines.
const minLogInterval = 10 * time.Second

// Health tracks whether calls of one kind succeed or fail. It is not safe for
// concurrent use.
type Health struct {
	failing bool
	// logged is set if the current failure was logged. loggedAt is when a failure was
	// last logged.
	logged   bool
	loggedAt time.Time
}

// Record records the outcome of a call and logs a change between success and failure.
func (h *Health) Record(logger logr.Logger, call string, err error) {
	failing := err != nil
	if failing == h.failing {
		return
	}
	h.failing = failing
	switch {
	case failing && time.Since(h.loggedAt) >= minLogInterval:
		h.logged, h.loggedAt = true, time.Now()
		logger.Error(err, "log service calls fail", "call", call)
	case failing:
		h.logged = false
	case h.logged:
		logger.Info("log service calls succeed again", "call", call)
	}
}

// IsFailing reports whether the last call failed.
func (h *Health) IsFailing() bool { return h.failing }
