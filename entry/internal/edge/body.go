package edge

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// readBody reads the whole body within the size limit and the deadline. It writes the
// response and returns false if it can't.
func (c *call) readBody() bool {
	limit := c.config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if c.r.ContentLength > limit {
		c.w.Header().Set("Connection", "close")
		return c.reject(http.StatusRequestEntityTooLarge, "the body is too large")
	}
	c.beginRead()
	var err error
	if n := c.r.ContentLength; n > 0 {
		c.body = make([]byte, n)
		_, err = io.ReadFull(c.r.Body, c.body)
		if err == nil {
			// Reads io.EOF, after which the server detects that the caller disconnects.
			var one [1]byte
			_, _ = c.r.Body.Read(one[:])
		}
	} else if n < 0 {
		c.body, err = io.ReadAll(io.LimitReader(c.r.Body, limit+1))
		if err == nil && int64(len(c.body)) > limit {
			c.w.Header().Set("Connection", "close")
			return c.reject(http.StatusRequestEntityTooLarge, "the body is too large")
		}
	}
	c.endRead()
	if err != nil && c.isAborted() {
		return c.refuseLeaving()
	}
	if err != nil {
		c.w.Header().Set("Connection", "close")
		return c.reject(http.StatusBadRequest, "the body is incomplete")
	}
	return true
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
