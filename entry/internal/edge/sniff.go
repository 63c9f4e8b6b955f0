package edge

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// The HTTP server drops Content-Length where a request is also chunked. Such a
// request could be read as two by others, so its connection notes what it saw.

type sniffKey struct{}

// sniffConn looks for heads with both framings in what it reads.
type sniffConn struct {
	net.Conn
	ambiguous atomic.Bool
}

func (c *sniffConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && hasBothFramings(p[:n]) {
		c.ambiguous.Store(true)
	}
	return n, err
}

var (
	headEnd       = []byte("\r\n\r\n")
	contentLength = []byte("\ncontent-length:")
	transferCoded = []byte("\ntransfer-encoding:")
)

// hasBothFramings looks at the head with which data begins.
func hasBothFramings(data []byte) bool {
	if len(data) == 0 || data[0] < 'A' || data[0] > 'Z' {
		return false
	}
	if i := bytes.Index(data, headEnd); i >= 0 {
		data = data[:i]
	}
	lower := bytes.ToLower(data)
	return bytes.Contains(lower, transferCoded) && bytes.Contains(lower, contentLength)
}

type sniffListener struct{ net.Listener }

// WrapListener wraps a listener for callers.
func WrapListener(l net.Listener) net.Listener { return sniffListener{l} }

func (l sniffListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &sniffConn{Conn: c}, nil
}

// ConnContext makes a connection known to its requests; it is for http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, sniffKey{}, c)
}

// isAmbiguous reports whether a request has two framings.
func isAmbiguous(r *http.Request) bool {
	c, ok := r.Context().Value(sniffKey{}).(*sniffConn)
	return ok && len(r.TransferEncoding) > 0 && c.ambiguous.Load()
}
