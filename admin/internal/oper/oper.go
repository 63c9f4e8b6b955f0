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

// maxBody bounds an answer. As JSON, a configuration of 25 pipelines, 1,300 targets and
// 1,200 accounts has 0.3 MB, and so have the counters of 1,200 accounts on one host.
const maxBody = 16 << 20

// HTTPClient sends one HTTP request; *http.Client is one.
type HTTPClient interface {
	Do(req *http.Request) (*http.Response, error)
}

// Client reads from and publishes to entry hosts.
type Client struct {
	addresses []string
	http      HTTPClient
	timeout   time.Duration
	log       logr.Logger
}

// New returns a client of the entry hosts at the operator addresses, "ip:port" in order
// of preference. timeout bounds each read from each of them.
func New(addresses []string, doer HTTPClient, timeout time.Duration, log logr.Logger) *Client {
	return &Client{addresses: addresses, http: doer, timeout: timeout, log: log}
}

// Config reads the configuration in force.
func (c *Client) Config(ctx context.Context) (apiv1.Config, error) {
	return first[apiv1.Config](ctx, c, apiv1.PathConfig)
}

// Confirmations reads which hosts have which configuration in force.
func (c *Client) Confirmations(ctx context.Context) (apiv1.Confirmations, error) {
	return first[apiv1.Confirmations](ctx, c, apiv1.PathConfirmations)
}

// Answer is what one operator address gave, or why it gave nothing.
type Answer[T any] struct {
	Address string
	Value   T
	Err     error
}

// Status asks every address for the host's status.
func (c *Client) Status(ctx context.Context) ([]Answer[apiv1.Status], error) {
	return each(ctx, c, apiv1.PathStatus, func(s apiv1.Status) string { return s.Host })
}

// Burn asks every address for the host's counters.
func (c *Client) Burn(ctx context.Context) ([]Answer[apiv1.Burn], error) {
	return each(ctx, c, apiv1.PathBurn, func(b apiv1.Burn) string { return b.Host })
}

func (c *Client) none() error {
	return oops.Code(exits.Usage).Errorf("no operator address; give --operator or set addresses in [operator] of the settings")
}

// first reads path from the first address that answers.
func first[T any](ctx context.Context, c *Client, path string) (T, error) {
	var zero T
	if len(c.addresses) == 0 {
		return zero, c.none()
	}
	var errs []error
	for _, address := range c.addresses {
		value, err := read[T](ctx, c, address, path)
		if err == nil {
			return value, nil
		}
		errs = append(errs, err)
	}
	return zero, oops.Code(exits.Unreachable).Wrapf(flat(errs), "no operator address answered")
}

// each reads path from every address. A host that has several addresses counts once. The
// error says that none answered.
func each[T any](ctx context.Context, c *Client, path string, host func(T) string) ([]Answer[T], error) {
	if len(c.addresses) == 0 {
		return nil, c.none()
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
		again := seen[name]
		seen[name] = true
		return again
	})
	var errs []error
	for _, a := range answers {
		if a.Err != nil {
			errs = append(errs, a.Err)
		}
	}
	if len(errs) == len(answers) {
		return nil, oops.Code(exits.Unreachable).Wrapf(flat(errs), "no operator address answered")
	}
	return answers, nil
}

// flat joins errors on one line.
func flat(errs []error) error {
	texts := make([]string, len(errs))
	for i, err := range errs {
		texts[i] = err.Error()
	}
	return errors.New(strings.Join(texts, "; "))
}

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

// call makes one request and reads the whole answer.
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
	var failed *url.Error
	if errors.As(err, &failed) {
		// The address and the path are in the message already.
		err = failed.Err
	}
	if err != nil {
		c.log.V(1).Info("call failed", "address", address, "path", path, "took", time.Since(start).String(), "error", err.Error())
		return 0, nil, fmt.Errorf("%s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	c.log.V(1).Info("called", "address", address, "path", path, "status", resp.StatusCode, "bytes", len(data), "took", time.Since(start).String())
	if err != nil {
		return 0, nil, fmt.Errorf("%s: read answer of %s: %w", address, path, err)
	}
	return resp.StatusCode, data, nil
}

func problemText(status int, body []byte) string {
	p, ok := problemOf(body)
	if !ok {
		return fmt.Sprintf("status %d", status)
	}
	text := p.Title
	if p.Detail != "" {
		text += ": " + p.Detail
	}
	return fmt.Sprintf("status %d, %s", status, text)
}

func problemOf(body []byte) (apiv1.Problem, bool) {
	var p apiv1.Problem
	err := json.Unmarshal(body, &p)
	return p, err == nil && p.Title != ""
}

// isUnsent reports whether err shows that no connection was obtained.
func isUnsent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
