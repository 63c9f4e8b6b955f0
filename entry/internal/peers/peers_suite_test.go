package peers_test

import (
	"bytes"
	"context"
	"expvar"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"chivepost/entry/internal/peers"
	"chivepost/share/hosts"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPeers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peers")
}

// end is a transport that listens on loopback.
type end struct {
	*peers.Transport
	server *httptest.Server
}

func listen(opts peers.Options, logger logr.Logger) *end {
	if opts.Key == "" {
		opts.Key = "secret"
	}
	t := peers.New(opts, logger)
	mux := http.NewServeMux()
	mux.Handle("GET /v1/peer", t)
	e := &end{Transport: t, server: httptest.NewServer(mux)}
	DeferCleanup(func() {
		t.Close()
		e.server.Close()
	})
	return e
}

func (e *end) host(name string) hosts.Host {
	return hosts.Host{Name: name, PeerAddress: strings.TrimPrefix(e.server.URL, "http://")}
}

type text struct {
	Text string `cbor:"text"`
}

// echo answers with what it got, the sender and its incarnation.
func echo(_ context.Context, from string, incarnation uint64, body []byte) (any, error) {
	var in text
	if err := peers.Decode(body, &in); err != nil {
		return nil, err
	}
	return text{Text: in.Text + " from " + from + string(rune('0'+incarnation))}, nil
}

func counter(name string) int64 { return expvar.Get(name).(*expvar.Int).Value() }

func within(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	DeferCleanup(cancel)
	return ctx
}

func soon() context.Context { return within(5 * time.Second) }

var _ = Describe("a transport", func() {
	var a, b *end
	BeforeEach(func() {
		a = listen(peers.Options{Host: "a", Incarnation: 1}, logr.Discard())
		b = listen(peers.Options{Host: "b", Incarnation: 2}, logr.Discard())
		b.Handle("echo", echo)
	})

	// Guards against answers that reach the wrong call.
	It("matches answers to calls", func() {
		ctx := soon()
		release := make(chan struct{})
		open := sync.OnceFunc(func() { close(release) })
		DeferCleanup(open) // a handler that waits would keep the transport from closing
		b.Handle("wait", func(ctx context.Context, from string, incarnation uint64, body []byte) (any, error) {
			<-release
			return echo(ctx, from, incarnation, body)
		})
		first := make(chan string, 1)
		go func() {
			var out text
			_ = a.Call(ctx, b.host("b"), "wait", text{"one"}, &out)
			first <- out.Text
		}()
		var out text
		Expect(a.Call(ctx, b.host("b"), "echo", text{"two"}, &out)).To(Succeed())
		Expect(out.Text).To(Equal("two from a1"))
		open()
		Eventually(first).Should(Receive(Equal("one from a1")))
		Expect(expvar.Get("peer_bytes").String()).To(And(ContainSubstring(`"in_echo"`), ContainSubstring(`"out_echo"`)))
	})

	// Guards against an answer to an earlier call that is taken for that of a later one.
	It("drops and counts an answer that comes too late", func() {
		release := make(chan struct{})
		b.Handle("late", func(context.Context, string, uint64, []byte) (any, error) { <-release; return text{}, nil })
		before := counter("peer_late_replies_count")
		Expect(a.Call(within(50*time.Millisecond), b.host("b"), "late", text{}, nil)).To(MatchError(context.DeadlineExceeded))
		close(release)
		Eventually(func() int64 { return counter("peer_late_replies_count") }).Should(BeNumerically(">", before))
	})

	// Guards against calls that hang when the connection has ended.
	It("fails calls under way when the peer goes, and connects again", func() {
		ctx := soon()
		entered := make(chan struct{}, 1)
		b.Handle("hang", func(ctx context.Context, _ string, _ uint64, _ []byte) (any, error) {
			entered <- struct{}{}
			<-ctx.Done()
			return nil, ctx.Err()
		})
		failed := make(chan error, 1)
		go func() { failed <- a.Call(ctx, b.host("b"), "hang", text{}, nil) }()
		Eventually(entered).Should(Receive())
		to := b.host("b")
		b.Close()
		Eventually(failed).Should(Receive(MatchError(ContainSubstring("ended"))))
		again := peers.New(peers.Options{Host: "b", Incarnation: 3, Key: "secret"}, logr.Discard())
		DeferCleanup(again.Close)
		again.Handle("echo", echo)
		b.server.Config.Handler = again
		Eventually(func() error { return a.Call(ctx, to, "echo", text{"x"}, nil) }).Should(Succeed())
	})

	// Guards against a connection whose other end has vanished without a word.
	It("connects again when a connection has been silent", func() {
		var mute atomic.Bool
		mute.Store(true)
		var dials atomic.Int64
		c := peers.New(peers.Options{Host: "c", Key: "secret"}, logr.Discard())
		DeferCleanup(c.Close)
		c.Handle("echo", func(ctx context.Context, from string, incarnation uint64, body []byte) (any, error) {
			if mute.Load() {
				<-ctx.Done()
			}
			return echo(ctx, from, incarnation, body)
		})
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			dials.Add(1)
			c.ServeHTTP(w, r)
		}))
		DeferCleanup(server.Close)
		d := listen(peers.Options{Host: "d", SilenceTimeout: 100 * time.Millisecond}, logr.Discard())
		to := hosts.Host{Name: "c", PeerAddress: strings.TrimPrefix(server.URL, "http://")}
		for range 2 {
			Expect(d.Call(within(150*time.Millisecond), to, "echo", text{}, nil)).NotTo(Succeed())
		}
		mute.Store(false)
		ctx := soon()
		Eventually(func() error { return d.Call(ctx, to, "echo", text{}, nil) }).Should(Succeed())
		Expect(dials.Load()).To(BeNumerically(">", 1))
	})

	// Guards against messages to a host whose address another has taken over.
	It("refuses an answer from another host", func() {
		ctx := soon()
		Expect(a.Call(ctx, b.host("c"), "echo", text{}, nil)).To(MatchError(ContainSubstring("answered as b, want c")))
	})

	It("returns the error of the peer's handler", func() {
		ctx := soon()
		var remote *peers.RemoteError
		err := a.Call(ctx, b.host("b"), "nothing", text{}, nil)
		Expect(err).To(BeAssignableToTypeOf(remote))
		Expect(err).To(MatchError(ContainSubstring(`unknown kind "nothing"`)))
	})

	It("delivers a message that wants no answer", func() {
		ctx := soon()
		got := make(chan string, 1)
		b.Handle("note", func(_ context.Context, from string, _ uint64, _ []byte) (any, error) { got <- from; return nil, nil })
		Expect(a.Send(ctx, b.host("b"), "note", text{})).To(Succeed())
		Eventually(got).Should(Receive(Equal("a")))
	})

	// Guards against hosts of another system, and against a key that is guessed.
	It("refuses a wrong key or subprotocol with a clear error", func() {
		ctx := soon()
		c := listen(peers.Options{Host: "c", Key: "other"}, logr.Discard())
		Expect(c.Call(ctx, b.host("b"), "echo", text{}, nil)).To(MatchError(ContainSubstring("refused the peer key")))
		_, resp, err := websocket.Dial(ctx, b.server.URL+"/v1/peer", &websocket.DialOptions{
			HTTPHeader: http.Header{"Authorization": {"Bearer secret"}}, Subprotocols: []string{"chivepost.v0.cbor"},
		})
		Expect(err).To(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusBadRequest))
		body := new(bytes.Buffer)
		_, _ = body.ReadFrom(resp.Body)
		Expect(body.String()).To(ContainSubstring("want chivepost.v1.cbor"))
	})
})

// raw connects without a transport.
func raw(to *end) *websocket.Conn {
	GinkgoHelper()
	ctx := soon()
	conn, _, err := websocket.Dial(ctx, to.server.URL+"/v1/peer", &websocket.DialOptions{ //nolint:bodyclose // Dial leaves no body to close
		HTTPHeader: http.Header{"Authorization": {"Bearer secret"}}, Subprotocols: []string{peers.Subprotocol},
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.CloseNow() })
	return conn
}

func frame(version int, kind string) []byte {
	data, err := cbor.Marshal(map[string]any{"version": version, "kind": kind, "from": "x", "incarnation": 1, "body": text{"y"}})
	Expect(err).NotTo(HaveOccurred())
	return data
}

var _ = Describe("frames", func() {
	// Guards against a peer that takes this host's memory or floods its log.
	DescribeTable("end the connection when they are", func(data []byte, status websocket.StatusCode) {
		ctx := soon()
		var lines atomic.Int64
		b := listen(peers.Options{Host: "b", MaxFrame: 1000}, funcr.New(func(_, _ string) { lines.Add(1) }, funcr.Options{}))
		for range 20 {
			conn := raw(b)
			_ = conn.Write(ctx, websocket.MessageBinary, data)
			_, _, err := conn.Read(ctx)
			Expect(websocket.CloseStatus(err)).To(Equal(status), "%v", err)
		}
		Eventually(lines.Load).Should(BeNumerically(">=", 1))
		Expect(lines.Load()).To(BeNumerically("<=", 8), "lines for 20 bad frames")
	},
		Entry("no CBOR", []byte("GET / HTTP/1.1"), websocket.StatusPolicyViolation),
		Entry("of another version", frame(2, "echo"), websocket.StatusPolicyViolation),
		Entry("without a kind", frame(1, ""), websocket.StatusPolicyViolation),
		Entry("too large", make([]byte, 2000), websocket.StatusMessageTooBig),
	)

	// Guards against a peer that takes all of this host's time.
	It("are read more slowly above the rate", func() {
		ctx := soon()
		b := listen(peers.Options{Host: "b", RatePerSecond: 50, Burst: 10}, logr.Discard())
		var got atomic.Int64
		b.Handle("note", func(context.Context, string, uint64, []byte) (any, error) { got.Add(1); return nil, nil })
		conn := raw(b)
		began := time.Now()
		for range 100 {
			Expect(conn.Write(ctx, websocket.MessageBinary, frame(1, "note"))).To(Succeed())
		}
		time.Sleep(500 * time.Millisecond)
		taken := float64(got.Load())
		Expect(taken).To(BeNumerically("<=", 12+50*time.Since(began).Seconds()), "frames taken at 50 a second and a burst of 10")
		Expect(taken).To(BeNumerically("<", 100))
		Eventually(got.Load, "4s").Should(Equal(int64(100)))
	})
})
