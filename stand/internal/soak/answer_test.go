package soak

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"chivepost/platform/wire"
)

// Guards against a check of answers that takes a broken one for a whole one.
func TestCheckAnswer(t *testing.T) {
	body := func(parts ...string) io.Reader { return strings.NewReader(strings.Join(parts, "")) }
	broken := func(parts ...string) io.Reader { return io.MultiReader(body(parts...), errReader{}) }
	one, two := "id: 1\ndata: x 1\n\n", "id: 2\ndata: x 2\n\n"
	tests := []struct {
		name       string
		events     int
		status     int
		body       io.Reader
		want       outcome
		violations int
	}{
		{"whole stream", 2, 200, body(one, two), answered, 0},
		{"stream ends early", 2, 200, body(one), failed, 1},
		{"stream ends inside an event", 2, 200, body(one, "id: 2\ndata: x 2"), failed, 1},
		{"stream is cut", 2, 200, broken(one), cut, 0},
		{"stream is cut inside an event", 2, 200, broken(one, "id: 2\ndata: x"), cut, 0},
		{"event is missing", 2, 200, body(two), failed, 1},
		{"plain answer", 0, 200, body(responseBody("x", requestBody("x"))), answered, 0},
		{"another answer", 0, 200, body("y"), answered, 1},
		{"refused", 0, 503, body(), refused, 0},
		{"bad gateway", 0, 502, body(), failed, 0},
		{"valid request", 0, 404, body(), failed, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newChecker()
			c.recordSent("x", false, "k", "a", callTimeout)
			resp := &http.Response{StatusCode: test.status, Body: io.NopCloser(test.body), Header: http.Header{}}
			resp.Header.Set(wire.HeaderID, "x")
			resp.Header.Set(wire.HeaderReceipt, "receipt-x")
			resp.Header.Set(wire.HeaderRetryAfter, "1")
			got, _, _ := c.checkAnswer(keptRequest{id: "x", events: test.events}, resp)
			if got != test.want || len(c.violations) != test.violations {
				t.Errorf("outcome %s and violations %q, want %s and %d", got, c.violations, test.want, test.violations)
			}
		})
	}
}

// errReader fails as a connection that was reset.
type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
