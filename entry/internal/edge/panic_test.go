package edge

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"chivepost/entry/internal/batch"
	"chivepost/entry/internal/graph"
	"chivepost/platform/wire"
)

// panickingStages panics on the first order.
type panickingStages struct{ once sync.Once }

func (s *panickingStages) Run(context.Context, batch.Order, time.Time, time.Time) (*graph.Results, error) {
	s.once.Do(func() { panic("odd order") })
	return &graph.Results{Handles: []string{"t/1"}}, nil
}

// A panic in one request ends that one, with an answer that promises nothing, and is logged
// with the request's ID and the stack. It was once written to standard error without either.
func TestPanicEndsOneRequest(t *testing.T) {
	var mu sync.Mutex
	var lines []string
	h := startHost(t, &panickingStages{}, func(w net.Conn, r *http.Request) { reply(w, r, 200, "id: 1\ndata: x\n\n") })
	h.handler.logger = funcr.New(func(_, args string) {
		mu.Lock()
		defer mu.Unlock()
		lines = append(lines, args)
	}, funcr.Options{})
	withPieces := func(r *http.Request) { r.Header.Set(wire.HeaderPieces, "2") }
	if got := h.send(t, "/staged/x", withPieces); got.status != http.StatusInternalServerError {
		t.Errorf("got %+v, want 500", got)
	}
	if got := h.send(t, "/staged/x", withPieces); got.status != http.StatusOK {
		t.Errorf("the next request got %+v, want 200", got)
	}
	mu.Lock()
	defer mu.Unlock()
	for _, line := range lines {
		if strings.Contains(line, "odd order") && strings.Contains(line, "id1") && strings.Contains(line, "panic_test.go") {
			return
		}
	}
	t.Errorf("log lines %.300q, want one with the request's ID and the stack", lines)
}
