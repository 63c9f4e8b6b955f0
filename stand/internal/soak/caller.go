package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chivepost/platform/wire"
)

// key is a caller's key and the account that holds it.
type key struct{ key, account string }

var keys = []key{{"key-acme", "acme"}, {"key-bee", "bee"}}

// revocable is a key that operators take away and give back.
const revocable = "key-bee"

const (
	callTimeout  = 3 * time.Second
	resolveTime  = 400 * time.Millisecond
	keepAnswers  = 2 * time.Second // how long callers keep the addresses
	callersPause = 25 * time.Millisecond
)

// caller sends one request after the other, over connections that it keeps.
type caller struct {
	n         int
	seq       int
	run       *runner
	rand      *rand.Rand
	client    *http.Client
	addresses []string
	asked     time.Time
}

func newCaller(n int, r *runner, seed uint64) *caller {
	return &caller{
		n: n, run: r, rand: rand.New(rand.NewPCG(seed, uint64(n))),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true, ResponseHeaderTimeout: callTimeout}},
	}
}

func (c *caller) loop(ctx context.Context) {
	for ctx.Err() == nil {
		c.request(ctx)
		time.Sleep(callersPause + time.Duration(c.rand.Int64N(int64(callersPause))))
	}
}

// resolve asks hosts for addresses, as callers on the platform do.
func (c *caller) resolve(ctx context.Context) bool {
	if time.Since(c.asked) < keepAnswers && len(c.addresses) > 0 {
		return true
	}
	for range 3 {
		h := c.run.hosts[c.rand.IntN(len(c.run.hosts))]
		call, cancel := context.WithTimeout(ctx, resolveTime)
		req, err := http.NewRequestWithContext(call, http.MethodGet, "http://"+h.address(portDirectory)+wire.PathResolve+"?Name=soak.example&Region="+h.region+"&Zone="+h.place, nil)
		if err == nil {
			if resp, doErr := c.client.Do(req); doErr == nil {
				var out struct{ Addresses []string }
				err = json.NewDecoder(resp.Body).Decode(&out)
				_ = resp.Body.Close()
				if err == nil && len(out.Addresses) > 0 {
					c.addresses, c.asked = out.Addresses, time.Now()
					cancel()
					return true
				}
			}
		}
		cancel()
	}
	return len(c.addresses) > 0
}

// request sends one request and checks what comes back.
func (c *caller) request(ctx context.Context) {
	if !c.resolve(ctx) {
		c.run.ledger.count("without an address")
		return
	}
	c.seq++
	id := fmt.Sprintf("%d-%d", c.n, c.seq)
	kind := []string{"once", "safe", "stream"}[c.rand.IntN(3)]
	k := keys[c.rand.IntN(len(keys))]
	c.run.ledger.sent(id, kind == "once", k.key, k.account)
	call, cancel := context.WithTimeout(ctx, callTimeout+time.Second)
	defer cancel()
	body := "body of " + id
	req, err := http.NewRequestWithContext(call, http.MethodPost, "http://"+c.addresses[c.rand.IntN(len(c.addresses))]+"/"+kind+"/x", strings.NewReader(body))
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
	if kind == "stream" {
		req.Header.Set(wire.HeaderPieces, "1,2")
		req.Header.Set(wire.HeaderPieceKey, "key-"+id)
	}
	// A request body that can be read again lets the client repeat the request.
	req.GetBody = nil
	resp, err := c.client.Do(req)
	if err != nil {
		c.run.ledger.count("no answer")
		c.asked = time.Time{}
		return
	}
	defer func() { _ = resp.Body.Close() }() // read as far as it is of use
	c.check(id, kind, body, resp)
}

func (c *caller) check(id, kind, body string, resp *http.Response) {
	l := c.run.ledger
	switch resp.StatusCode {
	case http.StatusOK:
		c.checkAnswer(id, kind, body, resp)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		l.refused(id)
		if resp.Header.Get(wire.HeaderRetryAfter) == "" {
			l.wrong("request %s is refused without a time to come back", id)
		}
	case http.StatusNotFound, http.StatusBadRequest:
		l.wrong("request %s gets status %d, though it is proper", id, resp.StatusCode)
	default:
		l.count("status " + strconv.Itoa(resp.StatusCode))
	}
	l.answered(id)
}

func (c *caller) checkAnswer(id, kind, body string, resp *http.Response) {
	l := c.run.ledger
	if got := resp.Header.Get(wire.HeaderID); got != id {
		l.wrong("request %s gets the answer to %s", id, got)
	}
	if r := resp.Header.Get(wire.HeaderReceipt); !strings.HasSuffix(r, "-"+id) {
		l.wrong("request %s gets receipt %q", id, r)
	}
	if kind != "stream" {
		got, err := io.ReadAll(resp.Body)
		switch {
		case err != nil:
			l.count("answer cut off")
		case string(got) != answerText(id, body):
			l.wrong("request %s gets answer %q", id, got)
		default:
			l.count("answered")
		}
		return
	}
	scan := bufio.NewScanner(resp.Body)
	n := 0
	for scan.Scan() {
		text, ok := strings.CutPrefix(scan.Text(), "data: ")
		if !ok {
			continue
		}
		if n++; text != fmt.Sprintf("%s %d", id, n) {
			l.wrong("event %d of request %s is %q", n, id, text)
			return
		}
	}
	switch {
	case scan.Err() != nil:
		l.count("stream cut off")
	case n < streamEvents:
		l.wrong("the stream of request %s ends as complete after %d of %d events", id, n, streamEvents)
	default:
		l.count("answered")
	}
}
