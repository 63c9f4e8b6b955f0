package cmd

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"chivepost/entry/internal/conf"

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

func settings() conf.Settings {
	path := filepath.Join(GinkgoT().TempDir(), "entry.ini")
	text := fmt.Sprintf("[host]\nname = h\ndata_centre = d\nregion = r\naddress = %s\npeer_address = %s\noperator_address = %s\n"+
		"[platform]\nlog_url = http://127.0.0.1:1\nhosts_url = http://127.0.0.1:1\n[peers]\nkey = k\n"+
		"[limits]\nread_time = 200ms\nmax_header = 4KiB\nmax_connections = 16\n", freeAddress(), freeAddress(), freeAddress())
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	s, _, err := conf.Load(path)
	Expect(err).NotTo(HaveOccurred())
	return s
}

func started(s conf.Settings) *servers {
	ok := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	v := &servers{callers: newServer(s, ok), peers: newServer(s, ok), operators: newServer(s, ok)}
	Expect(v.start(s, logr.Discard())).To(Succeed())
	DeferCleanup(func() {
		for _, server := range []*http.Server{v.callers, v.peers, v.operators} {
			_ = server.Close()
		}
	})
	return v
}

// Guards against a host that serves callers though one of its ports is taken.
var _ = It("reports a port in use and keeps none open", func() {
	s := settings()
	taken, err := net.Listen("tcp", s.Host.OperatorAddress)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = taken.Close() }()
	Expect((&servers{}).start(s, logr.Discard())).To(MatchError(ContainSubstring("address already in use")))
	l, err := net.Listen("tcp", s.Host.Address)
	Expect(err).NotTo(HaveOccurred())
	_ = l.Close()
})

// Guards against callers who hold connections or memory with slow or oversize requests.
var _ = Describe("the listener for callers", func() {
	It("ends a connection whose request does not come in time", func() {
		s := settings()
		started(s)
		conn, err := net.Dial("tcp", s.Host.Address)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, _ = conn.Write([]byte("GET / HTTP/1.1\r\nHost:"))
		_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		n, err := conn.Read(make([]byte, 1))
		Expect(n == 0 && err != nil && !os.IsTimeout(err)).To(BeTrue(), "read %d, %v", n, err)
	})

	It("refuses a header that is too large", func() {
		s := settings()
		started(s)
		req, err := http.NewRequest(http.MethodGet, "http://"+s.Host.Address, http.NoBody)
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("X", strings.Repeat("x", 16<<10))
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		_ = resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	})

	It("takes no more connections than allowed, and serves again when some end", func() {
		s := settings()
		started(s)
		var open []net.Conn
		for range s.Limits.MaxConnections {
			conn, err := net.Dial("tcp", s.Host.Address)
			Expect(err).NotTo(HaveOccurred())
			open = append(open, conn)
		}
		ask := func() error {
			client := http.Client{Timeout: 100 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
			resp, err := client.Get("http://" + s.Host.Address)
			if err == nil {
				_ = resp.Body.Close()
			}
			return err
		}
		Expect(ask()).To(HaveOccurred())
		for _, conn := range open {
			_ = conn.Close()
		}
		Eventually(ask).WithTimeout(5 * time.Second).Should(Succeed())
	})
})
