package target_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"chivepost/share/apiv1"
	"chivepost/share/bundle"
	"chivepost/share/target"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// rawCall makes a call with a long input to a target that reads the head of the request only,
// sends text, and then resets or closes the connection.
func rawCall(kind bundle.Kind, text string, resets bool) target.Result {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, text)
			time.Sleep(20 * time.Millisecond)
		}
		if resets {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	}()
	client := target.New(target.Options{})
	defer client.Close()
	return client.Run(context.Background(), target.Call{
		ID: id, Kind: kind, Address: listener.Addr().String(), Input: strings.Repeat("x", 16<<20), Timeout: 5 * time.Second, Once: true,
	}, nil)
}

// Guards against a part of a response that counts as the whole one, because the reset of the
// connection is reported to the writer of a long request only.
var _ = DescribeTable("rejects a response whose connection ends during the upload",
	func(kind bundle.Kind, part string, resets bool) {
		for range 10 {
			res := rawCall(kind, head+part, resets)
			Expect(res.Err).To(HaveOccurred())
			Expect(res.Execution).To(Equal(target.MayHaveExecuted))
		}
	},
	Entry("whole, reset", bundle.KindStage, `{"id":"`+id+`","output":"o`, true),
	Entry("whole, closed", bundle.KindStage, `{"id":"`+id+`","output":"o`, false),
	Entry("streamed, reset", bundle.KindEngine, tokenChunk, true),
	Entry("streamed, closed", bundle.KindEngine, tokenChunk, false),
)

// Guards against an invalid status line that counts as that of a response: as a success, or as
// the promise that the call has not run.
var _ = DescribeTable("rejects a response with an invalid status line",
	func(line string) {
		body := runBody(id, "out", 3, apiv1.Checksum("out"))
		headers := "\r\n" + target.HeaderRequestID + ": " + id + "\r\n" + target.HeaderNotRun + ": true\r\n\r\n"
		res := rawCall(bundle.KindStage, line+headers+body, false)
		Expect(res.Err).To(HaveOccurred())
		Expect(res.Execution).To(Equal(target.MayHaveExecuted))
	},
	Entry("status 000", "HTTP/1.1 000 X"),
	Entry("status 099", "HTTP/1.1 099 X"),
	Entry("status 1000", "HTTP/1.1 1000 X"),
	Entry("status with letters", "HTTP/1.1 2xx X"),
	Entry("no status", "HTTP/1.1"),
	Entry("success in another version", "HTTP/9.9 200 OK"),
	Entry("refusal in another version", "HTTP/9.9 503 X"),
)
