package drain_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"chivepost/entry/internal/drain"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// gatedListener accepts connections whose reads may be held after they have received their
// bytes.
type gatedListener struct {
	net.Listener
	accepted atomic.Int32
	isArmed  atomic.Bool
	received chan struct{} // closed when a read is held
	release  chan struct{} // closed to let it go on
}

func (l *gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted.Add(1)
	return &gatedConn{c, l}, nil
}

type gatedConn struct {
	net.Conn
	gate *gatedListener
}

func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.gate.isArmed.CompareAndSwap(true, false) {
		close(c.gate.received)
		<-c.gate.release
	}
	return n, err
}

// lateListener reports that it was closed only when it is released.
type lateListener struct {
	net.Listener
	release chan struct{}
}

func (l *lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.release
	}
	return c, err
}

type testServer struct {
	*drain.Server
	gate    *gatedListener
	address string
	handled atomic.Int32
}

func startServer(handle http.HandlerFunc) *testServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &testServer{gate: &gatedListener{Listener: l, received: make(chan struct{}), release: make(chan struct{})}, address: l.Addr().String()}
	s.Server = drain.NewServer(&http.Server{ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.handled.Add(1)
		handle(w, r)
	})})
	go func() { _ = s.Serve(s.gate) }()
	DeferCleanup(func() { _ = s.Close() })
	return s
}

func (s *testServer) dial() (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", s.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	Expect(c.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	return c, bufio.NewReader(c)
}

// roundTrip sends a request and returns the body of the response.
func roundTrip(c net.Conn, r *bufio.Reader, body string) (string, error) {
	if _, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
		return "", err
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	out, err := io.ReadAll(resp.Body)
	return string(out), err
}

func echo(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }

func shutdown(s *testServer) <-chan error {
	done := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		done <- s.Shutdown(ctx)
	}()
	return done
}

var _ = Describe("a server that shuts down", func() {
	// Incident "lost in restarts": http.Server.Shutdown closed a connection as idle whose next
	// request had just been read; the request was handled and its answer lost.
	It("answers a request that was read just before", func() {
		s := startServer(echo)
		c, r := s.dial()
		Expect(roundTrip(c, r, "first")).To(Equal("first"))
		s.gate.isArmed.Store(true)
		answered := make(chan error, 1)
		go func() {
			_, err := roundTrip(c, r, "second")
			answered <- err
		}()
		<-s.gate.received
		done := shutdown(s)
		time.Sleep(100 * time.Millisecond) // the shutdown has seen the connection as idle
		close(s.gate.release)
		Expect(<-answered).To(Succeed())
		Expect(s.handled.Load()).To(Equal(int32(2)))
		Expect(<-done).To(Succeed())
	})

	// Guards against idle connections that keep the shutdown from ending.
	It("closes idle and new connections at once", func() {
		s := startServer(echo)
		c, r := s.dial()
		Expect(roundTrip(c, r, "first")).To(Equal("first"))
		_, unused := s.dial()
		Eventually(func() error { c2, r2 := s.dial(); _, err := roundTrip(c2, r2, "x"); return err }).Should(Succeed())
		start := time.Now()
		Expect(<-shutdown(s)).To(Succeed())
		Expect(time.Since(start)).To(BeNumerically("<", 5*time.Second))
		for _, reader := range []*bufio.Reader{r, unused} {
			_, err := reader.ReadByte()
			Expect(err).To(MatchError(io.EOF))
		}
	})

	// Guards against a shutdown that reports an error because the accept loop had not ended
	// yet: http.Server.Shutdown closes the listener a second time then.
	It("succeeds before the accept loop has ended", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		late := &lateListener{Listener: l, release: make(chan struct{})}
		s := drain.NewServer(&http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(echo)})
		served := make(chan error, 1)
		go func() { served <- s.Serve(late) }()
		Eventually(func() error {
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				return err
			}
			defer func() { _ = c.Close() }()
			_, err = roundTrip(c, bufio.NewReader(c), "x")
			return err
		}).Should(Succeed())
		done := shutdown(&testServer{Server: s})
		Consistently(done).WithTimeout(200 * time.Millisecond).ShouldNot(Receive(HaveOccurred()))
		close(late.release)
		Expect(<-done).To(Succeed())
		Expect(<-served).To(MatchError(http.ErrServerClosed))
	})

	// Guards against new connections that are closed while their first request is on its way.
	It("answers the first request of a connection that was just accepted", func() {
		s := startServer(echo)
		c, r := s.dial()
		Eventually(s.gate.accepted.Load).Should(Equal(int32(1)))
		done := shutdown(s)
		time.Sleep(20 * time.Millisecond) // the listener is closed
		Expect(roundTrip(c, r, "first")).To(Equal("first"))
		Expect(<-done).To(Succeed())
	})

	// Guards against a request whose context ends because of the shutdown although its caller
	// waits for the answer.
	It("handles a request that it read with the one before", func() {
		begun, finish := make(chan struct{}), make(chan struct{})
		s := startServer(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/first" {
				close(begun)
				<-finish
				return
			}
			select {
			case <-r.Context().Done():
				w.WriteHeader(http.StatusInternalServerError)
			case <-time.After(300 * time.Millisecond):
			}
		})
		c, r := s.dial()
		_, err := io.WriteString(c, "GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /second HTTP/1.1\r\nHost: h\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		<-begun
		done := shutdown(s)
		time.Sleep(20 * time.Millisecond) // the listener is closed
		close(finish)
		for range 2 {
			resp, err := http.ReadResponse(r, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.Body.Close()).To(Succeed())
			Expect(resp.StatusCode).To(Equal(http.StatusOK))
			if resp.Close {
				break
			}
		}
		Expect(<-done).To(Succeed())
	})

	// Guards against a request that is cut while its body or its answer is under way.
	It("waits for requests in progress", func() {
		begun, finish := make(chan struct{}), make(chan struct{})
		s := startServer(func(w http.ResponseWriter, r *http.Request) {
			close(begun)
			echo(w, r)
			<-finish
		})
		c, r := s.dial()
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nha")
		Expect(err).NotTo(HaveOccurred())
		<-begun
		done := shutdown(s)
		Consistently(done).WithTimeout(100 * time.Millisecond).ShouldNot(Receive())
		_, err = io.WriteString(c, "lf")
		Expect(err).NotTo(HaveOccurred())
		close(finish)
		resp, err := http.ReadResponse(r, nil)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(resp.Body)
		Expect(string(body), err).To(Equal("half"))
		Expect(<-done).To(Succeed())
	})

	// Guards against a shutdown that waits forever for a request that doesn't end.
	It("closes what is left when its time ends", func() {
		s := startServer(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		c, r := s.dial()
		failed := make(chan error, 1)
		go func() {
			_, err := roundTrip(c, r, "")
			failed <- err
		}()
		Eventually(s.handled.Load).Should(Equal(int32(1)))
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		Expect(s.Shutdown(ctx)).To(MatchError(context.DeadlineExceeded))
		Expect(<-failed).To(HaveOccurred())
	})

	// Guards against answers that get lost when a server stops while callers go on using
	// their connections.
	It("answers each request that it handles while callers go on", func() {
		for range 20 {
			var answered atomic.Int32
			s := startServer(echo)
			var callers sync.WaitGroup
			for range 8 {
				c, r := s.dial()
				callers.Go(func() {
					for {
						if _, err := roundTrip(c, r, "x"); err != nil {
							return
						}
						answered.Add(1)
					}
				})
			}
			Eventually(answered.Load).Should(BeNumerically(">", 50))
			Expect(<-shutdown(s)).To(Succeed())
			callers.Wait()
			Expect(answered.Load()).To(Equal(s.handled.Load()))
		}
	})
})
