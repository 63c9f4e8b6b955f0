package logsvc_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"time"

	"chivepost/share/logsvc"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// endless returns a handler that answers with a status code and start, and then sends unit
// again and again, each time after a pause, until the client closes the connection.
func endless(code int, start, unit string, pause time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(code)
		_, err := w.Write([]byte(start))
		for err == nil {
			if err = http.NewResponseController(w).Flush(); err == nil {
				time.Sleep(pause)
				_, err = w.Write([]byte(unit))
			}
		}
	}
}

// Guards against an answer without end that takes all memory, or the whole time of a call
// whose outcome is known.
var _ = DescribeTable("cuts off answers without end",
	func(handler http.HandlerFunc, wantAppend, wantRead error) {
		const timeout, maxPage = 2 * time.Second, 1 << 20
		server := httptest.NewServer(handler)
		defer server.Close()
		client := logsvc.New(server.URL, server.Client(), logsvc.WithMaxPageBytes(maxPage))
		ctx, cancel := context.WithTimeout(context.Background(), 2*timeout)
		defer cancel()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		began := time.Now()
		_, appendErr := client.Append(ctx, "claims", [][]byte{{1}})
		_, readErr := client.Read(ctx, "claims", 1, 10, 0)
		runtime.ReadMemStats(&after)
		if wantAppend == nil {
			Expect(appendErr).NotTo(HaveOccurred())
		} else {
			Expect(appendErr).To(MatchError(wantAppend))
		}
		if wantRead == nil {
			Expect(readErr).NotTo(HaveOccurred())
		} else {
			Expect(readErr).To(MatchError(wantRead))
		}
		Expect(time.Since(began)).To(BeNumerically("<", timeout))
		Expect(after.TotalAlloc-before.TotalAlloc).To(BeNumerically("<=", 16*maxPage), "bytes allocated")
	},
	Entry("one value", endless(200, `{"x":"`, strings.Repeat("x", 4<<10), 0), logsvc.ErrUnknown, logsvc.ErrUnavailable),
	Entry("after the answer", endless(200, `{"offset":1}`, "x", 20*time.Millisecond), nil, nil),
	Entry("with a failure", endless(503, "", "x", 20*time.Millisecond), logsvc.ErrUnavailable, logsvc.ErrUnavailable),
)
