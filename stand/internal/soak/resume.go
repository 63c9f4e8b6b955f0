package soak

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"chivepost/platform/wire"
)

const (
	// breakOf is one in how many events a target that breaks its streams sends no further.
	breakOf = 6
	// failedResumeOf is one in how many resumed streams a target serves that fails the others.
	failedResumeOf = 4
)

// resumeFaults are streams that break off, and targets that answer with something else than a
// stream when they are to go on with one.
var resumeFaults = []fault{
	{"target breaks its streams", false, func(r *runner, _ time.Duration) func() {
		t := r.randomTarget(serviceModel)
		end := r.trace.recordOutage(t.id)
		t.breaksStreams.Store(true)
		return func() { t.breaksStreams.Store(false); end() }
	}},
	{"target fails resumed streams", false, func(r *runner, _ time.Duration) func() {
		t := r.randomTarget(serviceModel)
		end := r.trace.recordOutage(t.id)
		t.failsResumes.Store(true)
		return func() { t.failsResumes.Store(false); end() }
	}},
}

// oddResume is an answer that doesn't go on with a stream.
type oddResume struct {
	status            int
	contentType, body string
	isUnframed        bool
}

const eventStream = "text/event-stream"

var oddResumes = []oddResume{
	{http.StatusTooManyRequests, "", "", false},
	{http.StatusTooManyRequests, "text/plain", "too many requests\n\n", false},
	{http.StatusRequestTimeout, "text/plain", "timeout", false},
	{http.StatusBadRequest, eventStream, "data: bad request\n\n", false},
	{http.StatusNoContent, "", "", false},
	{http.StatusInternalServerError, "text/plain", "broken", false},
	{http.StatusOK, "application/json", "{\"error\":\"broken\"}\n\n", false},
	{http.StatusOK, eventStream, "data: broken\n\n", false},
	{http.StatusOK, eventStream, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nbroken", false},
	{http.StatusOK, eventStream, "", true},
}

// failResume answers a request that resumes a stream with something else, if the target does
// that now, and reports whether it did.
func (t *fakeTarget) failResume(w http.ResponseWriter, lastEvent int) bool {
	n := int(t.resumes.Add(1))
	if lastEvent == 0 || !t.failsResumes.Load() || n%failedResumeOf == 0 {
		return false
	}
	t.run.checker.count("resumed streams failed")
	odd := oddResumes[n%len(oddResumes)]
	if odd.isUnframed {
		t.endWithConnection(w, odd)
		return true
	}
	w.Header().Set("Content-Type", odd.contentType)
	w.WriteHeader(odd.status)
	_, _ = io.WriteString(w, odd.body) // the sender may have disconnected
	return true
}

// endWithConnection writes an answer whose end is that of its connection.
func (t *fakeTarget) endWithConnection(w http.ResponseWriter, odd oddResume) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		t.run.checker.report("stand-in: %v", err)
		return
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: %s\r\n\r\n%s", odd.status, wire.HeaderID, w.Header().Get(wire.HeaderID),
		wire.HeaderReceipt, w.Header().Get(wire.HeaderReceipt), odd.contentType, odd.body)
	_ = c.Close()
}

// breaksOff reports whether the target breaks off a stream before its next event.
func (t *fakeTarget) breaksOff() bool {
	if !t.breaksStreams.Load() || t.events.Add(1)%breakOf != 0 {
		return false
	}
	t.run.checker.count("streams broken off by targets")
	return true
}
