// Package agent sends requests to entry hosts: it fetches the addresses to use,
// checks the answers and retries at another host what is safe to retry.
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

// Options configures an Agent.
type Options struct {
	// EntryHosts holds the "ip:port" of the entry hosts that addresses are fetched from.
	EntryHosts []string
	// MaxAttempts limits how often one request is sent.
	MaxAttempts int
	// LinkDelay is the simulated one-way delay to entry hosts, added to each call.
	LinkDelay time.Duration
	// Grace is how long past the deadline an attempt still waits for its outcome.
	Grace time.Duration
	// AttemptTimeout, when above 0, limits the wait for one attempt. After it the connection
	// is closed, and the request is retried at another host under the same ID.
	AttemptTimeout time.Duration
	Events         *events.Recorder
}

// Agent sends requests for any number of client accounts.
type Agent struct {
	opts Options
	http *http.Client

	mu         sync.Mutex
	cached     map[clientKey]cachedAddresses
	fetchLocks map[clientKey]*sync.Mutex
	nextEntry  int // Index of the entry host that the next fetch starts with.
}

// clientKey identifies one client of a client account. Each client fetches its own addresses.
type clientKey struct {
	secret string
	client int
}

// cachedAddresses holds fetched addresses and the time until which they may be used.
type cachedAddresses struct {
	apiv1.Address
	until time.Time
}

// fetchTimeout bounds one request for addresses to one entry host.
const fetchTimeout = time.Second

// New returns an agent without cached addresses.
func New(opts Options) *Agent {
	return &Agent{
		opts:       opts,
		cached:     map[clientKey]cachedAddresses{},
		fetchLocks: map[clientKey]*sync.Mutex{},
		http: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 256,
				IdleConnTimeout:     30 * time.Second,
				DisableCompression:  true,
			},
			// A redirect could lead to a host that is not among the fetched addresses.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Close closes idle connections.
func (a *Agent) Close() { a.http.CloseIdleConnections() }

// addresses returns the addresses that the client is to use, from the cache if they are
// still valid. ValidFor counts from before the fetch, so that the addresses expire no later
// here than at the host that answered.
func (a *Agent) addresses(ctx context.Context, key clientKey) (apiv1.Address, error) {
	lock := a.fetchLock(key)
	lock.Lock()
	defer lock.Unlock()
	a.mu.Lock()
	cached, ok := a.cached[key]
	first := a.nextEntry
	a.mu.Unlock()
	if ok && time.Now().Before(cached.until) {
		return cached.Address, nil
	}
	var lastErr error
	for i := range a.opts.EntryHosts {
		entry := a.opts.EntryHosts[(first+i)%len(a.opts.EntryHosts)]
		fetched := time.Now()
		answer, err := a.fetchAddresses(ctx, entry, key.secret)
		if err != nil {
			lastErr = err
			continue
		}
		a.mu.Lock()
		a.cached[key] = cachedAddresses{Address: answer, until: fetched.Add(answer.ValidFor.Std())}
		a.nextEntry = first + i + 1
		a.mu.Unlock()
		return answer, nil
	}
	return apiv1.Address{}, oops.Wrapf(lastErr, "no entry host returned addresses")
}

// fetchLock returns the lock that keeps concurrent requests of one client from fetching
// the same addresses several times.
func (a *Agent) fetchLock(key clientKey) *sync.Mutex {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fetchLocks[key] == nil {
		a.fetchLocks[key] = &sync.Mutex{}
	}
	return a.fetchLocks[key]
}

// dropAddresses empties the client's cache after one of its hosts failed, so that the next
// request fetches addresses again.
func (a *Agent) dropAddresses(key clientKey) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.cached, key)
}

func (a *Agent) fetchAddresses(ctx context.Context, entry, secret string) (apiv1.Address, error) {
	var answer apiv1.Address
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
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
		return answer, fmt.Errorf("get addresses from %s: status %d", entry, resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return answer, fmt.Errorf("get addresses from %s: %w", entry, err)
	}
	if len(answer.Addresses) == 0 {
		return answer, fmt.Errorf("get addresses from %s: empty list", entry)
	}
	return answer, nil
}

// newID returns a random request ID that begins with the claims offset sent with the addresses.
func newID(claimsOffset int64) string {
	b := make([]byte, 12)
	_, _ = rand.Read(b) // Never returns an error, as its documentation says.
	return strconv.FormatInt(claimsOffset, 10) + "-" + hex.EncodeToString(b)
}
