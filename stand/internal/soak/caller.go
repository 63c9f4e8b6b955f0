package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chivepost/platform/wire"
)

// key is an API key and the client account that it belongs to.
type key struct{ key, account string }

var keys = []key{{"key-acme", "acme"}, {"key-bee", "bee"}}

// revocableKey is the key that operators revoke and restore.
const revocableKey = "key-bee"

const (
	callTimeout    = 3 * time.Second
	resolveTimeout = 400 * time.Millisecond
	addressTTL     = 2 * time.Second // how long callers use resolved addresses
	requestPause   = 25 * time.Millisecond
)

// caller sends requests one after the other over persistent connections.
type caller struct {
	n          int // number of the caller
	seq        int
	run        *runner
	rand       *rand.Rand
	client     *http.Client
	addresses  []string
	resolvedAt time.Time
}

func newCaller(n int, r *runner, seed uint64) *caller {
	return &caller{
		n: n, run: r, rand: rand.New(rand.NewPCG(seed, uint64(n))),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true, ResponseHeaderTimeout: callTimeout}},
	}
}

// sendRequests sends requests until the context ends.
func (c *caller) sendRequests(ctx context.Context) {
	for ctx.Err() == nil {
		c.sendRequest(ctx)
		time.Sleep(requestPause + time.Duration(c.rand.Int64N(int64(requestPause))))
	}
}

// resolve asks random hosts for the addresses of the service, as callers on the platform do.
// It reports whether an address is known; an expired one is used while no host answers.
func (c *caller) resolve(ctx context.Context) bool {
	if time.Since(c.resolvedAt) < addressTTL && len(c.addresses) > 0 {
		return true
	}
	for range 3 {
		h := c.run.hosts[c.rand.IntN(len(c.run.hosts))]
		call, cancel := context.WithTimeout(ctx, resolveTimeout)
		req, err := http.NewRequestWithContext(call, http.MethodGet, h.directoryURL(), nil)
		if err == nil {
			if resp, doErr := c.client.Do(req); doErr == nil {
				var out struct{ Addresses []string }
				err = json.NewDecoder(resp.Body).Decode(&out)
				_ = resp.Body.Close()
				if err == nil && len(out.Addresses) > 0 {
					c.addresses, c.resolvedAt = out.Addresses, time.Now()
					cancel()
					return true
				}
			}
		}
		cancel()
	}
	return len(c.addresses) > 0
}

// sendRequest sends one request and checks the answer.
func (c *caller) sendRequest(ctx context.Context) {
	if !c.resolve(ctx) {
		c.run.checker.count("no address")
		return
	}
	c.seq++
	id := fmt.Sprintf("%d-%d", c.n, c.seq)
	kind := []string{kindOnce, kindSafe, kindStream}[c.rand.IntN(3)]
	k := keys[c.rand.IntN(len(keys))]
	c.run.checker.recordSent(id, kind == kindOnce, k.key, k.account, callTimeout)
	c.run.checker.count("sent")
	call, cancel := context.WithTimeout(ctx, callTimeout+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(call, http.MethodPost, "http://"+c.addresses[c.rand.IntN(len(c.addresses))]+"/"+kind+"/x", strings.NewReader(requestBody(id)))
	if err != nil {
		return
	}
	req.Host = "soak.example"
	for name, value := range map[string]string{
		wire.HeaderID: id, wire.HeaderTimeLeft: strconv.FormatInt(callTimeout.Milliseconds(), 10), "Authorization": wire.AuthorizationPrefix + k.key,
		wire.HeaderAccount: "forged", wire.HeaderInputs: "forged",
	} {
		req.Header.Set(name, value)
	}
	q := keptRequest{id: id, kind: kind}
	if kind == kindStream {
		q.events = streamEvents
		req.Header.Set(wire.HeaderPieces, pieces[kind].header())
		req.Header.Set(wire.HeaderPieceKey, "key-"+id)
	}
	// Without GetBody, the HTTP client can't resend the request on its own.
	req.GetBody = nil
	resp, err := c.client.Do(req)
	if err != nil {
		c.run.checker.count("no answer")
		c.resolvedAt = time.Time{}
		return
	}
	defer func() { _ = resp.Body.Close() }() // checkResponse has read what it needs
	switch o, _, _ := c.run.checker.checkAnswer(q, resp); {
	case o == answered:
		c.run.checker.count("answered")
	case (o == cut || o == timedOut) && q.events > 0:
		c.run.checker.count("stream cut off")
	case o == cut || o == timedOut:
		c.run.checker.count("answer cut off")
	}
}
