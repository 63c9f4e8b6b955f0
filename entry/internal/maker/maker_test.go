package maker

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"chivepost/entry/internal/batch"
	"chivepost/entry/internal/dialer"
	"chivepost/entry/internal/notice"
	"chivepost/platform/wire"
	"chivepost/share/heap"
)

// startTarget starts a stage target that answers a request with start and then sends unit
// again and again, each time after a pause, until the connection closes.
func startTarget(t *testing.T, start, unit string, pause time.Duration) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, err = io.WriteString(c, start)
		for err == nil {
			time.Sleep(pause)
			_, err = io.WriteString(c, unit)
		}
	}()
	return l.Addr().String()
}

// A stage target in trouble may send bytes without end. The call once ended at its timeout
// though the target had refused it, and an answer that went on past the limit counted.
func TestEndlessStageAnswers(t *testing.T) {
	const timeout = 2 * time.Second
	refusal := "HTTP/1.1 503 Busy\r\n" + wire.HeaderNotRun + ": 1\r\n\r\n"
	results := "HTTP/1.1 200 OK\r\n\r\n" + `{"Items":[{"Handle":"t/1"}]}`
	block := strings.Repeat(" ", 4<<10)
	tests := []struct {
		name, start, unit string
		pause             time.Duration
		want              batch.Failure
	}{
		{"head", "", block, 0, batch.FailureBroken},
		{"refusal", refusal, block, 0, batch.FailureRefused},
		{"slow refusal", refusal, " ", 20 * time.Millisecond, batch.FailureRefused},
		{"failure", "HTTP/1.1 500 Broken\r\n\r\n", " ", 20 * time.Millisecond, batch.FailureBroken},
		{"results", results, block, 0, batch.FailureBroken},
		{"garbage", "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 4<<10), 0, batch.FailureBroken},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			pool := dialer.New()
			defer pool.Close()
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			start := time.Now()
			outcomes, failure, err := New(pool, notice.New(time.Second, logr.Discard())).Run(ctx, &batch.Call{
				Target: "t", Address: startTarget(t, test.start, test.unit, test.pause), Pieces: make([]batch.Piece, 1),
			})
			if failure != test.want || err == nil {
				t.Errorf("got outcomes %v, failure %d, %v, want failure %d", outcomes, failure, err, test.want)
			}
			if took := time.Since(start); took > timeout/2 {
				t.Errorf("the call took %v, want it to end well before its timeout of %v", took, timeout)
			}
		})
	}
}

// Guards against a host that runs out of memory because one stage target answers without end.
// The smallest host has 184 MB; calls to one target must leave it half of that.
func TestEndlessStageAnswersFitIntoTheMemory(t *testing.T) {
	const limit = 92 << 20
	for name, start := range map[string]string{
		"head": "", "results": "HTTP/1.1 200 OK\r\n\r\n" + `{"Items":[{"Handle":"t/1"}]}`, "refusal": "HTTP/1.1 503 Busy\r\n" + wire.HeaderNotRun + ": 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			pool := dialer.New()
			defer pool.Close()
			client := New(pool, notice.New(time.Second, logr.Discard()))
			runtime.GC() // what earlier tests have left
			highest := heap.Peak(func() {
				var wait sync.WaitGroup
				for range maxConnections {
					address := startTarget(t, start, strings.Repeat(" ", 4<<10), 0)
					wait.Go(func() {
						ctx, cancel := context.WithTimeout(context.Background(), maxCall)
						defer cancel()
						_, _, _ = client.Run(ctx, &batch.Call{Target: "t", Address: address, Pieces: make([]batch.Piece, 1)})
					})
				}
				wait.Wait()
			})
			if highest > limit {
				t.Errorf("the heap took %d bytes, want at most %d", highest, limit)
			}
		})
	}
}
