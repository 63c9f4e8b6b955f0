package logsvc_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"chivepost/share/logsvc"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLogsvc(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "logsvc")
}

// status returns a handler that answers with a status code and a body.
func status(code int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(code)
		_, _ = w.Write([]byte(body))
	}
}

// Guards against an append that took effect being reported as one that did not, and
// against net/http sending an append twice.
var _ = DescribeTable("distinguishes appends without effect from those with an unknown outcome",
	func(handler http.HandlerFunc, want error) {
		calls := 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls++
			handler(w, r)
		}))
		_, err := logsvc.New(server.URL, server.Client()).Append(context.Background(), "claims", [][]byte{{1}})
		server.Close()
		if want == nil {
			Expect(err).NotTo(HaveOccurred())
		} else {
			Expect(err).To(MatchError(want))
		}
		Expect(calls).To(Equal(1))
		_, err = logsvc.New(server.URL, http.DefaultClient).Append(context.Background(), "claims", nil)
		Expect(err).To(MatchError(logsvc.ErrUnavailable), "no server listens")
	},
	Entry("done", status(200, `{"offset":1}`), nil),
	Entry("down", status(503, ""), logsvc.ErrUnavailable),
	Entry("above the rate limit", status(429, ""), logsvc.ErrUnavailable),
	Entry("failed", status(500, ""), logsvc.ErrUnknown),
	Entry("garbled", status(200, `{`), logsvc.ErrUnknown),
	Entry("connection aborted", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }), logsvc.ErrUnknown),
)
