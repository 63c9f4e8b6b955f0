package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// linkFault is a fault that a proxy applies to its connections.
type linkFault int

const (
	linkHealthy linkFault = iota
	linkDelayed           // bytes are delivered late
	linkReset             // open and new connections are reset
	linkOneWay            // bytes to the server are discarded, those from it pass
	linkSilent            // all bytes are discarded and connections stay open
)

// delay is the added latency of a delayed link.
const delay = 150 * time.Millisecond

// proxy is a loopback TCP proxy in front of one server.
type proxy struct {
	listener net.Listener
	server   string
	wait     sync.WaitGroup

	mu    sync.Mutex
	fault linkFault
	conns map[net.Conn]bool
}

func newProxy(server string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, server: server, conns: map[net.Conn]bool{}}
	p.wait.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.wait.Go(func() { p.serve(c) })
		}
	})
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) currentFault() linkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// setFault changes the fault. linkReset closes the open connections, and so does the end of
// linkSilent or linkOneWay: after a long partition, retransmission has given up on them.
func (p *proxy) setFault(f linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f == linkReset || p.fault == linkSilent || p.fault == linkOneWay {
		for c := range p.conns {
			reset(c)
		}
	}
	p.fault = f
}

// reset closes a connection so that its other end sees a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// track adds or removes a connection that setFault and close act on.
func (p *proxy) track(c net.Conn, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

func (p *proxy) serve(c net.Conn) {
	if p.currentFault() == linkReset {
		reset(c)
		return
	}
	s, err := net.DialTimeout("tcp", p.server, time.Second)
	if err != nil {
		reset(c)
		return
	}
	for _, x := range []net.Conn{c, s} {
		p.track(x, true)
		defer p.track(x, false)
	}
	done := make(chan struct{}, 2)
	go func() { p.forward(s, c, true); done <- struct{}{} }()
	go func() { p.forward(c, s, false); done <- struct{}{} }()
	<-done
	_ = c.Close()
	_ = s.Close()
	<-done
}

// forward copies bytes in one direction and applies the fault in force.
func (p *proxy) forward(to, from net.Conn, upstream bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			switch f := p.currentFault(); {
			case f == linkSilent || f == linkOneWay && upstream:
				continue // discarded
			case f == linkDelayed:
				time.Sleep(delay)
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				reset(to)
			}
			return
		}
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	for c := range p.conns {
		_ = c.Close()
	}
	p.mu.Unlock()
	p.wait.Wait()
}
