package soak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// startServeHost starts a chive-entry serve process that can't reach its platform, so that it
// has no configuration and refuses requests; it answers which addresses to use all the same.
// The limits given go before those of the test.
func startServeHost(t *testing.T, binary string, limits ...string) *crowdHost {
	t.Helper()
	h := &crowdHost{t: t, exited: make(chan struct{}), front: freeAddress(t), peers: freeAddress(t), metrics: freeAddress(t)}
	dir := t.TempDir()
	path := filepath.Join(dir, "entry.ini")
	text := fmt.Sprintf("[host]\nname = h\ndata_centre = d\nregion = r\naddress = %s\npeer_address = %s\noperator_address = %s\n"+
		"[platform]\nlog_url = http://127.0.0.1:1\nhosts_url = http://127.0.0.1:1\n[peers]\nkey = k\n"+
		"[limits]\nread_time = 2s\nidle_time = 1s\nmax_header = 16KiB\nmax_connections = 120\n", h.front, h.peers, h.metrics)
	for _, limit := range limits {
		name, _, _ := strings.Cut(limit, "=")
		text = regexp.MustCompile("(?m)^"+name+"=.*$").ReplaceAllLiteralString(text, limit)
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	h.ordinary = func() (*http.Request, error) {
		return http.NewRequest(http.MethodGet, "http://"+h.front+"/v1/address", http.NoBody)
	}
	h.launch(exec.Command(binary, "serve", path), dir)
	return h
}

// TestServeCrowds guards against the same clients at the product's own front.
func TestServeCrowds(t *testing.T) {
	binary := buildEntry(t)
	const chunked = "POST /v1/pipelines/ask/requests HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	largeChunk := "10000\r\n" + strings.Repeat("x", 64<<10) + "\r\n"
	headers := strings.Repeat("A: "+strings.Repeat("b", 60)+"\r\n", 1<<10)
	for _, c := range []struct {
		name string
		n    int
		crowdClient
	}{
		{"headers without end", 30, crowdClient{crowdFront, "GET /x HTTP/1.1\r\nHost: h\r\n", headers, 64, false}},
		{"empty lines before a request", 30, crowdClient{crowdFront, "", strings.Repeat("\r\n", 32<<10), 64, false}},
		{"bodies in large chunks that stop short", 60, crowdClient{crowdFront, chunked, largeChunk, 63, false}},
		{"idle connections", 400, crowdClient{crowdFront, "", "", 0, false}},
		{"idle connections to the peer listener", 400, crowdClient{crowdPeers, "", "", 0, false}},
		{"idle connections to the operator listener", 400, crowdClient{crowdMetrics, "", "", 0, false}},
		{"bodies sent to the operator listener", 60, crowdClient{crowdMetrics, chunked, largeChunk, 63, false}},
	} {
		t.Run(c.name, func(t *testing.T) { runCrowd(startServeHost(t, binary), c.n, c.crowdClient) })
	}
}
