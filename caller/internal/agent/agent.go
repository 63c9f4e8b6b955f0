// Package agent calls entry hosts: it learns which addresses to use, sends
// requests, checks the answers and repeats elsewhere what is safe to repeat.
package agent

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/samber/oops"

	"chivepost/share/apiv1"
	"chivepost/share/events"
)

// Options set up an Agent.
type Options struct {
	// EntryHosts are the "ip:port" of entry hosts to ask for addresses.
	EntryHosts []string
	// MaxAttempts is the largest number of times that one request is sent.
	MaxAttempts int
	// LinkDelay is the one-way delay to entry hosts that is added to each call.
	LinkDelay time.Duration
	// Grace is waited for an outcome beyond the deadline.
	Grace time.Duration
	// AttemptTimeout, when above 0, bounds the wait for one attempt. After it the connection
	// is broken, and the request is repeated elsewhere under the same id.
	AttemptTimeout time.Duration
	Events         *events.Log
}

// Agent calls on behalf of any number of accounts.
type Agent struct {
	opts Options
	http *http.Client

	mu     sync.Mutex
	known  map[caller]known
	asking map[caller]*sync.Mutex
	next   int // Entry to ask first the next time.
}

// caller is one of an account's clients, which asks for addresses by itself.
type caller struct {
	secret string
	client int
}

// known is an answer about addresses and when it may no longer be used.
type known struct {
	apiv1.Address
	until time.Time
}

// askTimeout bounds one question for addresses.
const askTimeout = time.Second

// New returns an agent.
func New(opts Options) *Agent {
	return &Agent{
		opts:   opts,
		known:  map[caller]known{},
		asking: map[caller]*sync.Mutex{},
		http: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 256,
				IdleConnTimeout:     30 * time.Second,
				DisableCompression:  true,
			},
			// A redirect could lead away from the addresses that were named.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Close closes idle connections.
func (a *Agent) Close() { a.http.CloseIdleConnections() }

// addresses returns the addresses that the client is to use. The time of hold counts
// from before the question, so that it ends no later here than at the host that
// answered.
func (a *Agent) addresses(ctx context.Context, of caller) (apiv1.Address, error) {
	lock := a.questionLock(of)
	lock.Lock()
	defer lock.Unlock()
	a.mu.Lock()
	k, ok := a.known[of]
	first := a.next
	a.mu.Unlock()
	if ok && time.Now().Before(k.until) {
		return k.Address, nil
	}
	var last error
	for i := range a.opts.EntryHosts {
		entry := a.opts.EntryHosts[(first+i)%len(a.opts.EntryHosts)]
		asked := time.Now()
		answer, err := a.ask(ctx, entry, of.secret)
		if err != nil {
			last = err
			continue
		}
		a.mu.Lock()
		a.known[of] = known{Address: answer, until: asked.Add(answer.Hold.Std())}
		a.next = first + i + 1
		a.mu.Unlock()
		return answer, nil
	}
	return apiv1.Address{}, oops.Wrapf(last, "no entry host names an address")
}

// questionLock keeps the calls of one client from asking all at once.
func (a *Agent) questionLock(of caller) *sync.Mutex {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.asking[of] == nil {
		a.asking[of] = &sync.Mutex{}
	}
	return a.asking[of]
}

// forget makes the next request ask again, after a host named here failed.
func (a *Agent) forget(of caller) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.known, of)
}

func (a *Agent) ask(ctx context.Context, entry, secret string) (apiv1.Address, error) {
	var answer apiv1.Address
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/v1/address", http.NoBody)
	if err != nil {
		return answer, err
	}
	req.Header.Set("Authorization", "Bearer "+secret)
	time.Sleep(2 * a.opts.LinkDelay)
	resp, err := a.http.Do(req)
	if err != nil {
		return answer, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("ask %s: status %d", entry, resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return answer, fmt.Errorf("ask %s: %w", entry, err)
	}
	if len(answer.Addresses) == 0 {
		return answer, fmt.Errorf("ask %s: no addresses", entry)
	}
	return answer, nil
}

// newID returns a request id that carries the position.
func newID(position int64) string {
	b := make([]byte, 12)
	_, _ = rand.Read(b) // It never fails, by its documentation.
	return strconv.FormatInt(position, 10) + "-" + hex.EncodeToString(b)
}
