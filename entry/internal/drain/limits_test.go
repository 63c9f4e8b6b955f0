package drain_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"chivepost/entry/internal/drain"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// startLimited starts a server with limits that echoes bodies.
func startLimited(l drain.Limits, handle http.HandlerFunc) *testServer {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &testServer{gate: &gatedListener{Listener: inner, received: make(chan struct{}), release: make(chan struct{})}, address: inner.Addr().String()}
	s.Server = drain.NewServer(&http.Server{Handler: handle})
	s.SetLimits(l)
	go func() { _ = s.Serve(s.gate) }()
	DeferCleanup(func() { _ = s.Close() })
	return s
}

// isClosed reports whether the server has closed a connection or does so within a time.
func isClosed(c net.Conn, r *bufio.Reader, within time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(within))
	defer func() { _ = c.SetReadDeadline(time.Now().Add(10 * time.Second)) }()
	_, err := r.Peek(1)
	return err != nil && !os.IsTimeout(err)
}

func timeouts(header, idle time.Duration) func() (time.Duration, time.Duration) {
	return func() (time.Duration, time.Duration) { return header, idle }
}

var _ = Describe("a server with limits", func() {
	// Guards against idle connections that take all descriptors of a process, and against the
	// close of those that were used last.
	It("closes the connections that have been idle for longest", func() {
		s := startLimited(drain.Limits{MaxConns: 16}, echo)
		type client struct {
			net.Conn
			r *bufio.Reader
		}
		var clients []client
		for range 14 {
			c, r := s.dial()
			Expect(roundTrip(c, r, "first")).To(Equal("first"))
			clients = append(clients, client{c, r})
		}
		Expect(roundTrip(clients[0].Conn, clients[0].r, "second")).To(Equal("second"))
		c, r := s.dial()
		Expect(roundTrip(c, r, "new")).To(Equal("new"))
		Expect(isClosed(clients[1].Conn, clients[1].r, 2*time.Second)).To(BeTrue())
		Expect(isClosed(clients[0].Conn, clients[0].r, 300*time.Millisecond)).To(BeFalse())
		Expect(isClosed(clients[13].Conn, clients[13].r, 10*time.Millisecond)).To(BeFalse())
	})

	// Guards against the loss of a request that was just received on a connection that is closed
	// as idle.
	It("answers a request that arrives while an idle connection is closed", func() {
		s := startLimited(drain.Limits{MaxConns: 8}, echo)
		c, r := s.dial()
		Expect(roundTrip(c, r, "first")).To(Equal("first"))
		s.gate.isArmed.Store(true)
		answered := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			body, err := roundTrip(c, r, "second")
			Expect(err).NotTo(HaveOccurred())
			answered <- body
		}()
		Eventually(s.gate.received).WithTimeout(5 * time.Second).Should(BeClosed())
		for range 7 {
			other, otherReader := s.dial()
			Expect(roundTrip(other, otherReader, "x")).To(Equal("x"))
		}
		time.Sleep(200 * time.Millisecond) // longer than an idle connection lingers
		close(s.gate.release)
		Eventually(answered).WithTimeout(5 * time.Second).Should(Receive(Equal("second")))
	})

	// Guards against a server that hangs, or drops requests that run, when all connections are in
	// use.
	It("refuses connections for which there is no room, and says so", func() {
		release := make(chan struct{})
		var fullCount atomic.Int32
		s := startLimited(drain.Limits{MaxConns: 4, OnFull: func(int) bool { fullCount.Add(1); return false }}, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(w, r.Body)
			<-release
		})
		var answers []chan error
		for range 4 {
			c, r := s.dial()
			answered := make(chan error, 1)
			answers = append(answers, answered)
			go func() { _, err := roundTrip(c, r, "held"); answered <- err }()
		}
		time.Sleep(100 * time.Millisecond)
		c, r := s.dial()
		Expect(isClosed(c, r, 2*time.Second)).To(BeTrue())
		Expect(fullCount.Load()).To(BeNumerically(">=", 1))
		close(release)
		for _, answered := range answers {
			Eventually(answered).WithTimeout(5 * time.Second).Should(Receive(BeNil()))
		}
		c, r = s.dial()
		Expect(roundTrip(c, r, "after")).To(Equal("after"))
	})

	// Guards against timeouts that the configuration sets and nobody obeys, and against a limit on
	// headers that ends requests or idle connections.
	It("obeys the timeouts of headers and of idle connections", func() {
		s := startLimited(drain.Limits{Timeouts: timeouts(200*time.Millisecond, time.Second)}, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(300 * time.Millisecond)
			_, _ = io.Copy(w, r.Body)
		})
		slow, slowReader := s.dial()
		_, err := io.WriteString(slow, "GET / HTTP/1.1\r\nHost:")
		Expect(err).NotTo(HaveOccurred())
		Expect(isClosed(slow, slowReader, 800*time.Millisecond)).To(BeTrue(), "a header that stops")
		c, r := s.dial()
		time.Sleep(500 * time.Millisecond)
		Expect(roundTrip(c, r, "fresh")).To(Equal("fresh"))
		time.Sleep(800 * time.Millisecond) // four fifths of the limit
		Expect(roundTrip(c, r, "idle")).To(Equal("idle"))
		Expect(isClosed(c, r, 1500*time.Millisecond)).To(BeTrue(), "idle for longer than the limit")
	})

	// Guards against headers above the limit that are held, and against a limit that counts bodies
	// or earlier requests.
	It("cuts off headers that are too long", func() {
		s := startLimited(drain.Limits{HeaderBytes: func() int { return 8 << 10 }}, func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body) // all of it before the response begins
			_, _ = w.Write(body)
		})
		c, r := s.dial()
		long := strings.Repeat("x", 100_000)
		for range 3 {
			Expect(roundTrip(c, r, long)).To(Equal(long))
		}
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nA: "+strings.Repeat("b", 8000)+"\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.ReadResponse(r, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nA: "+strings.Repeat("b", 13<<10))
		Expect(err).NotTo(HaveOccurred())
		resp, err = http.ReadResponse(r, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		Expect(isClosed(c, r, 2*time.Second)).To(BeTrue())
	})

	// Guards against connections that wait for room until the listener of a host that leaves is
	// closed, which resets them.
	It("refuses connections without room at once after the host has begun to leave", func() {
		begun, release := make(chan struct{}), make(chan struct{})
		s := startLimited(drain.Limits{MaxConns: 2, OnFull: func(int) bool { return true }}, func(http.ResponseWriter, *http.Request) {
			begun <- struct{}{}
			<-release
		})
		for range 2 {
			c, _ := s.dial()
			_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
			<-begun
		}
		defer close(release)
		waiting, waitingReader := s.dial()
		Expect(isClosed(waiting, waitingReader, 400*time.Millisecond)).To(BeFalse())
		s.Leave()
		Expect(isClosed(waiting, waitingReader, time.Second)).To(BeTrue())
		for range 3 {
			c, r := s.dial()
			Expect(isClosed(c, r, time.Second)).To(BeTrue())
		}
	})

	// Guards against connections that wait for room, and are reset, while idle and slow ones fill a host
	// that leaves.
	It("gives connections that wait the room of others when the host leaves", func() {
		s := startLimited(drain.Limits{MaxConns: 16}, echo)
		for n := range 16 {
			c, _ := s.dial()
			if n%2 == 0 {
				_, err := io.WriteString(c, "G")
				Expect(err).NotTo(HaveOccurred())
			}
		}
		time.Sleep(300 * time.Millisecond) // longer than a header may take for others
		answered := make(chan error, 8)
		for range 8 {
			c, r := s.dial()
			go func() { _, err := roundTrip(c, r, "x"); answered <- err }()
		}
		s.Leave()
		for range 8 {
			Eventually(answered).WithTimeout(5 * time.Second).Should(Receive(BeNil()))
		}
	})

	// Guards against clients that send a byte of a header each and fill all connections.
	It("ends headers that arrive slowly for new connections", func() {
		s := startLimited(drain.Limits{MaxConns: 4}, echo)
		for range 4 {
			c, _ := s.dial()
			_, err := io.WriteString(c, "G")
			Expect(err).NotTo(HaveOccurred())
		}
		c, r := s.dial()
		Expect(roundTrip(c, r, "ordinary")).To(Equal("ordinary"))
	})

	// Guards against clients that send requests, read no response and fill all connections.
	It("ends responses that nobody reads for new connections", func() {
		s := startLimited(drain.Limits{MaxConns: 4}, func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body) // all of it before the response begins
			if len(body) == 0 {
				body = make([]byte, 16<<20)
			}
			_, _ = w.Write(body)
		})
		for range 4 {
			c, _ := s.dial()
			_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
		}
		c, r := s.dial()
		Expect(roundTrip(c, r, "ordinary")).To(Equal("ordinary"))
	})
})
