package target_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chivepost/share/apiv1"
	"chivepost/share/bundle"
	"chivepost/share/target"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestTarget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "target")
}

const id = "run/stage/1"

// call makes one call to a target that handler implements.
func call(kind bundle.Kind, once bool, handler http.HandlerFunc) target.Result {
	server := httptest.NewServer(handler)
	defer server.Close()
	client := target.New(target.Options{DataCentre: "thies"})
	defer client.Close()
	return client.Run(context.Background(), target.Call{
		ID: id, Kind: kind, Address: server.Listener.Addr().String(), Input: "in", Timeout: time.Second, Once: once,
	}, nil)
}

// reason returns the reason of the result's error, or "".
func reason(res target.Result) target.Reason {
	var callErr *target.CallError
	if !errors.As(res.Err, &callErr) {
		return ""
	}
	return callErr.Reason
}

// respond returns a handler that responds with the request ID gotID and body.
func respond(status int, gotID, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(target.HeaderRequestID, gotID)
		w.Header().Set(target.HeaderState, "warm")
		w.Header().Set(target.HeaderBoot, "boot-1")
		w.WriteHeader(status)
		_, _ = fmt.Fprint(w, body)
	}
}

func runBody(id, output string, length int, checksum string) string {
	return fmt.Sprintf(`{"id":%q,"output":%q,"length":%d,"checksum":%q}`, id, output, length, checksum)
}

var _ = DescribeTable("rejects invalid responses and those to another call",
	func(handler http.HandlerFunc, want target.Reason, sent target.Execution) {
		res := call(bundle.KindStage, false, handler)
		Expect(reason(res)).To(Equal(want), "error: %v", res.Err)
		Expect(res.Execution).To(Equal(sent))
	},
	Entry("whole", respond(200, id, runBody(id, "out", 3, apiv1.Checksum("out"))), target.Reason(""), target.Executed),
	Entry("header of another call", respond(200, "x/y/1", runBody(id, "out", 3, apiv1.Checksum("out"))), target.ReasonWrongID, target.MayHaveExecuted),
	Entry("body of another call", respond(200, id, runBody("x/y/1", "out", 3, apiv1.Checksum("out"))), target.ReasonWrongID, target.MayHaveExecuted),
	Entry("output shorter than its length", respond(200, id, runBody(id, "ou", 3, apiv1.Checksum("out"))), target.ReasonIncomplete, target.MayHaveExecuted),
	Entry("wrong length", respond(200, id, runBody(id, "out", 4, apiv1.Checksum("out"))), target.ReasonIncomplete, target.MayHaveExecuted),
	Entry("wrong checksum", respond(200, id, runBody(id, "oat", 3, apiv1.Checksum("out"))), target.ReasonIncomplete, target.MayHaveExecuted),
	Entry("not JSON", respond(200, id, "out"), target.ReasonFormat, target.MayHaveExecuted),
	Entry("truncated body", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "1000")
		respond(200, id, `{"id":`)(w, r)
	}), target.ReasonIncomplete, target.MayHaveExecuted),
	Entry("error", respond(500, id, ""), target.ReasonStatus, target.MayHaveExecuted),
	Entry("busy without the header that nothing was run", respond(503, id, ""), target.ReasonStatus, target.MayHaveExecuted),
	Entry("not run", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(target.HeaderNotRun, "true")
		respond(503, id, "")(w, r)
	}), target.ReasonNotRun, target.NotExecuted),
	Entry("not run, for another call", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(target.HeaderNotRun, "true")
		respond(503, "x/y/1", "")(w, r)
	}), target.ReasonWrongID, target.MayHaveExecuted),
	Entry("redirect", http.RedirectHandler("/elsewhere", http.StatusTemporaryRedirect).ServeHTTP, target.ReasonStatus, target.MayHaveExecuted),
)

const (
	tokenChunk       = `data: {"id":"c1","choices":[{"text":"a"}]}` + "\n\n"
	otherStreamChunk = `data: {"id":"c2","choices":[{"text":"a"}]}` + "\n\n"
	finishChunk      = `data: {"id":"c1","choices":[{"text":"","finish_reason":"stop"}],"usage":{"completion_tokens":2,"prompt_tokens_details":{"cached_tokens":16}}}` + "\n\n"
	abortChunk       = `data: {"id":"c1","choices":[{"text":"","finish_reason":"abort"}],"usage":{"completion_tokens":2}}` + "\n\n"
	noUsageChunk     = `data: {"id":"c1","choices":[{"text":"","finish_reason":"stop"}]}` + "\n\n"
	doneEvent        = "data: [DONE]\n\n"
	malformedChunk   = "data: {\n\n"
)

var _ = DescribeTable("rejects incomplete streams and those with chunks of another",
	func(want target.Reason, events ...string) {
		res := call(bundle.KindEngine, false, respond(200, id, strings.Join(events, "")))
		Expect(reason(res)).To(Equal(want), "error: %v", res.Err)
		if want == "" {
			Expect(res.Output).To(Equal("aa"))
			Expect(res.Tokens).To(Equal(2))
			Expect(res.CachedTokens).To(Equal(16))
			Expect(res.State).To(Equal(target.StateWarm))
			Expect(res.Boot).To(Equal("boot-1"))
		}
	},
	Entry("whole", target.Reason(""), tokenChunk, tokenChunk, finishChunk, doneEvent),
	Entry("without its end mark", target.ReasonIncomplete, tokenChunk, tokenChunk, finishChunk),
	Entry("without a finish reason", target.ReasonIncomplete, tokenChunk, tokenChunk, doneEvent),
	Entry("aborted by the engine", target.ReasonIncomplete, tokenChunk, tokenChunk, abortChunk, doneEvent),
	Entry("without a token count", target.ReasonIncomplete, tokenChunk, tokenChunk, noUsageChunk, doneEvent),
	Entry("one token lost", target.ReasonIncomplete, tokenChunk, finishChunk, doneEvent),
	Entry("one token duplicated", target.ReasonIncomplete, tokenChunk, tokenChunk, tokenChunk, finishChunk, doneEvent),
	Entry("a chunk of another stream", target.ReasonWrongID, tokenChunk, otherStreamChunk, finishChunk, doneEvent),
	Entry("a truncated chunk", target.ReasonFormat, tokenChunk, malformedChunk),
)

var _ = Describe("a call that may run at most once", func() {
	// Guards against a second execution caused by a retry inside net/http.
	It("is sent once, on its own connection, if the target closes the connection", func() {
		var calls, connections atomic.Int64
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			calls.Add(1)
			panic(http.ErrAbortHandler)
		}))
		server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
			if s == http.StateNew {
				connections.Add(1)
			}
		}
		server.Start()
		defer server.Close()
		client := target.New(target.Options{})
		for range 3 {
			res := client.Run(context.Background(), target.Call{
				ID: id, Kind: bundle.KindService, Address: server.Listener.Addr().String(), Once: true,
			}, nil)
			Expect(reason(res)).To(Equal(target.ReasonConnectionLost))
			Expect(res.Execution).To(Equal(target.MayHaveExecuted))
		}
		Expect(calls.Load()).To(BeEquivalentTo(3))
		Expect(connections.Load()).To(BeEquivalentTo(3))
	})

	// Guards against a pooled connection that the target closes while the call is sent.
	It("shares no connection with other calls", func() {
		var mu sync.Mutex
		remotes := map[string]bool{}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			remotes[r.RemoteAddr] = true
			respond(200, id, runBody(id, "out", 3, apiv1.Checksum("out")))(w, r)
		}))
		defer server.Close()
		client := target.New(target.Options{})
		defer client.Close()
		for i, connections := range []int{1, 2, 3, 3} {
			res := client.Run(context.Background(), target.Call{
				ID: id, Kind: bundle.KindService, Address: server.Listener.Addr().String(), Once: i == 1 || i == 2,
			}, nil)
			Expect(res.Err).NotTo(HaveOccurred())
			Expect(remotes).To(HaveLen(connections), "after call %d", i)
		}
	})

	// Guards against an unknown outcome when the call certainly did not run.
	It("was not executed if no connection was made", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Close()).To(Succeed())
		res := target.New(target.Options{}).Run(context.Background(), target.Call{
			ID: id, Kind: bundle.KindService, Address: l.Addr().String(), Once: true,
		}, nil)
		Expect(reason(res)).To(Equal(target.ReasonUnsent))
		Expect(res.Execution).To(Equal(target.NotExecuted))
	})

	// Guards against counting a call that timed out as not executed.
	It("may have been executed if the response takes too long", func() {
		res := call(bundle.KindService, true, func(_ http.ResponseWriter, r *http.Request) {
			// The server detects a closed connection only after it has read the body.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		})
		Expect(reason(res)).To(Equal(target.ReasonTimeout))
		Expect(res.Execution).To(Equal(target.MayHaveExecuted))
	})
})

// Guards against missing headers that targets rely on.
var _ = It("sends the headers of the protocol", func() {
	var got http.Header
	call(bundle.KindService, true, func(_ http.ResponseWriter, r *http.Request) { got = r.Header })
	Expect(got.Get(target.HeaderRequestID)).To(Equal(id))
	Expect(got.Get(target.HeaderDataCentre)).To(Equal("thies"))
	Expect(got.Get(target.HeaderPriority)).To(Equal("0"))
	timeout, err := time.ParseDuration(got.Get(target.HeaderTimeout))
	Expect(err).NotTo(HaveOccurred())
	Expect(timeout).To(And(BeNumerically(">", 0), BeNumerically("<=", time.Second)))
})
