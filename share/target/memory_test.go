package target_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"time"

	"chivepost/share/apiv1"
	"chivepost/share/bundle"
	"chivepost/share/heap"
	"chivepost/share/target"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a host that runs out of memory, and ends the requests of all callers, because
// one target answers with bytes without end. A host may use 256 MB, and the targets of the
// example deployments run up to 32 calls.
var _ = DescribeTable("leaves half of a host's memory when a target answers without end",
	func(kind bundle.Kind, start, unit string) {
		const calls, limit = 32, 128 << 20
		server := httptest.NewServer(endless(start, unit))
		defer server.Close()
		client := target.New(target.Options{DataCentre: "thies"})
		defer client.Close()
		runtime.GC() // what earlier specs have left
		got := heap.Peak(func() {
			var wait sync.WaitGroup
			for range calls {
				wait.Go(func() {
					res := client.Run(context.Background(), target.Call{
						ID: id, Kind: kind, Address: server.Listener.Addr().String(), Input: "in", Timeout: 5 * time.Second,
					}, nil)
					defer GinkgoRecover()
					Expect(res.Err).To(HaveOccurred())
				})
			}
			wait.Wait()
		})
		Expect(got).To(BeNumerically("<=", limit), "bytes of heap in use")
	},
	Entry("head", bundle.KindStage, "", "x"),
	Entry("headers", bundle.KindStage, "HTTP/1.1 200 OK\r\n", "A: b\r\n"),
	Entry("body that is no output", bundle.KindStage, head, "x"),
	Entry("blanks", bundle.KindStage, head, " "),
	Entry("output", bundle.KindStage, head+`{"output":"`, "x"),
	Entry("escaped output", bundle.KindStage, head+`{"output":"`, `\u0001`),
	Entry("unknown field", bundle.KindStage, head+`{"other":[`, "1,"),
	Entry("line of a stream", bundle.KindEngine, head, "x"),
	Entry("text of a stream", bundle.KindEngine, head, `data: {"id":"c1","choices":[{"text":"`+strings.Repeat("x", 1<<10)+`"}]}`+"\n\n"),
)

// Guards against a limit on the memory of all responses that fails calls to sound targets.
var _ = It("reads short responses while others hold all memory for responses", func() {
	const calls = 32
	var sent sync.WaitGroup
	sent.Add(calls)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(target.HeaderRequestID, id)
		_, _ = io.WriteString(w, `{"output":"`+strings.Repeat("x", 1200<<10))
		_ = http.NewResponseController(w).Flush()
		sent.Done()
		<-r.Context().Done()
	}))
	defer server.Close()
	sound := httptest.NewServer(respond(200, id, runBody(id, "out", 3, apiv1.Checksum("out"))))
	defer sound.Close()
	client := target.New(target.Options{DataCentre: "thies"})
	defer client.Close()
	ctx, cancel := context.WithCancel(context.Background())
	run := func(server *httptest.Server) target.Result {
		return client.Run(ctx, target.Call{ID: id, Kind: bundle.KindStage, Address: server.Listener.Addr().String(), Input: "in"}, nil)
	}
	reasons := make(chan target.Reason, calls)
	for range calls {
		go func() { reasons <- reason(run(server)) }()
	}
	sent.Wait()
	Eventually(reasons).Should(Receive(Equal(target.ReasonTooLarge)))
	for range 20 {
		res := run(sound)
		Expect(res.Err).NotTo(HaveOccurred())
		Expect(res.Output).To(Equal("out"))
	}
	cancel()
})
