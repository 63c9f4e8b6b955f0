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

// listener is a transport that listens on loopback.
type listener struct {
	*peers.Transport
	server *httptest.Server
}

func listen(opts peers.Options, logger logr.Logger) *listener {
	if opts.Key == "" {
		opts.Key = "secret"
	}
	t := peers.New(opts, logger)
	mux := http.NewServeMux()
	mux.Handle("GET /v1/peer", t)
	l := &listener{Transport: t, server: httptest.NewServer(mux)}
	DeferCleanup(func() {
		t.Close()
		l.server.Close()
	})
	return l
}

func (l *listener) host(name string) hosts.Host {
	return hosts.Host{Name: name, PeerAddress: strings.TrimPrefix(l.server.URL, "http://")}
}

type text struct {
	Text string `cbor:"text"`
}

// echo replies with the text received, the sender and its incarnation.
func echo(_ context.Context, from string, incarnation uint64, body []byte) (any, error) {
	var in text
	if err := peers.Decode(body, &in); err != nil {
		return nil, err
	}
	return text{Text: in.Text + " from " + from + string(rune('0'+incarnation))}, nil
}

func counter(name string) int64 { return expvar.Get(name).(*expvar.Int).Value() }

func contextWithTimeout(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	DeferCleanup(cancel)
	return ctx
}

func shortContext() context.Context { return contextWithTimeout(5 * time.Second) }

var _ = Describe("a transport", func() {
	var a, b *listener
	BeforeEach(func() {
		a = listen(peers.Options{Host: "a", Incarnation: 1}, logr.Discard())
		b = listen(peers.Options{Host: "b", Incarnation: 2}, logr.Discard())
		b.Handle("echo", echo)
	})

	// Guards against a reply that is delivered to the wrong call.
	It("matches replies to calls", func() {
		ctx := shortContext()
		release := make(chan struct{})
		open := sync.OnceFunc(func() { close(release) })
		DeferCleanup(open) // otherwise the waiting handler would keep the transport from closing
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

	// Guards against a late reply that is delivered to a later call.
	It("drops and counts a late reply", func() {
		release := make(chan struct{})
		b.Handle("late", func(context.Context, string, uint64, []byte) (any, error) { <-release; return text{}, nil })
		before := counter("peer_late_replies_count")
		Expect(a.Call(contextWithTimeout(50*time.Millisecond), b.host("b"), "late", text{}, nil)).To(MatchError(context.DeadlineExceeded))
		close(release)
		Eventually(func() int64 { return counter("peer_late_replies_count") }).Should(BeNumerically(">", before))
	})

	// Guards against calls that hang after the connection has ended.
	It("fails calls in flight when the peer stops, and reconnects", func() {
		ctx := shortContext()
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
		restarted := peers.New(peers.Options{Host: "b", Incarnation: 3, Key: "secret"}, logr.Discard())
		DeferCleanup(restarted.Close)
		restarted.Handle("echo", echo)
		b.server.Config.Handler = restarted
		Eventually(func() error { return a.Call(ctx, to, "echo", text{"x"}, nil) }).Should(Succeed())
	})

	// Guards against a connection whose other end has vanished without closing it.
	It("reconnects after a connection has been silent", func() {
		var silent atomic.Bool
		silent.Store(true)
		var dials atomic.Int64
		c := peers.New(peers.Options{Host: "c", Key: "secret"}, logr.Discard())
		DeferCleanup(c.Close)
		c.Handle("echo", func(ctx context.Context, from string, incarnation uint64, body []byte) (any, error) {
			if silent.Load() {
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
			Expect(d.Call(contextWithTimeout(150*time.Millisecond), to, "echo", text{}, nil)).NotTo(Succeed())
		}
		silent.Store(false)
		ctx := shortContext()
		Eventually(func() error { return d.Call(ctx, to, "echo", text{}, nil) }).Should(Succeed())
		Expect(dials.Load()).To(BeNumerically(">", 1))
	})

	// Guards against calls to a host whose address now belongs to another host.
	It("refuses a reply from another host", func() {
		ctx := shortContext()
		Expect(a.Call(ctx, b.host("c"), "echo", text{}, nil)).To(MatchError(ContainSubstring("answered as b, want c")))
	})

	It("returns the error of the peer's handler", func() {
		ctx := shortContext()
		var remote *peers.RemoteError
		err := a.Call(ctx, b.host("b"), "nothing", text{}, nil)
		Expect(err).To(BeAssignableToTypeOf(remote))
		Expect(err).To(MatchError(ContainSubstring(`unknown kind "nothing"`)))
	})

	It("delivers a message without a reply", func() {
		ctx := shortContext()
		got := make(chan string, 1)
		b.Handle("note", func(_ context.Context, from string, _ uint64, _ []byte) (any, error) { got <- from; return nil, nil })
		Expect(a.Send(ctx, b.host("b"), "note", text{})).To(Succeed())
		Eventually(got).Should(Receive(Equal("a")))
	})

	// Guards against hosts of another deployment and clients without the key.
	It("refuses a wrong key or subprotocol with a clear error", func() {
		ctx := shortContext()
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

// dialRaw dials a plain WebSocket connection, without a transport.
func dialRaw(to *listener) *websocket.Conn {
	GinkgoHelper()
	ctx := shortContext()
	conn, _, err := websocket.Dial(ctx, to.server.URL+"/v1/peer", &websocket.DialOptions{ //nolint:bodyclose // Dial leaves no body to close
		HTTPHeader: http.Header{"Authorization": {"Bearer secret"}}, Subprotocols: []string{peers.Subprotocol},
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.CloseNow() })
	return conn
}

func encodeFrame(version int, kind string) []byte {
	data, err := cbor.Marshal(map[string]any{"version": version, "kind": kind, "from": "x", "incarnation": 1, "body": text{"y"}})
	Expect(err).NotTo(HaveOccurred())
	return data
}

var _ = Describe("frames", func() {
	// Guards against a peer that exhausts this host's memory or floods its log.
	DescribeTable("end the connection when they are", func(data []byte, status websocket.StatusCode) {
		ctx := shortContext()
		var lines atomic.Int64
		b := listen(peers.Options{Host: "b", MaxFrame: 1000}, funcr.New(func(_, _ string) { lines.Add(1) }, funcr.Options{}))
		for range 20 {
			conn := dialRaw(b)
			_ = conn.Write(ctx, websocket.MessageBinary, data)
			_, _, err := conn.Read(ctx)
			Expect(websocket.CloseStatus(err)).To(Equal(status), "%v", err)
		}
		Eventually(lines.Load).Should(BeNumerically(">=", 1))
		Expect(lines.Load()).To(BeNumerically("<=", 8), "lines for 20 bad frames")
	},
		Entry("no CBOR", []byte("GET / HTTP/1.1"), websocket.StatusPolicyViolation),
		Entry("of another version", encodeFrame(2, "echo"), websocket.StatusPolicyViolation),
		Entry("without a kind", encodeFrame(1, ""), websocket.StatusPolicyViolation),
		Entry("too large", make([]byte, 2000), websocket.StatusMessageTooBig),
	)

	// Guards against a peer that uses up this host's CPU time.
	It("are delayed above the rate limit", func() {
		ctx := shortContext()
		b := listen(peers.Options{Host: "b", RatePerSecond: 50, Burst: 10}, logr.Discard())
		var got atomic.Int64
		b.Handle("note", func(context.Context, string, uint64, []byte) (any, error) { got.Add(1); return nil, nil })
		conn := dialRaw(b)
		began := time.Now()
		for range 100 {
			Expect(conn.Write(ctx, websocket.MessageBinary, encodeFrame(1, "note"))).To(Succeed())
		}
		time.Sleep(500 * time.Millisecond)
		received := float64(got.Load())
		Expect(received).To(BeNumerically("<=", 12+50*time.Since(began).Seconds()), "frames handled at 50 per second with a burst of 10")
		Expect(received).To(BeNumerically("<", 100))
		Eventually(got.Load, "4s").Should(Equal(int64(100)))
	})
})

// Guards against a malformed message that ends the whole process of the host that gets it.
var _ = It("survives a handler that panics", func() {
	server := listen(peers.Options{Host: "b"}, logr.Discard())
	server.Handle("odd", func(context.Context, string, uint64, []byte) (any, error) { panic("odd message") })
	server.Handle("echo", echo)
	client := listen(peers.Options{Host: "a", Incarnation: 1}, logr.Discard())
	var remote *peers.RemoteError
	Expect(client.Call(shortContext(), server.host("b"), "odd", text{}, nil)).To(BeAssignableToTypeOf(remote))
	Expect(client.Send(shortContext(), server.host("b"), "odd", text{})).To(Succeed())
	var reply text
	Expect(client.Call(shortContext(), server.host("b"), "echo", text{Text: "hi"}, &reply)).To(Succeed())
	Expect(reply.Text).To(Equal("hi from a1"))
})
