package edge

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/go-logr/logr/funcr"

	"chivepost/platform/wire"
)

// Guards against bytes of a faulty target, which may be those of an answer to somebody else, in
// the response to a caller and in the log: an error once quoted up to the whole head.
func TestMalformedAnswerIsNotQuoted(t *testing.T) {
	const secret, maxText = "of somebody else", 1 << 10
	long := strings.Repeat("\x01"+secret, 3000)
	for name, answer := range map[string]string{
		"no head":                long + "\r\n\r\n",
		"status":                 "HTTP/1.1 " + long + "\r\n\r\n",
		"line without a colon":   "HTTP/1.1 200 OK\r\n" + long + "\r\n\r\n",
		"name of a header":       "HTTP/1.1 200 OK\r\nA" + long + ": b\r\n\r\n",
		"length":                 "HTTP/1.1 200 OK\r\nContent-Length: " + strings.ReplaceAll(long, "\x01", "") + "\r\n\r\n",
		"encoding":               "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + strings.ReplaceAll(long, "\x01", "") + "\r\n\r\n",
		"ID":                     "HTTP/1.1 200 OK\r\n" + wire.HeaderID + ": " + strings.ReplaceAll(long, "\x01", "") + "\r\nContent-Length: 100\r\n\r\nx",
		"chunk":                  "HTTP/1.1 200 OK\r\n" + wire.HeaderID + ": id1\r\n" + wire.HeaderReceipt + ": s\r\nTransfer-Encoding: chunked\r\n\r\n" + long[:4000] + "\r\n",
		"trailer behind a chunk": "HTTP/1.1 200 OK\r\n" + wire.HeaderID + ": id1\r\n" + wire.HeaderReceipt + ": s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + long[:3000] + "\r\n\r\n",
	} {
		for _, path := range []string{"/once/x", "/safe/x", "/stream/x"} {
			t.Run(name+path, func(t *testing.T) {
				script := func(w net.Conn, _ *http.Request) {
					_, _ = io.WriteString(w, answer)
					_ = w.Close()
				}
				h := startHost(t, fakeStages{}, script, script)
				var log logLines
				h.handler.logger = funcr.New(log.add, funcr.Options{Verbosity: 1})
				got := h.send(t, path, nil)
				if got.status != http.StatusBadGateway || got.err != nil {
					t.Errorf("status %d, %v, want 502", got.status, got.err)
				}
				if strings.Contains(got.body, secret) || len(got.body) > maxText {
					t.Errorf("the response of %d bytes quotes the target: %.200q", len(got.body), got.body)
				}
				h.awaitIdle(t)
				lines := log.matching("")
				if len(lines) == 0 {
					t.Error("got no log line")
				}
				for _, line := range lines {
					if strings.Contains(line, secret) || len(line) > 2*maxText {
						t.Errorf("a log line of %d bytes quotes the target: %.200q", len(line), line)
					}
				}
			})
		}
	}
}
