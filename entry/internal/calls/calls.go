// Package calls logs when the calls of a service start to fail and when they work
// again, without a line for each call.
package calls

import (
	"time"

	"github.com/go-logr/logr"
)

// linePause is the least time between two lines that say that calls of the log
// service fail. An outage, or an append rate at its limit, would repeat them.
const linePause = 10 * time.Second

// Health is the state of one kind of call of the log service. It is not safe for
// concurrent use.
type Health struct {
	failing bool
	// said is set if the current failure was logged; at is when the last one was.
	said bool
	at   time.Time
}

// Record takes the outcome of a call and logs a change.
func (s *Health) Record(logger logr.Logger, call string, err error) {
	failing := err != nil
	if failing == s.failing {
		return
	}
	s.failing = failing
	switch {
	case failing && time.Since(s.at) >= linePause:
		s.said, s.at = true, time.Now()
		logger.Error(err, "log service call fails", "call", call)
	case failing:
		s.said = false
	case s.said:
		logger.Info("log service call works again", "call", call)
	}
}

// IsFailing reports whether the last call failed.
func (s *Health) IsFailing() bool { return s.failing }
