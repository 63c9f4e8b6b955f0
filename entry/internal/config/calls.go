package config

import (
	"time"

	"github.com/go-logr/logr"
)

// linePause is the least time between two lines that say that calls of the log
// service fail. An outage, or an append rate at its limit, would repeat them.
const linePause = 10 * time.Second

// callState logs when calls of the log service start to fail and when they work again.
type callState struct {
	failing bool
	// said is set if the current failure was logged; at is when the last one was.
	said bool
	at   time.Time
}

// note takes the outcome of a call.
func (s *callState) note(logger logr.Logger, call string, err error) {
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
