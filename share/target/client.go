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
	"chivepost/share/units"
)

// Options set up a Client. The zero value is usable.
type Options struct {
	// DataCentre is the calling host's own, sent with each call.
	DataCentre string
	// DialTimeout bounds the time to connect, 1 s if not set.
	DialTimeout time.Duration
	// MaxIdlePerTarget is the number of idle connections kept per target, 64 if not set.
	MaxIdlePerTarget int
	// MaxOutput is the largest output accepted in bytes, 1 MiB if not set.
	MaxOutput int
	// Dial replaces the connection's dialler, for tests.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls targets over HTTP. It is safe for concurrent use.
type Client struct {
	opts   Options
	shared *http.Client
}

var _ Caller = (*Client)(nil)

// New returns a client of targets.
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
	c.shared = c.client(false)
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.shared.CloseIdleConnections() }

// client returns an HTTP client that follows no redirects, since a redirected
// call would reach a target that holds no slot for it.
func (c *Client) client(fresh bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         c.opts.Dial,
			DisableKeepAlives:   fresh,
			DisableCompression:  true,
			MaxIdleConnsPerHost: c.opts.MaxIdlePerTarget,
			IdleConnTimeout:     30 * time.Second,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Run makes one call. Its error, if any, is a *CallError.
func (c *Client) Run(ctx context.Context, call Call, token func(index int, text string)) Result {
	if call.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, call.Timeout)
		defer cancel()
	}
	// A connection counts as used once it has been handed to the request: from then
	// on, bytes may have been written.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := c.request(ctx, call)
	if err != nil {
		return Result{Err: &CallError{Reason: ReasonUnsent, Err: err}}
	}
	client := c.shared
	if call.Once {
		client = c.client(true)
		req.GetBody = nil // Without it, net/http can't send the body a second time.
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
	if callErr := c.read(ctx, resp, call, token, &res); callErr != nil {
		res.Err = callErr
		if callErr.Reason == ReasonNotRun {
			res.Execution = NotExecuted
		}
		return res
	}
	res.Execution = Executed
	return res
}

func (c *Client) request(ctx context.Context, call Call) (*http.Request, error) {
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

// read checks the whole answer and stores it in res.
func (c *Client) read(ctx context.Context, resp *http.Response, call Call, token func(int, string), res *Result) *CallError {
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderNotRun) == "true" {
		if echo := resp.Header.Get(HeaderRequestID); echo != call.ID {
			return echoError(resp.StatusCode, call.ID, echo)
		}
		return &CallError{Reason: ReasonNotRun, Status: resp.StatusCode}
	}
	if resp.StatusCode != http.StatusOK {
		return &CallError{Reason: ReasonStatus, Status: resp.StatusCode}
	}
	if echo := resp.Header.Get(HeaderRequestID); echo != call.ID {
		return echoError(resp.StatusCode, call.ID, echo)
	}
	if call.Kind == bundle.KindEngine {
		return c.readStream(ctx, resp.Body, token, res)
	}
	return c.readRun(ctx, resp.Body, call.ID, token, res)
}

func (c *Client) readRun(ctx context.Context, body io.Reader, id string, token func(int, string), res *Result) *CallError {
	// The JSON form may take up to six bytes for one byte of output.
	limit := int64(c.opts.MaxOutput)*6 + 4096
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return readError(ctx, err)
	}
	if int64(len(data)) > limit {
		return &CallError{Reason: ReasonTooLarge}
	}
	var answer RunResponse
	if err := json.Unmarshal(data, &answer); err != nil {
		return &CallError{Reason: ReasonFormat, Err: err}
	}
	switch {
	case answer.ID != id:
		return echoError(http.StatusOK, id, answer.ID)
	case len(answer.Output) > c.opts.MaxOutput:
		return &CallError{Reason: ReasonTooLarge}
	case answer.Length != len(answer.Output):
		return &CallError{Reason: ReasonIncomplete, Detail: fmt.Sprintf("length %d, want %d", len(answer.Output), answer.Length)}
	case answer.Checksum != apiv1.Checksum(answer.Output):
		return &CallError{Reason: ReasonIncomplete, Detail: "checksum differs"}
	}
	res.Output = answer.Output
	if token != nil {
		token(0, answer.Output)
	}
	return nil
}

// LoadReport reads a target's load report.
func (c *Client) LoadReport(ctx context.Context, address string) (LoadReport, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/load", http.NoBody)
	if err != nil {
		return LoadReport{}, fmt.Errorf("build load request: %w", err)
	}
	req.Header.Set(HeaderDataCentre, c.opts.DataCentre)
	resp, err := c.shared.Do(req)
	if err != nil {
		return LoadReport{}, fmt.Errorf("read load of %s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return LoadReport{}, fmt.Errorf("read load of %s: status %d", address, resp.StatusCode)
	}
	var load LoadReport
	if err := json.NewDecoder(io.LimitReader(resp.Body, 64<<10)).Decode(&load); err != nil {
		return LoadReport{}, fmt.Errorf("decode load of %s: %w", address, err)
	}
	return load, nil
}

func echoError(status int, want, got string) *CallError {
	return &CallError{Reason: ReasonWrongID, Status: status, Detail: fmt.Sprintf("answer to %q, want %q", got, want)}
}

// transportError tells a timeout and a cancelled call from a failed connection.
func transportError(ctx context.Context, err error) *CallError {
	switch {
	case errors.Is(err, context.DeadlineExceeded), errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &CallError{Reason: ReasonTimeout, Err: err}
	case errors.Is(err, context.Canceled), ctx.Err() != nil:
		return &CallError{Reason: ReasonCancelled, Err: err}
	default:
		return &CallError{Reason: ReasonConnectionLost, Err: err}
	}
}

// readError is for a failure while the answer's body is read: a body that ends
// early without the call having been given up is an incomplete answer.
func readError(ctx context.Context, err error) *CallError {
	if ctx.Err() == nil && errors.Is(err, io.ErrUnexpectedEOF) {
		return &CallError{Reason: ReasonIncomplete, Status: http.StatusOK, Err: err}
	}
	return transportError(ctx, err)
}
