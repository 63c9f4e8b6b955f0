// Package silent makes connections go silent in tests, as a firewall does that has forgotten them:
// nothing arrives any more, and neither end is told.
package silent

import (
	"net"
	"sync"
	"sync/atomic"
)

// Listener accepts connections of which the open ones can go silent, while new ones work.
type Listener struct {
	net.Listener
	mu   sync.Mutex
	open []*conn
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = append(l.open, c)
	return c, nil
}

// Silence makes all connections silent that were accepted so far.
func (l *Listener) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.open {
		c.isSilent.Store(true)
	}
	l.open = nil
}

type conn struct {
	net.Conn
	isSilent atomic.Bool
}

// Read swallows what arrives on a silent connection.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.isSilent.Load() {
			return n, err
		}
	}
}

// Write swallows what is written to a silent connection.
func (c *conn) Write(b []byte) (int, error) {
	if c.isSilent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}
