// Package logsvc is a client of the platform's log service, which holds append-only
// streams. The records of a stream have contiguous offsets, starting at 1.
package logsvc

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"chivepost/share/poll"
)

// Names of the streams in use.
const (
	StreamConfig = "config"
	StreamClaims = "claims"
)

var (
	// ErrUnavailable means that the log service did not serve the call, because of an
	// outage or its limit on the append rate. An append that fails this way had no effect.
	ErrUnavailable = errors.New("log service unavailable")
	// ErrUnknown means that an append may or may not have taken effect.
	ErrUnknown = errors.New("append outcome unknown")
)

// Record is one record of a stream.
type Record struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is the answer to a read. First is the oldest offset still kept, Next the offset of
// the next record to be appended.
type Page struct {
	First   int64    `json:"first"`
	Next    int64    `json:"next"`
	Records []Record `json:"records"`
}

// HeaderDataCentre is the header with the data centre of the calling host.
const HeaderDataCentre = "X-Data-Centre"

// Client calls the log service over HTTP.
type Client struct {
	base         string
	http         *http.Client
	dataCentre   string
	maxPageBytes int64
}

const (
	// DefaultMaxPageBytes bounds the answer to a read unless WithMaxPageBytes does.
	DefaultMaxPageBytes = 32 << 20
	// maxAppendAnswerBytes bounds the answer to an append, which holds one offset.
	maxAppendAnswerBytes = 4 << 10
	// maxDiscardBytes and discardTimeout bound the rest of a body that is read only so that
	// the connection can be reused.
	maxDiscardBytes = 4 << 10
	discardTimeout  = 50 * time.Millisecond
)

// Option sets an option of a Client in New.
type Option func(*Client)

// WithDataCentre sends the calling host's data centre with each call.
func WithDataCentre(name string) Option { return func(c *Client) { c.dataCentre = name } }

// WithMaxPageBytes bounds the answer to a read. Records are encoded in base64.
func WithMaxPageBytes(n int64) Option { return func(c *Client) { c.maxPageBytes = n } }

// New returns a client of the log service at the URL base, such as "http://127.0.0.1:7000".
func New(base string, client *http.Client, opts ...Option) *Client {
	c := &Client{base: base, http: client, maxPageBytes: DefaultMaxPageBytes}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Append appends records in one call and returns the offset of the first. The error of a
// failed call wraps ErrUnavailable if nothing was appended, else ErrUnknown.
func (c *Client) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	body, err := json.Marshal(struct {
		Records [][]byte `json:"records"`
	}{records})
	if err != nil {
		return 0, fmt.Errorf("encode append: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(stream), bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("build append: %w", err)
	}
	req.GetBody = nil // Keeps the HTTP client from sending the append again by itself.
	req.Header.Set(HeaderDataCentre, c.dataCentre)
	resp, err := c.http.Do(req)
	if isDialError(err) {
		return 0, fmt.Errorf("append to %s: %w: %w", stream, ErrUnavailable, err)
	}
	if err != nil {
		return 0, fmt.Errorf("append to %s: %w: %w", stream, ErrUnknown, err)
	}
	defer closeBody(resp)
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return 0, fmt.Errorf("append to %s: status %d: %w", stream, resp.StatusCode, ErrUnavailable)
	default:
		return 0, fmt.Errorf("append to %s: status %d: %w", stream, resp.StatusCode, ErrUnknown)
	}
	var out struct {
		Offset int64 `json:"offset"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAppendAnswerBytes)).Decode(&out); err != nil {
		return 0, fmt.Errorf("append to %s: %w: %w", stream, ErrUnknown, err)
	}
	return out.Offset, nil
}

// Read returns at most limit records from offset from on. If there are none yet, the
// service waits for one for up to wait.
func (c *Client) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Page, error) {
	q := url.Values{
		"from": {strconv.FormatInt(from, 10)},
		"max":  {strconv.Itoa(limit)},
		"wait": {wait.String()},
	}
	req, err := http.NewRequestWithContext(poll.WithWait(ctx, wait), http.MethodGet, c.url(stream)+"?"+q.Encode(), http.NoBody)
	if err != nil {
		return Page{}, fmt.Errorf("build read: %w", err)
	}
	req.Header.Set(HeaderDataCentre, c.dataCentre)
	resp, err := c.http.Do(req)
	if err != nil {
		return Page{}, fmt.Errorf("read %s: %w: %w", stream, ErrUnavailable, err)
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK {
		return Page{}, fmt.Errorf("read %s: status %d: %w", stream, resp.StatusCode, ErrUnavailable)
	}
	var page Page
	if err := json.NewDecoder(io.LimitReader(resp.Body, c.maxPageBytes)).Decode(&page); err != nil {
		return Page{}, fmt.Errorf("read %s: %w: %w", stream, ErrUnavailable, err)
	}
	return page, nil
}

// url returns the URL of a stream's records.
func (c *Client) url(stream string) string {
	return c.base + "/v1/streams/" + url.PathEscape(stream) + "/records"
}

// isDialError reports whether the connection couldn't be opened, so that nothing was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// closeBody reads the rest of the body before closing it, if it is short and arrives soon,
// so that the connection can be reused.
func closeBody(resp *http.Response) {
	timer := time.AfterFunc(discardTimeout, func() { _ = resp.Body.Close() }) // ends the read
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, resp.Body, maxDiscardBytes)
	_ = resp.Body.Close()
}
