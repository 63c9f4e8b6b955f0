package target_test

import (
	"net/http"
	"strings"

	"chivepost/share/bundle"
	"chivepost/share/target"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// write returns a handler that writes text to the connection and closes it.
func write(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = c.Write([]byte(text))
		_ = c.Close()
	}
}

// Guards against errors that quote what a faulty target has sent, which may be an answer to
// somebody else: they reach callers and logs.
var _ = DescribeTable("doesn't quote a malformed response",
	func(kind bundle.Kind, once bool, text string) {
		res := call(kind, once, write(text))
		Expect(res.Err).To(HaveOccurred())
		Expect(len(res.Err.Error())).To(BeNumerically("<=", 1<<10))
		Expect(res.Err.Error()).NotTo(ContainSubstring(secret))
	},
	Entry("no head", bundle.KindStage, false, secrets+"\r\n\r\n"),
	Entry("no head, once", bundle.KindStage, true, secrets+"\r\n\r\n"),
	Entry("status", bundle.KindStage, false, "HTTP/1.1 "+secrets+"\r\n\r\n"),
	Entry("line without a colon", bundle.KindStage, false, "HTTP/1.1 200 OK\r\n"+secrets+"\r\n\r\n"),
	Entry("length", bundle.KindStage, false, "HTTP/1.1 200 OK\r\nContent-Length: "+secrets+"\r\n\r\n"),
	Entry("encoding", bundle.KindStage, false, "HTTP/1.1 200 OK\r\nTransfer-Encoding: "+secrets+"\r\n\r\n"),
	Entry("ID", bundle.KindStage, false, "HTTP/1.1 200 OK\r\n"+target.HeaderRequestID+": "+secrets+"\r\n\r\n{}"),
	Entry("ID in the body", bundle.KindStage, false, head+`{"id":"`+secrets+`"}`),
	Entry("body", bundle.KindStage, false, head+secrets),
	Entry("number", bundle.KindStage, false, head+`{"id":`+strings.Repeat("1234567890", 1000)+`}`),
	Entry("length of the output", bundle.KindStage, false, head+`{"length":`+strings.Repeat("1234567890", 1000)+`}`),
	Entry("ID of a chunk", bundle.KindEngine, false, head+tokenChunk+`data: {"id":"`+secrets+`"}`+"\n\n"),
	Entry("chunk", bundle.KindEngine, false, head+"data: "+secrets+"\n\n"),
	Entry("number in a chunk", bundle.KindEngine, false, head+`data: {"id":`+strings.Repeat("1234567890", 1000)+"}\n\n"),
)

const secret = "of somebody else"

var secrets = strings.Repeat(secret, 3000)
