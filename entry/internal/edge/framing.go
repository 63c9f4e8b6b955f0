package edge

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"chivepost/entry/internal/kernel"
)

// net/http drops Content-Length from a request that is also chunked. Other servers could
// read such a request as two (request smuggling), so the raw bytes are checked for it.

type connKey struct{}

// framingConn checks what it reads for request heads with both framings.
type framingConn struct {
	net.Conn
	ambiguous atomic.Bool
}

func (c *framingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && hasBothFramings(p[:n]) {
		c.ambiguous.Store(true)
	}
	return n, err
}

var (
	headEnd          = []byte("\r\n\r\n")
	contentLength    = []byte("\ncontent-length:")
	transferEncoding = []byte("\ntransfer-encoding:")
)

// hasBothFramings reports whether data begins with a request head that has both
// Content-Length and Transfer-Encoding.
func hasBothFramings(data []byte) bool {
	if len(data) == 0 || data[0] < 'A' || data[0] > 'Z' {
		return false
	}
	if i := bytes.Index(data, headEnd); i >= 0 {
		data = data[:i]
	}
	lower := bytes.ToLower(data)
	return bytes.Contains(lower, transferEncoding) && bytes.Contains(lower, contentLength)
}

type framingListener struct{ net.Listener }

// WrapListener makes the connections of l detect requests with both framings. The server
// needs ConnContext as well.
func WrapListener(l net.Listener) net.Listener { return framingListener{l} }

func (l framingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &framingConn{Conn: c}, nil
}

// ConnContext gives requests access to their connection. It is the http.Server.ConnContext
// of a server that uses WrapListener.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if outer, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = outer.NetConn()
	}
	return context.WithValue(ctx, connKey{}, c)
}

// hasAmbiguousFraming reports whether a request is chunked and has a Content-Length too.
func hasAmbiguousFraming(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*framingConn)
	return ok && len(r.TransferEncoding) > 0 && c.ambiguous.Load()
}

// setReceive sets the receive buffer of the request's connection.
func setReceive(r *http.Request, size int) {
	if c, ok := r.Context().Value(connKey{}).(*framingConn); ok {
		kernel.SetReceive(c.Conn, size)
	}
}

// resetOnClose makes the end of the request's connection a reset, so that a response whose end is
// that of the connection doesn't look complete.
func resetOnClose(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*framingConn); ok {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only if the connection is closed
		}
	}
}
