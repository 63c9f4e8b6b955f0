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

// call makes one call to a server with the handler.
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

// answer writes a body with the echo of the call.
func answer(status int, echo, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(target.HeaderRequestID, echo)
		w.Header().Set(target.HeaderState, "warm")
		w.Header().Set(target.HeaderBoot, "boot-1")
		w.WriteHeader(status)
		_, _ = fmt.Fprint(w, body)
	}
}

func runBody(id, output string, length int, checksum string) string {
	return fmt.Sprintf(`{"id":%q,"output":%q,"length":%d,"checksum":%q}`, id, output, length, checksum)
}

var _ = DescribeTable("takes no damaged or crossed answer of a pool for a result",
	func(handler http.HandlerFunc, want target.Reason, sent target.Execution) {
		res := call(bundle.KindStage, false, handler)
		Expect(reason(res)).To(Equal(want), "error: %v", res.Err)
		Expect(res.Execution).To(Equal(sent))
	},
	Entry("whole", answer(200, id, runBody(id, "out", 3, apiv1.Checksum("out"))), target.Reason(""), target.Executed),
	Entry("header of another call", answer(200, "x/y/1", runBody(id, "out", 3, apiv1.Checksum("out"))), target.ReasonWrongID, target.MayHaveExecuted),
	Entry("body of another call", answer(200, id, runBody("x/y/1", "out", 3, apiv1.Checksum("out"))), target.ReasonWrongID, target.MayHaveExecuted),
	Entry("shorter than its length", answer(200, id, runBody(id, "ou", 3, apiv1.Checksum("out"))), target.ReasonIncomplete, target.MayHaveExecuted),
	Entry("of another length", answer(200, id, runBody(id, "out", 4, apiv1.Checksum("out"))), target.ReasonIncomplete, target.MayHaveExecuted),
	Entry("other bytes", answer(200, id, runBody(id, "oat", 3, apiv1.Checksum("out"))), target.ReasonIncomplete, target.MayHaveExecuted),
	Entry("not JSON", answer(200, id, "out"), target.ReasonFormat, target.MayHaveExecuted),
	Entry("body cut off", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "1000")
		answer(200, id, `{"id":`)(w, r)
	}), target.ReasonIncomplete, target.MayHaveExecuted),
	Entry("error", answer(500, id, ""), target.ReasonStatus, target.MayHaveExecuted),
	Entry("busy without saying that nothing was run", answer(503, id, ""), target.ReasonStatus, target.MayHaveExecuted),
	Entry("not run", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(target.HeaderNotRun, "true")
		answer(503, id, "")(w, r)
	}), target.ReasonNotRun, target.NotExecuted),
	Entry("not run, for another call", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(target.HeaderNotRun, "true")
		answer(503, "x/y/1", "")(w, r)
	}), target.ReasonWrongID, target.MayHaveExecuted),
	Entry("redirect", http.RedirectHandler("/elsewhere", http.StatusTemporaryRedirect).ServeHTTP, target.ReasonStatus, target.MayHaveExecuted),
)

const (
	piece  = `data: {"id":"c1","choices":[{"text":"a"}]}` + "\n\n"
	cross  = `data: {"id":"c2","choices":[{"text":"a"}]}` + "\n\n"
	last   = `data: {"id":"c1","choices":[{"text":"","finish_reason":"stop"}],"usage":{"completion_tokens":2,"prompt_tokens_details":{"cached_tokens":16}}}` + "\n\n"
	abort  = `data: {"id":"c1","choices":[{"text":"","finish_reason":"abort"}],"usage":{"completion_tokens":2}}` + "\n\n"
	noUse  = `data: {"id":"c1","choices":[{"text":"","finish_reason":"stop"}]}` + "\n\n"
	end    = "data: [DONE]\n\n"
	broken = "data: {\n\n"
)

var _ = DescribeTable("takes no incomplete or crossed stream for a result",
	func(want target.Reason, events ...string) {
		res := call(bundle.KindEngine, false, answer(200, id, strings.Join(events, "")))
		Expect(reason(res)).To(Equal(want), "error: %v", res.Err)
		if want == "" {
			Expect(res.Output).To(Equal("aa"))
			Expect(res.Tokens).To(Equal(2))
			Expect(res.CachedTokens).To(Equal(16))
			Expect(res.State).To(Equal(target.StateWarm))
			Expect(res.Boot).To(Equal("boot-1"))
		}
	},
	Entry("whole", target.Reason(""), piece, piece, last, end),
	Entry("without its end mark", target.ReasonIncomplete, piece, piece, last),
	Entry("without a finish reason", target.ReasonIncomplete, piece, piece, end),
	Entry("aborted by the engine", target.ReasonIncomplete, piece, piece, abort, end),
	Entry("without a count", target.ReasonIncomplete, piece, piece, noUse, end),
	Entry("one token lost", target.ReasonIncomplete, piece, last, end),
	Entry("one token twice", target.ReasonIncomplete, piece, piece, piece, last, end),
	Entry("a chunk of another stream", target.ReasonWrongID, piece, cross, last, end),
	Entry("a chunk cut short", target.ReasonFormat, piece, broken),
)

var _ = Describe("a call that runs once", func() {
	// Guards against a second execution by a repeat inside net/http.
	It("is sent once, on a connection of its own, if the target breaks off", func() {
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

	// Guards against an idle connection that the target closes just when it is used.
	It("uses no connection of another call and leaves none behind", func() {
		var mu sync.Mutex
		remotes := map[string]bool{}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			remotes[r.RemoteAddr] = true
			answer(200, id, runBody(id, "out", 3, apiv1.Checksum("out")))(w, r)
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

	// Guards against an unknown outcome where a refusal is certain.
	It("was not sent if no connection was made", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Close()).To(Succeed())
		res := target.New(target.Options{}).Run(context.Background(), target.Call{
			ID: id, Kind: bundle.KindService, Address: l.Addr().String(), Once: true,
		}, nil)
		Expect(reason(res)).To(Equal(target.ReasonUnsent))
		Expect(res.Execution).To(Equal(target.NotExecuted))
	})

	// Guards against a timed-out call that counts as not sent.
	It("may have been sent if the answer takes too long", func() {
		res := call(bundle.KindService, true, func(_ http.ResponseWriter, r *http.Request) {
			// The server notices that the client left only after it has read the body.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		})
		Expect(reason(res)).To(Equal(target.ReasonTimeout))
		Expect(res.Execution).To(Equal(target.MayHaveExecuted))
	})
})

// Guards against headers that targets rely on but don't get.
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
