// Package oper is the client of the operator API of entry hosts.
package oper

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
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/samber/oops"

	"chivepost/admin/internal/exits"
	"chivepost/share/apiv1"
)

// maxBodyBytes bounds the body of an answer. As JSON, a configuration of 25 pipelines, 1,300
// targets and 1,200 accounts has 0.3 MB, and so have the counters of 1,200 accounts on one host.
const maxBodyBytes = 16 << 20

// HTTPClient sends one HTTP request. *http.Client implements it.
type HTTPClient interface {
	Do(req *http.Request) (*http.Response, error)
}

// Client calls the operator API of several entry hosts.
type Client struct {
	addresses []string
	http      HTTPClient
	timeout   time.Duration
	log       logr.Logger
}

// New returns a client of the entry hosts at the operator addresses, which are "ip:port" in
// order of preference. timeout bounds each read from one of them.
func New(addresses []string, client HTTPClient, timeout time.Duration, log logr.Logger) *Client {
	return &Client{addresses: addresses, http: client, timeout: timeout, log: log}
}

// Config reads the configuration in force from the first host that answers.
func (c *Client) Config(ctx context.Context) (apiv1.Config, error) {
	return readFirst[apiv1.Config](ctx, c, apiv1.PathConfig)
}

// Confirmations reads from the first host that answers which version each host has in force.
func (c *Client) Confirmations(ctx context.Context) (apiv1.Confirmations, error) {
	return readFirst[apiv1.Confirmations](ctx, c, apiv1.PathConfirmations)
}

// Answer is the value read from one operator address, or the error.
type Answer[T any] struct {
	Address string
	Value   T
	Err     error
}

// Status reads the host's status from every address.
func (c *Client) Status(ctx context.Context) ([]Answer[apiv1.Status], error) {
	return readAll(ctx, c, apiv1.PathStatus, func(s apiv1.Status) string { return s.Host })
}

// Burn reads the counters of the host's error budgets from every address.
func (c *Client) Burn(ctx context.Context) ([]Answer[apiv1.Burn], error) {
	return readAll(ctx, c, apiv1.PathBurn, func(b apiv1.Burn) string { return b.Host })
}

func (c *Client) noAddressError() error {
	return oops.Code(exits.Usage).Errorf("no operator address; give --operator or set addresses in [operator] of the settings")
}

// readFirst reads path from the first address that answers.
func readFirst[T any](ctx context.Context, c *Client, path string) (T, error) {
	var zero T
	if len(c.addresses) == 0 {
		return zero, c.noAddressError()
	}
	var errs []error
	for _, address := range c.addresses {
		value, err := read[T](ctx, c, address, path)
		if err == nil {
			return value, nil
		}
		errs = append(errs, err)
	}
	return zero, oops.Code(exits.Unreachable).Wrapf(joinErrors(errs), "no operator address answered")
}

// readAll reads path from every address. Several addresses of the same host give one answer.
// It returns an error only if no address answered.
func readAll[T any](ctx context.Context, c *Client, path string, host func(T) string) ([]Answer[T], error) {
	if len(c.addresses) == 0 {
		return nil, c.noAddressError()
	}
	answers := make([]Answer[T], len(c.addresses))
	var wg sync.WaitGroup
	for i, address := range c.addresses {
		wg.Go(func() {
			value, err := read[T](ctx, c, address, path)
			answers[i] = Answer[T]{Address: address, Value: value, Err: err}
		})
	}
	wg.Wait()
	seen := map[string]bool{}
	answers = slices.DeleteFunc(answers, func(a Answer[T]) bool {
		if a.Err != nil {
			return false
		}
		name := host(a.Value)
		duplicate := seen[name]
		seen[name] = true
		return duplicate
	})
	var errs []error
	for _, a := range answers {
		if a.Err != nil {
			errs = append(errs, a.Err)
		}
	}
	if len(errs) == len(answers) {
		return nil, oops.Code(exits.Unreachable).Wrapf(joinErrors(errs), "no operator address answered")
	}
	return answers, nil
}

// joinErrors joins errors on one line, unlike errors.Join.
func joinErrors(errs []error) error {
	texts := make([]string, len(errs))
	for i, err := range errs {
		texts[i] = err.Error()
	}
	return errors.New(strings.Join(texts, "; "))
}

// read reads path from one address and decodes the answer.
func read[T any](ctx context.Context, c *Client, address, path string) (T, error) {
	var value T
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	status, body, err := c.call(ctx, http.MethodGet, address, path, nil)
	if err != nil {
		return value, err
	}
	if status != http.StatusOK {
		return value, fmt.Errorf("%s: %s", address, problemText(status, body))
	}
	if err := json.Unmarshal(body, &value); err != nil {
		return value, fmt.Errorf("%s: decode answer of %s: %w", address, path, err)
	}
	return value, nil
}

// call sends one request and reads the complete answer.
func (c *Client) call(ctx context.Context, method, address, path string, body []byte) (int, []byte, error) {
	start := time.Now()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, fmt.Errorf("%s: %w", address, err)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	var urlErr *url.Error
	if errors.As(err, &urlErr) {
		// Without the URL, since the message has the address already.
		err = urlErr.Err
	}
	if err != nil {
		c.log.V(1).Info("call failed", "address", address, "path", path, "took", time.Since(start).String(), "error", err.Error())
		return 0, nil, fmt.Errorf("%s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	c.log.V(1).Info("called", "address", address, "path", path, "status", resp.StatusCode, "bytes", len(data), "took", time.Since(start).String())
	if err != nil {
		return 0, nil, fmt.Errorf("%s: read answer of %s: %w", address, path, err)
	}
	return resp.StatusCode, data, nil
}

func problemText(status int, body []byte) string {
	p, ok := decodeProblem(body)
	if !ok {
		return fmt.Sprintf("status %d", status)
	}
	text := p.Title
	if p.Detail != "" {
		text += ": " + p.Detail
	}
	return fmt.Sprintf("status %d, %s", status, text)
}

func decodeProblem(body []byte) (apiv1.Problem, bool) {
	var p apiv1.Problem
	err := json.Unmarshal(body, &p)
	return p, err == nil && p.Title != ""
}

// isUnsent reports whether err shows that the request was not sent because no connection was
// made.
func isUnsent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
