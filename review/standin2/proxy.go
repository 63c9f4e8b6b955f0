package main

import (
	"io"
	"net"
	"sync"
)

// proxy passes channels on to one address. It can make the open ones silent.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	open     map[*channel]bool
	isCut    bool // new channels are silent too
}

// channel is one connection through the proxy.
type channel struct {
	near, far net.Conn
	mu        sync.Mutex
	silent    bool
}

func startProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, open: map[*channel]bool{}}
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", target)
			if err != nil {
				_ = near.Close()
				continue
			}
			p.mu.Lock()
			c := &channel{near: near, far: far, silent: p.isCut}
			p.open[c] = true
			p.mu.Unlock()
			go p.pass(c, far, near)
			go p.pass(c, near, far)
		}
	}()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// pass copies bytes until one end closes. A silent channel swallows them, and stays open until
// the near end closes it.
func (p *proxy) pass(c *channel, to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		c.mu.Lock()
		silent := c.silent
		c.mu.Unlock()
		if n > 0 && !silent {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err == nil {
			continue
		}
		if silent && from == c.far {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		_ = c.near.Close()
		_ = c.far.Close()
		p.mu.Lock()
		delete(p.open, c)
		p.mu.Unlock()
		return
	}
}

// silence makes all open channels silent for good and returns their number. New ones work.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
	return len(p.open)
}

// cut makes all channels silent until heal, also new ones. Channels of that time stay silent.
func (p *proxy) cut() {
	p.mu.Lock()
	p.isCut = true
	p.mu.Unlock()
	p.silence()
}

func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = false
}

func (p *proxy) stop() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		_ = c.near.Close()
		_ = c.far.Close()
	}
}
