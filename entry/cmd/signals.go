package cmd

import (
	"os"
	"os/signal"
	"syscall"
	"time"
)

// signals receives the signals of a process. Stop and reload have channels of their own, so
// that many reloads can't displace a stop.
type signals struct {
	stop   chan time.Time // receives the time of the first SIGTERM or SIGINT
	reload chan os.Signal
}

// notifySignals registers for all signals that a process handles. Further ones to stop do
// nothing, so that they interrupt no shutdown.
func notifySignals() *signals {
	s := &signals{stop: make(chan time.Time, 1), reload: make(chan os.Signal, 1)}
	terminate := make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	go func() {
		<-terminate
		s.stop <- time.Now()
	}()
	return s
}

// awaitStop returns the time of the signal to stop. It calls reload on each SIGHUP before.
func (s *signals) awaitStop(reload func()) time.Time {
	for {
		select {
		case t := <-s.stop:
			return t
		case <-s.reload:
			reload()
		}
	}
}
