package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"chivepost/share/apiv1"
	"chivepost/share/bundle"
	"chivepost/share/pause"
	"chivepost/share/quote"
	"chivepost/share/units"
)

// maxHeaderBytes limits the size of response headers.
const maxHeaderBytes = 64 << 10

// Options configures a Client. The zero value is usable.
type Options struct {
	// DataCentre is that of the calling host and is sent with each call.
	DataCentre string
	// DialTimeout is the timeout for connecting to a target. It defaults to 1 s.
	DialTimeout time.Duration
	// MaxIdlePerTarget is the number of idle connections kept per target. It defaults
	// to 64.
	MaxIdlePerTarget int
	// MaxOutput is the largest accepted output in bytes. It defaults to 1 MiB.
	MaxOutput int
	// Dial replaces the dialer of the connections in tests.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls targets over HTTP. It is safe for concurrent use.
type Client struct {
	opts      Options
	pooled    *http.Client
	bodyBytes atomic.Int64 // held of response bodies beyond their first freeBodyBytes
}

var _ Caller = (*Client)(nil)

// New returns a Client with opts.
func New(opts Options) *Client {
	if opts.DialTimeout == 0 {
		opts.DialTimeout = time.Second
	}
	if opts.MaxIdlePerTarget == 0 {
		opts.MaxIdlePerTarget = 64
	}
	if opts.MaxOutput == 0 {
		opts.MaxOutput = 1 << 20
	}
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{Timeout: opts.DialTimeout}).DialContext
	}
	c := &Client{opts: opts}
	c.pooled = c.newHTTPClient(false)
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// newHTTPClient returns an HTTP client that follows no redirects, because a redirected
// call would reach a target on which no slot was granted for it.
func (c *Client) newHTTPClient(disableKeepAlives bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            c.opts.Dial,
			DisableKeepAlives:      disableKeepAlives,
			DisableCompression:     true,
			MaxIdleConnsPerHost:    c.opts.MaxIdlePerTarget,
			IdleConnTimeout:        30 * time.Second,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Run makes one call. A non-nil Result.Err is a *CallError.
func (c *Client) Run(ctx context.Context, call Call, onToken func(index int, text string)) Result {
	if call.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, call.Timeout)
		defer cancel()
	}
	// Once the request has a connection, bytes may have been written to the target.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := c.newRequest(ctx, call)
	if err != nil {
		return Result{Err: &CallError{Reason: ReasonUnsent, Err: err}}
	}
	client := c.pooled
	if call.Once {
		client = c.newHTTPClient(true)
		req.GetBody = nil // keeps net/http from sending the body a second time
		req.Close = true
	}
	resp, err := client.Do(req)
	if err != nil {
		if !connected.Load() {
			return Result{Err: &CallError{Reason: ReasonUnsent, Err: err}}
		}
		return Result{Execution: MayHaveExecuted, Err: transportError(ctx, err)}
	}
	defer func() { _ = resp.Body.Close() }()
	res := Result{
		Execution: MayHaveExecuted,
		State:     State(resp.Header.Get(HeaderState)),
		Boot:      resp.Header.Get(HeaderBoot),
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		res.Pause = pause.Parse(resp.Header.Get(HeaderRetryAfter), resp.Header.Get("Date"))
	}
	if callErr := c.readResponse(ctx, resp, call, onToken, &res); callErr != nil {
		res.Err = callErr
		if callErr.Reason == ReasonNotRun {
			res.Execution = NotExecuted
		}
		return res
	}
	res.Execution = Executed
	return res
}

func (c *Client) newRequest(ctx context.Context, call Call) (*http.Request, error) {
	path := "/v1/run"
	var body any = RunRequest{ID: call.ID, Input: call.Input, Model: call.Model}
	if call.Kind == bundle.KindEngine {
		path = "/v1/completions"
		body = CompletionRequest{
			Model: call.Model, Prompt: call.Input, Stream: true,
			StreamOptions: &StreamOptions{IncludeUsage: true},
		}
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode call: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+call.Address+path, bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("build call: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequestID, call.ID)
	req.Header.Set(HeaderFence, strconv.FormatUint(call.Fence, 10))
	req.Header.Set(HeaderPriority, strconv.Itoa(call.Priority))
	req.Header.Set(HeaderDataCentre, c.opts.DataCentre)
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(HeaderTimeout, units.Duration(time.Until(deadline)).String())
	}
	if call.IdempotencyID != "" {
		req.Header.Set(HeaderIdempotencyID, call.IdempotencyID)
	}
	return req, nil
}

// readResponse validates the response and stores the output in res.
func (c *Client) readResponse(ctx context.Context, resp *http.Response, call Call, onToken func(int, string), res *Result) *CallError {
	if resp.ProtoMajor != 1 { // net/http accepts any version in the status line
		return &CallError{Reason: ReasonFormat, Detail: fmt.Sprintf("response in version %d.%d of HTTP", resp.ProtoMajor, resp.ProtoMinor)}
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderNotRun) == "true" {
		if resp.Header.Get(HeaderRequestID) != call.ID {
			return wrongIDError(resp.StatusCode)
		}
		return &CallError{Reason: ReasonNotRun, Status: resp.StatusCode}
	}
	if resp.StatusCode != http.StatusOK {
		return &CallError{Reason: ReasonStatus, Status: resp.StatusCode}
	}
	if resp.Header.Get(HeaderRequestID) != call.ID {
		return wrongIDError(resp.StatusCode)
	}
	if call.Kind == bundle.KindEngine {
		return c.readStream(ctx, resp.Body, onToken, res)
	}
	return c.readRun(ctx, resp.Body, call.ID, onToken, res)
}

func (c *Client) readRun(ctx context.Context, body io.Reader, id string, onToken func(int, string), res *Result) *CallError {
	// JSON may escape one byte of output as six bytes.
	limit := int64(c.opts.MaxOutput)*6 + 4096
	counted := &countedReader{reader: io.LimitReader(body, limit+1), held: &c.bodyBytes}
	defer counted.release()
	data, err := io.ReadAll(counted)
	if errors.Is(err, errBodiesTooLarge) {
		return &CallError{Reason: ReasonTooLarge, Err: err}
	}
	if err != nil {
		return readError(ctx, err)
	}
	if int64(len(data)) > limit {
		return &CallError{Reason: ReasonTooLarge}
	}
	var response RunResponse
	if err := json.Unmarshal(data, &response); err != nil {
		return &CallError{Reason: ReasonFormat, Err: quote.Strip(err)}
	}
	switch {
	case response.ID != id:
		return wrongIDError(http.StatusOK)
	case len(response.Output) > c.opts.MaxOutput:
		return &CallError{Reason: ReasonTooLarge}
	case response.Length != len(response.Output):
		return &CallError{Reason: ReasonIncomplete, Detail: fmt.Sprintf("output length %d, want %d", len(response.Output), response.Length)}
	case response.Checksum != apiv1.Checksum(response.Output):
		return &CallError{Reason: ReasonIncomplete, Detail: "output checksum differs"}
	}
	res.Output = response.Output
	if onToken != nil {
		onToken(0, response.Output)
	}
	return nil
}

// LoadReport fetches the load report of the target at address.
func (c *Client) LoadReport(ctx context.Context, address string) (LoadReport, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/load", http.NoBody)
	if err != nil {
		return LoadReport{}, fmt.Errorf("build load report request: %w", err)
	}
	req.Header.Set(HeaderDataCentre, c.opts.DataCentre)
	resp, err := c.pooled.Do(req)
	if err != nil {
		return LoadReport{}, fmt.Errorf("read load report of %s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return LoadReport{}, fmt.Errorf("read load report of %s: status %d", address, resp.StatusCode)
	}
	var load LoadReport
	if err := json.NewDecoder(io.LimitReader(resp.Body, 64<<10)).Decode(&load); err != nil {
		return LoadReport{}, fmt.Errorf("decode load report of %s: %w", address, err)
	}
	return load, nil
}

func wrongIDError(status int) *CallError {
	return &CallError{Reason: ReasonWrongID, Status: status, Detail: "response to another call"}
}

// transportError classifies err as a timeout, a cancelled call or a lost connection.
func transportError(ctx context.Context, err error) *CallError {
	err = quote.Strip(err)
	switch {
	case errors.Is(err, context.DeadlineExceeded), errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &CallError{Reason: ReasonTimeout, Err: err}
	case errors.Is(err, context.Canceled), ctx.Err() != nil:
		return &CallError{Reason: ReasonCancelled, Err: err}
	default:
		return &CallError{Reason: ReasonConnectionLost, Err: err}
	}
}

// readError classifies an error in reading a response body. A body that ends early
// makes the response incomplete, unless the call timed out or was cancelled.
func readError(ctx context.Context, err error) *CallError {
	if ctx.Err() == nil && errors.Is(err, io.ErrUnexpectedEOF) {
		return &CallError{Reason: ReasonIncomplete, Status: http.StatusOK, Err: quote.Strip(err)}
	}
	return transportError(ctx, err)
}
