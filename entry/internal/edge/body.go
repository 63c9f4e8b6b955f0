package edge

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"chivepost/entry/internal/memory"
)

// unreadBodyTimeout limits how long a caller may take to send the rest of a body that was
// refused, which the server reads up to a limit of its own.
const unreadBodyTimeout = 3 * time.Second

// readBody reads the whole body within the size limit, the memory of the host and the
// deadline. It writes the response and returns false if it can't.
func (c *call) readBody() bool {
	limit := c.config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	length := c.r.ContentLength
	if length > limit {
		return c.rejectBody(http.StatusRequestEntityTooLarge, memory.ErrTooLarge.Error())
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
	c.memory.Begin(memory.Reading, c.endStalledRead)
	var err error
	c.body, err = c.memory.ReadBody(c.r.Body, length, limit, c.growReceive)
	c.shrinkReceive()
	wasEnded := c.memory.Finish()
	c.isReadEnded = wasEnded
	c.endRead()
	switch {
	case err == nil:
		c.isBodyRead = true
		return true
	case c.isAborted():
		return c.refuseLeaving()
	case errors.Is(err, memory.ErrTooLarge):
		return c.rejectBody(http.StatusRequestEntityTooLarge, err.Error())
	case errors.Is(err, memory.ErrAccount), errors.Is(err, memory.ErrClient):
		return c.refuseMemory(err)
	case wasEnded:
		return c.refuseMemory(errStalled)
	case errors.Is(err, os.ErrDeadlineExceeded):
		// Nothing has run, and callers retry this status.
		return c.rejectBody(http.StatusRequestTimeout, "the body didn't arrive before the deadline")
	}
	return c.rejectBody(http.StatusBadRequest, "the body is incomplete")
}

// maxReceiveBytes is the largest receive buffer of a connection whose body is read.
const maxReceiveBytes = 256 << 10

// growReceive lets the kernel receive as much of the body as there is room for in its reservation,
// since a small window is slow on a long link.
func (c *call) growReceive(left int64) {
	size := int(min(left/2, maxReceiveBytes))
	if c.h.opts.ReceiveBytes > 0 && size > max(c.h.opts.ReceiveBytes, c.receiveBytes) {
		c.receiveBytes = size
		setReceive(c.r, size)
	}
}

// shrinkReceive undoes growReceive.
func (c *call) shrinkReceive() {
	if c.receiveBytes > 0 {
		c.receiveBytes = 0
		setReceive(c.r, c.h.opts.ReceiveBytes)
	}
}

var errStalled = errors.New("the body stalled while its memory or its connection was needed")

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

// client returns who answers for what the request holds: the client account, or the remote address
// of a request without one.
func (c *call) client() string {
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
