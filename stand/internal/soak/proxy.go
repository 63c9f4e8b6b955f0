package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// linkFault is what a proxy does to its connections.
type linkFault int

const (
	linkFine    linkFault = iota
	linkDelayed           // bytes come late
	linkReset             // connections are reset, new ones too
	linkOneWay            // bytes to the server are swallowed, those from it pass
	linkSilent            // nothing passes and nothing ends
)

// delay is how late bytes come over a delayed link.
const delay = 150 * time.Millisecond

// proxy is a loopback proxy in front of one server.
type proxy struct {
	listener net.Listener
	target   string
	wait     sync.WaitGroup

	mu    sync.Mutex
	fault linkFault
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
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

func (p *proxy) state() linkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// set changes the fault. A reset ends the connections there are; so does the end
// of a silence, as when a partition has outlasted the retransmissions.
func (p *proxy) set(f linkFault) {
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
	if p.state() == linkReset {
		reset(c)
		return
	}
	s, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		reset(c)
		return
	}
	for _, x := range []net.Conn{c, s} {
		p.track(x, true)
		defer p.track(x, false)
	}
	done := make(chan struct{}, 2)
	go func() { p.copy(s, c, true); done <- struct{}{} }()
	go func() { p.copy(c, s, false); done <- struct{}{} }()
	<-done
	_ = c.Close()
	_ = s.Close()
	<-done
}

// copy passes bytes on as the fault lets them.
func (p *proxy) copy(to, from net.Conn, upstream bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			switch f := p.state(); {
			case f == linkSilent || f == linkOneWay && upstream:
				continue // swallowed
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
