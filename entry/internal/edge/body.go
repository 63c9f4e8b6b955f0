package edge

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"chivepost/entry/internal/memory"
)

const (
	// firstBodyBytes is the first reservation for a body of unknown length. Announced bodies
	// begin with up to memory.SmallBytes. Later steps double it.
	firstBodyBytes = 4 << 10
	// unreadBodyTimeout limits how long a caller may take to send the rest of a body that was
	// refused, which the server reads up to a limit of its own.
	unreadBodyTimeout = 3 * time.Second
)

var errBodyTooLarge = errors.New("the body is too large")

// readBody reads the whole body within the size limit, the memory of the host and the
// deadline. It writes the response and returns false if it can't.
func (c *call) readBody() bool {
	limit := c.config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	length := c.r.ContentLength
	if length > limit {
		return c.rejectBody(http.StatusRequestEntityTooLarge, errBodyTooLarge.Error())
	}
	if length == 0 {
		c.isBodyRead = true
		return true
	}
	if length > 0 {
		if err := c.memory.Check(length); err != nil {
			return c.refuseMemory(err)
		}
	}
	c.beginRead()
	c.memory.Begin(c.endStalledRead)
	err := c.receiveBody(limit)
	wasEnded := c.memory.Finish()
	c.endRead()
	switch {
	case err == nil:
		c.isBodyRead = true
		return true
	case c.isAborted():
		return c.refuseLeaving()
	case errors.Is(err, errBodyTooLarge):
		return c.rejectBody(http.StatusRequestEntityTooLarge, err.Error())
	case errors.Is(err, memory.ErrAccount), errors.Is(err, memory.ErrClient):
		return c.refuseMemory(err)
	case wasEnded:
		return c.refuseMemory(errStalled)
	}
	return c.rejectBody(http.StatusBadRequest, "the body is incomplete")
}

var errStalled = errors.New("the body stalled while the host's memory was needed")

// receiveBody reads the body. Its reservation grows in steps as bytes arrive, so that an
// announced length alone takes no memory.
func (c *call) receiveBody(limit int64) error {
	size, most := int64(firstBodyBytes), limit+1
	if length := c.r.ContentLength; length > 0 {
		size, most = min(length, memory.SmallBytes), length
	}
	for c.body = nil; ; size = min(2*size, most) {
		if err := c.memory.Grow(size); err != nil {
			return err
		}
		c.body = append(make([]byte, 0, size), c.body...)
		for len(c.body) < cap(c.body) {
			n, err := c.r.Body.Read(c.body[len(c.body):cap(c.body)])
			c.body = c.body[:len(c.body)+n]
			c.memory.Moved(n)
			if errors.Is(err, io.EOF) {
				return nil
			}
			if err != nil {
				return err
			}
		}
		switch {
		case int64(len(c.body)) > limit:
			return errBodyTooLarge
		case int64(len(c.body)) == c.r.ContentLength:
			// Reads io.EOF, after which the server detects that the caller disconnects.
			var one [1]byte
			_, _ = c.r.Body.Read(one[:])
			return nil
		}
	}
}

// rejectBody writes an error response to a request whose body isn't read to its end, and
// closes the connection.
func (c *call) rejectBody(status int, reason string) bool {
	c.body = nil
	c.w.Header().Set("Connection", "close")
	return c.reject(status, reason)
}

// refuseMemory refuses a request for which the host has no memory. The error names the limit.
func (c *call) refuseMemory(err error) bool {
	c.body, c.isRefusedMemory = nil, true
	c.w.Header().Set("Connection", "close")
	return c.refuse(err.Error(), 0)
}

// endStalledRead makes the read of the body fail.
func (c *call) endStalledRead() {
	c.bodyRead.mu.Lock()
	defer c.bodyRead.mu.Unlock()
	if c.bodyRead.inProgress {
		c.setReadDeadline(c.start)
	}
}

// memoryClient returns who answers for the memory of the request: the client account, or the
// remote address of a request without one.
func (c *call) memoryClient() string {
	if c.account != nil {
		return "account " + c.account.Name
	}
	host, _, err := net.SplitHostPort(c.r.RemoteAddr)
	if err != nil {
		host = c.r.RemoteAddr
	}
	return "address " + host
}

// bodyRead tells whether the body is being read. At other times the server reads from the
// connection to detect that the caller disconnects, and must not be interrupted.
type bodyRead struct {
	mu         sync.Mutex
	inProgress bool
}

// beginRead lets reads of the body fail at the deadline or when the host ends the request.
func (c *call) beginRead() {
	c.bodyRead.mu.Lock()
	defer c.bodyRead.mu.Unlock()
	c.bodyRead.inProgress = true
	if c.isAborted() {
		c.setReadDeadline(c.start)
		return
	}
	c.setReadDeadline(c.deadline)
}

func (c *call) endRead() {
	c.bodyRead.mu.Lock()
	defer c.bodyRead.mu.Unlock()
	c.bodyRead.inProgress = false
	c.setReadDeadline(time.Time{})
}

func (c *call) setReadDeadline(t time.Time) {
	_ = http.NewResponseController(c.w).SetReadDeadline(t) // not every connection supports deadlines
}
