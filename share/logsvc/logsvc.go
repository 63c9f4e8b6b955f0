// Package logsvc is the client of the platform's log service: append-only
// streams whose records have contiguous offsets, starting at 1.
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
)

// Names of the streams that chivepost uses.
const (
	StreamConfig = "config"
	StreamClaims = "claims"
)

var (
	// ErrUnavailable means that the log did not take or serve the call: an
	// outage or its append rate. An append that fails this way had no effect.
	ErrUnavailable = errors.New("log service unavailable")
	// ErrUnknown means that an append may or may not have taken effect.
	ErrUnknown = errors.New("append outcome unknown")
)

// Record is one record of a stream.
type Record struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is the answer to a read. First is the oldest offset still kept, Next the
// offset that the next append gets.
type Page struct {
	First   int64    `json:"first"`
	Next    int64    `json:"next"`
	Records []Record `json:"records"`
}

// HeaderDataCentre names the data centre of the calling host.
const HeaderDataCentre = "X-Data-Centre"

// Client calls the log service over HTTP.
type Client struct {
	base       string
	http       *http.Client
	dataCentre string
}

// Option changes a Client in New.
type Option func(*Client)

// WithDataCentre names the calling host's data centre in each call.
func WithDataCentre(name string) Option { return func(c *Client) { c.dataCentre = name } }

// New returns a client of the log service at base, such as "http://127.0.0.1:7000".
func New(base string, client *http.Client, opts ...Option) *Client {
	c := &Client{base: base, http: client}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Append adds records as one append and returns the offset of the first. The
// error is ErrUnavailable when nothing was appended, else ErrUnknown.
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
	req.GetBody = nil // The HTTP client must not repeat an append by itself.
	req.Header.Set(HeaderDataCentre, c.dataCentre)
	resp, err := c.http.Do(req)
	if isDial(err) {
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
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return 0, fmt.Errorf("append to %s: %w: %w", stream, ErrUnknown, err)
	}
	return out.Offset, nil
}

// Read returns records from offset from on, at most limit of them. With none
// there yet, the service holds the call for up to wait.
func (c *Client) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Page, error) {
	q := url.Values{
		"from": {strconv.FormatInt(from, 10)},
		"max":  {strconv.Itoa(limit)},
		"wait": {wait.String()},
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(stream)+"?"+q.Encode(), http.NoBody)
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
	if err := json.NewDecoder(resp.Body).Decode(&page); err != nil {
		return Page{}, fmt.Errorf("read %s: %w: %w", stream, ErrUnavailable, err)
	}
	return page, nil
}

func (c *Client) url(stream string) string {
	return c.base + "/v1/streams/" + url.PathEscape(stream) + "/records"
}

// isDial reports whether no connection was made, so that nothing can have been sent.
func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// closeBody drains a little of the body first so that the connection can be reused.
func closeBody(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, 4096)
	_ = resp.Body.Close()
}
