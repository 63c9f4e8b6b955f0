package target_test

import (
	"net/http"
	"runtime"
	"strings"
	"time"

	"chivepost/share/bundle"
	"chivepost/share/target"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// endless returns a handler that sends start and then unit until the caller closes the
// connection. Nothing of it need be HTTP.
func endless(start, unit string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		block := []byte(strings.Repeat(unit, 1+(4<<10)/len(unit)))
		_, err = c.Write([]byte(start))
		for err == nil {
			_, err = c.Write(block)
		}
	}
}

// head is the head of a response that ends with its connection.
const head = "HTTP/1.1 200 OK\r\n" + target.HeaderRequestID + ": " + id + "\r\n\r\n"

// Guards against a target that occupies the memory of its caller or the whole time of a call
// with bytes that never end.
var _ = DescribeTable("cuts off responses without end",
	func(kind bundle.Kind, once bool, start, unit string, want target.Reason, maxAlloc uint64) {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		began := time.Now()
		res := call(kind, once, endless(start, unit))
		runtime.ReadMemStats(&after)
		Expect(reason(res)).To(Equal(want), "error: %v", res.Err)
		Expect(res.Execution).To(Equal(target.MayHaveExecuted))
		Expect(time.Since(began)).To(BeNumerically("<", 800*time.Millisecond), "of the call's 1 s")
		Expect(after.TotalAlloc-before.TotalAlloc).To(BeNumerically("<=", maxAlloc), "bytes allocated")
	},
	Entry("bytes without a line end", bundle.KindStage, false, "", "x", target.ReasonConnectionLost, uint64(4<<20)),
	Entry("headers", bundle.KindStage, false, "HTTP/1.1 200 OK\r\n", "A: b\r\n", target.ReasonConnectionLost, uint64(4<<20)),
	Entry("headers, once", bundle.KindStage, true, "HTTP/1.1 200 OK\r\n", "A: b\r\n", target.ReasonConnectionLost, uint64(4<<20)),
	Entry("output", bundle.KindStage, false, head, "x", target.ReasonTooLarge, uint64(64<<20)),
	Entry("line of a stream", bundle.KindEngine, false, head, "x", target.ReasonConnectionLost, uint64(16<<20)),
	Entry("blank lines of a stream", bundle.KindEngine, false, head, "\n", target.ReasonFormat, uint64(16<<20)),
	Entry("comments of a stream", bundle.KindEngine, false, head+tokenChunk, ": x\n\n", target.ReasonFormat, uint64(16<<20)),
	Entry("chunks of a stream without tokens", bundle.KindEngine, false, head, `data: {"id":"c1"}`+"\n\n", target.ReasonFormat, uint64(64<<20)),
)
