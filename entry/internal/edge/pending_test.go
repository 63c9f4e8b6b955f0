package edge

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"chivepost/entry/internal/drain"
	"chivepost/platform/wire"
)

// logLines collects the lines that a handler logs.
type logLines struct {
	mu    sync.Mutex
	lines []string
}

func (l *logLines) add(_, line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, line)
}

func (l *logLines) matching(text string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for _, line := range l.lines {
		if strings.Contains(line, text) {
			out = append(out, line)
		}
	}
	return out
}

// Incident "lost in restarts": a process that ended with requests in progress left no
// line of them.
func TestRequestsInProgressAreLoggedWhenTheProcessEnds(t *testing.T) {
	running, release := make(chan struct{}), make(chan struct{})
	h := startHost(t, fakeStages{}, func(w net.Conn, r *http.Request) {
		close(running)
		<-release
		ok(w, r)
	})
	var log logLines
	h.handler.logger = funcr.New(log.add, funcr.Options{})
	h.handler.Leave(drain.NewPlan(time.Now(), 8*time.Second, DirectoryTTL))
	time.Sleep(time.Millisecond)
	answered := make(chan received)
	go func() { answered <- h.send(t, "/once/x", nil) }()
	<-running
	h.handler.LogPending()
	got := log.matching("request abandoned")
	if len(got) != 1 || !strings.Contains(got[0], `"id"="id1"`) || !strings.Contains(got[0], `"phase"="target"`) || strings.Contains(got[0], `"leaving_for"="0s"`) {
		t.Errorf("got lines %q, want one of request id1, at a target, that arrived while the host was leaving", got)
	}
	close(release)
	<-answered
	if got := log.matching(`"msg"="request"`); len(got) != 1 || strings.Contains(got[0], `"leaving_for"="0s"`) {
		t.Errorf("got lines %q, want one with the time for which the host had been leaving", got)
	}
	if n := h.handler.Active(); n != 0 {
		t.Errorf("%d requests in progress after the answer, want 0", n)
	}
}

// Incident "tainted prompts": the lines of a broken answer didn't say what its prompt
// shared with others.
func TestBrokenAnswerIsLoggedWithTheSharedPartsOfItsPrompt(t *testing.T) {
	h := startHost(t, fakeStages{}, func(w net.Conn, r *http.Request) {
		streamHead(w, r)
		_ = w.Close()
	})
	var log logLines
	h.handler.logger = funcr.New(log.add, funcr.Options{})
	h.send(t, "/stream/x", func(r *http.Request) { r.Header.Set(wire.HeaderPrefix, "aa:100,bb:200,cc:300") })
	got := log.matching("target broke off")
	if len(got) != 1 || !strings.Contains(got[0], `"shared_parts"=["aa" "bb"]`) || !strings.Contains(got[0], `"head_received"=true`) {
		t.Errorf("got lines %q, want one with the parts aa and bb, without the request's own", got)
	}
}
