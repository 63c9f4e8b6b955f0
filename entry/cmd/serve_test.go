package cmd

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"chivepost/entry/internal/conf"
	"chivepost/entry/internal/drain"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCmd(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cmd")
}

func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func testSettings() conf.Settings {
	path := filepath.Join(GinkgoT().TempDir(), "entry.ini")
	text := fmt.Sprintf("[host]\nname = h\ndata_centre = d\nregion = r\naddress = %s\npeer_address = %s\noperator_address = %s\n"+
		"[platform]\nlog_url = http://127.0.0.1:1\nhosts_url = http://127.0.0.1:1\n[peers]\nkey = k\n"+
		"[limits]\nread_time = 200ms\nmax_header = 4KiB\nmax_connections = 16\n", freeAddress(), freeAddress(), freeAddress())
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	s, _, err := conf.Load(path)
	Expect(err).NotTo(HaveOccurred())
	return s
}

func startServers(s conf.Settings) *servers {
	return startServersWith(s, func(http.ResponseWriter, *http.Request) {})
}

func startServersWith(s conf.Settings, handle http.HandlerFunc) *servers {
	srv := &servers{callers: newServer(s, handle), peers: newServer(s, handle), operators: newServer(s, handle)}
	Expect(srv.start(s, logr.Discard())).To(Succeed())
	DeferCleanup(func() {
		for _, server := range []*drain.Server{srv.callers, srv.peers, srv.operators} {
			_ = server.Close()
		}
	})
	return srv
}

// Guards against a host that serves callers although one of its ports is in use.
var _ = It("reports a port in use and leaves no listener open", func() {
	s := testSettings()
	taken, err := net.Listen("tcp", s.Host.OperatorAddress)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = taken.Close() }()
	Expect((&servers{}).start(s, logr.Discard())).To(MatchError(ContainSubstring("address already in use")))
	l, err := net.Listen("tcp", s.Host.Address)
	Expect(err).NotTo(HaveOccurred())
	_ = l.Close()
})

// Guards against callers that occupy connections or memory with slow or oversize
// requests.
var _ = Describe("the listener for callers", func() {
	It("closes a connection whose request is not received in time", func() {
		s := testSettings()
		startServers(s)
		conn, err := net.Dial("tcp", s.Host.Address)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, _ = conn.Write([]byte("GET / HTTP/1.1\r\nHost:"))
		_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		n, err := conn.Read(make([]byte, 1))
		Expect(n == 0 && err != nil && !os.IsTimeout(err)).To(BeTrue(), "read %d, %v", n, err)
	})

	It("refuses a header that is too large", func() {
		s := testSettings()
		startServers(s)
		req, err := http.NewRequest(http.MethodGet, "http://"+s.Host.Address, http.NoBody)
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("X", strings.Repeat("x", 16<<10))
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		_ = resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	})

	It("serves no more connections than allowed, and more after some close", func() {
		s := testSettings()
		begun, release := make(chan struct{}), make(chan struct{})
		startServersWith(s, func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/held" {
				begun <- struct{}{}
				<-release
			}
		})
		var open []net.Conn
		for range s.Limits.MaxConnections {
			conn, err := net.Dial("tcp", s.Host.Address)
			Expect(err).NotTo(HaveOccurred())
			_, err = conn.Write([]byte("GET /held HTTP/1.1\r\nHost: h\r\n\r\n"))
			Expect(err).NotTo(HaveOccurred())
			<-begun
			open = append(open, conn)
		}
		Expect(get(s.Host.Address, 100*time.Millisecond)).To(HaveOccurred())
		close(release)
		for _, conn := range open {
			_ = conn.Close()
		}
		Eventually(func() error { return get(s.Host.Address, 100*time.Millisecond) }).WithTimeout(5 * time.Second).Should(Succeed())
	})

	DescribeTable("closes idle connections for new ones", func(address func(conf.Settings) string) {
		s := testSettings()
		startServers(s)
		for range 2 * s.Limits.MaxConnections {
			conn, err := net.Dial("tcp", address(s))
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
		}
		Expect(get(address(s), 5*time.Second)).To(Succeed())
	},
		Entry("from callers", func(s conf.Settings) string { return s.Host.Address }),
		Entry("from peers", func(s conf.Settings) string { return s.Host.PeerAddress }),
		Entry("from operators", func(s conf.Settings) string { return s.Host.OperatorAddress }),
	)
})

// get sends a request on a connection of its own.
func get(address string, timeout time.Duration) error {
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + address)
	if err == nil {
		_ = resp.Body.Close()
	}
	return err
}

// Incident "lost in restarts": a connection on which a request had begun to arrive was closed
// as idle when the host stopped.
var _ = DescribeTable("a host that stops answers a request that it has begun to read", func(address func(conf.Settings) string) {
	s := testSettings()
	srv := startServers(s)
	conn, err := net.Dial("tcp", address(s))
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	reader := bufio.NewReader(conn)
	send := func(parts ...string) {
		for _, p := range parts {
			_, err := conn.Write([]byte(p))
			Expect(err).NotTo(HaveOccurred())
		}
	}
	receive := func() {
		resp, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		_ = resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
	}
	send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	receive()
	send("GET")
	time.Sleep(50 * time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- srv.stop(context.Background()) }()
	time.Sleep(50 * time.Millisecond)
	send(" / HTTP/1.1\r\nHost: h\r\n\r\n")
	receive()
	Eventually(stopped).WithTimeout(5 * time.Second).Should(Receive(BeNil()))
},
	Entry("from a caller", func(s conf.Settings) string { return s.Host.Address }),
	Entry("from an operator", func(s conf.Settings) string { return s.Host.OperatorAddress }),
)
