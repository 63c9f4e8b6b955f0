package maker

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"chivepost/entry/internal/batch"
	"chivepost/entry/internal/dialer"
	"chivepost/entry/internal/notice"
	"chivepost/platform/wire"
)

// answerText is an answer of a stage target with the given body.
func answerText(status int, body string, headers ...string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n%s\r\n%s", status, len(body), strings.Join(headers, ""), body)
}

// startCopier starts a stage target that answers request n, counted from 0 over all
// connections, with answer(n), and writes the answer of the request before once more on the
// same connection: when the next request is there, and before the answer to that.
func startCopier(t *testing.T, answer func(n int) string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	requests := make(chan int, 1)
	requests <- 0
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				last := ""
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					n := <-requests
					requests <- n + 1
					own := answer(n)
					_, _ = io.WriteString(c, last+own)
					last = own
				}
			}()
		}
	}()
	return l.Addr().String()
}

// A stage target may write an answer once more, late, on a connection that is in use again.
// Stage calls have no ID that is echoed, so the results of one call were once taken for those
// of the next, and a request was given results of another.
func TestCopyOfAnAnswerIsNotTheAnswerToTheNextCall(t *testing.T) {
	results := func(n int) string { return answerText(200, fmt.Sprintf(`{"Items":[{"Handle":"t/%d"}]}`, n)) }
	noResults := answerText(200, `{"Items":[{"Reason":"late"}]}`)
	refusal := answerText(503, "", wire.HeaderNotRun+": 1\r\n")
	freed := answerText(200, "{}")
	tests := []struct {
		name    string
		answers []string // after these, results
		free    []int    // the calls that free results
	}{
		{"of results", nil, nil},
		{"of an answer without results", []string{noResults}, nil},
		{"of a refusal", []string{refusal}, nil},
		{"of results, while others are freed", []string{results(0), freed}, []int{1}},
		{"of the answer to freeing", []string{results(0), freed}, []int{1}},
		{"of a failure", []string{answerText(500, "")}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			target := batch.Target{ID: "t"}
			target.Address = startCopier(t, func(n int) string {
				if n < len(test.answers) {
					return test.answers[n]
				}
				return results(n)
			})
			pool := dialer.New()
			defer pool.Close()
			client := New(pool, notice.New(time.Second, logr.Discard()))
			for n := range 6 {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				if len(test.free) > 0 && test.free[0] == n {
					_ = client.Free(ctx, target, []string{"t/0"}) // may fail, but must spoil no later call
				} else {
					out, failure, _ := client.Run(ctx, &batch.Call{Target: target.ID, Address: target.Address, Pieces: make([]batch.Piece, 1)})
					if failure == batch.FailureNone && out[0].Handle != "" && out[0].Handle != fmt.Sprintf("t/%d", n) {
						t.Errorf("call %d got the result %s of another", n, out[0].Handle)
					}
				}
				cancel()
				time.Sleep(5 * time.Millisecond) // what the target wrote has arrived
			}
		})
	}
}

// A busy or leaving target gets no stage calls, and none that frees results.
func TestAnnouncementsBindStageCalls(t *testing.T) {
	tests := []struct {
		name, answer string
		wait         time.Duration // until the announcement binds
	}{
		{"busy", answerText(503, "", wire.HeaderNotRun+": 1\r\nRetry-After: 30\r\n"), 0},
		{"leaving", answerText(200, `{"Items":[{"Handle":"t/0"}]}`, "Server-Leaving: 1\r\n"), 60 * time.Millisecond},
		{"leaving, refused", answerText(503, "", wire.HeaderNotRun+": 1\r\nServer-Leaving: 1\r\n"), 60 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := make(chan int, 16)
			target := batch.Target{ID: "t"}
			target.Address = startCopier(t, func(n int) string { got <- n; return test.answer })
			pool := dialer.New()
			defer pool.Close()
			client := New(pool, notice.New(100*time.Millisecond, logr.Discard()))
			run := func() batch.Failure {
				_, failure, _ := client.Run(context.Background(), &batch.Call{Target: target.ID, Address: target.Address, Pieces: make([]batch.Piece, 1)})
				return failure
			}
			run()
			time.Sleep(test.wait)
			for range 5 {
				if failure := run(); failure != batch.FailureRefused {
					t.Errorf("got failure %d, want that of a refusal", failure)
				}
			}
			if err := client.Free(context.Background(), target, []string{"t/0"}); err == nil {
				t.Error("results were freed at a target that wants no requests")
			}
			if n := len(got); n != 1 {
				t.Errorf("the target got %d requests, want 1", n)
			}
		})
	}
}

// A target that has started again gives its handles anew. On a connection that carried no request
// before, an answer with the handles of an earlier one shows that, and isn't a copy.
func TestRepeatedAnswerOnANewConnectionShowsARestart(t *testing.T) {
	target := batch.Target{ID: "t", StartMillis: 1}
	target.Address = startCopier(t, func(int) string { return answerText(200, `{"Items":[{"Handle":"t/0"}]}`, "Connection: close\r\n") })
	pool := dialer.New()
	defer pool.Close()
	client := New(pool, notice.New(time.Second, logr.Discard()))
	for start, want := range []batch.Failure{batch.FailureNone, batch.FailureRepeated, batch.FailureNone} {
		call := &batch.Call{Target: target.ID, Address: target.Address, Start: int64(start / 2), Pieces: make([]batch.Piece, 1)}
		if _, failure, err := client.Run(context.Background(), call); failure != want {
			t.Errorf("call %d: got failure %d (%v), want %d", start, failure, err, want)
		}
	}
}

// Results are freed only at the start that made them.
func TestResultsOfAnotherStartAreNotFreed(t *testing.T) {
	got := make(chan int, 4)
	target := batch.Target{ID: "t", StartMillis: 2}
	target.Address = startCopier(t, func(n int) string { got <- n; return answerText(200, "{}") })
	pool := dialer.New()
	defer pool.Close()
	client := New(pool, notice.New(time.Second, logr.Discard()))
	for handle, want := range map[string]int{batch.BindHandle("t/1", 1): 0, "t/1": 0, batch.BindHandle("t/1", 2): 1} {
		if err := client.Free(context.Background(), target, []string{handle}); err != nil || len(got) != want {
			t.Errorf("freed %q: %v, the target got %d requests, want %d", handle, err, len(got), want)
		}
		for len(got) > 0 {
			<-got
		}
	}
}
