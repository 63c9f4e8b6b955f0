package config

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"chivepost/entry/internal/memlog"
	"chivepost/share/bundle"
	"chivepost/share/logsvc"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const stream = logsvc.StreamConfig

var _ Log = (*logsvc.Client)(nil)

// suite is the test under which synctest runs the specs.
var suite *testing.T

func TestConfig(t *testing.T) {
	// A fixed seed makes every run check the same cases. Failure files would land in
	// the source tree.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "100", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

// inVirtualTime returns a spec that runs body in virtual time with three hosts.
func inVirtualTime(body func(env *testEnv, a, b, c *testHost)) func() {
	return inVirtualTimeWith(3, Options{}, func(env *testEnv) { body(env, env.hosts[0], env.hosts[1], env.hosts[2]) })
}

func inVirtualTimeWith(n int, opts Options, body func(env *testEnv)) func() {
	return func() {
		synctest.Test(suite, func(*testing.T) {
			defer GinkgoRecover()
			env := newTestEnv(n, opts)
			defer env.close()
			body(env)
		})
	}
}

// testEnv is a log service and hosts that exchange heartbeats.
type testEnv struct {
	log  *memlog.Service
	opts Options
	stop chan struct{}

	// mu guards the hosts' controllers and lastHeartbeat.
	mu    sync.Mutex
	hosts []*testHost
}

// testHost is a controller with its connections to the log and to its peers.
type testHost struct {
	*Controller
	env    *testEnv
	client *memlog.Client
	// disconnectedFromPeers stops heartbeats and pulls in both directions; failPulls
	// makes the host's own pulls fail.
	disconnectedFromPeers, failPulls atomic.Bool
	lastHeartbeat                    map[string]time.Time
}

func newTestEnv(n int, opts Options) *testEnv {
	env := &testEnv{log: memlog.New(), opts: opts, stop: make(chan struct{})}
	for range n {
		env.start()
	}
	go func() {
		for {
			select {
			case <-env.stop:
				return
			case <-time.After(opts.ReadWait/4 + 250*time.Millisecond):
				env.exchangeHeartbeats()
			}
		}
	}()
	time.Sleep(50 * time.Millisecond)
	return env
}

func (env *testEnv) close() {
	close(env.stop)
	synctest.Wait()
	for _, h := range env.hosts {
		h.Close()
	}
}

// start adds a host.
func (env *testEnv) start() *testHost {
	h := &testHost{env: env, client: env.log.NewClient()}
	env.mu.Lock()
	env.hosts = append(env.hosts, h)
	env.mu.Unlock()
	h.restart(len(env.hosts) - 1)
	return h
}

// restart replaces the controller by a new one.
func (h *testHost) restart(i int) {
	if h.Controller != nil {
		h.Close()
	}
	h.env.mu.Lock()
	defer h.env.mu.Unlock()
	opts := h.env.opts
	opts.Host, opts.Seed = fmt.Sprint("node", i), uint64(i)
	h.lastHeartbeat = map[string]time.Time{}
	h.Controller = New(opts, h.client, h, h, logr.Discard())
}

func (env *testEnv) exchangeHeartbeats() {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, from := range env.hosts {
		for _, to := range env.hosts {
			if from != to && !from.disconnectedFromPeers.Load() && !to.disconnectedFromPeers.Load() {
				_, version := from.Current()
				to.lastHeartbeat[from.opts.Host] = time.Now()
				to.ObservePeer(from.opts.Host, version, from.LogAge())
			}
		}
	}
}

func (h *testHost) HasMajority(within time.Duration) bool {
	h.env.mu.Lock()
	defer h.env.mu.Unlock()
	count := 1
	for _, at := range h.lastHeartbeat {
		if time.Since(at) <= within {
			count++
		}
	}
	return 2*count > len(h.env.hosts)
}

func (h *testHost) Pull(_ context.Context, host string, have int64) (Offer, error) {
	h.env.mu.Lock()
	defer h.env.mu.Unlock()
	for _, peer := range h.env.hosts {
		if peer.opts.Host == host && !peer.disconnectedFromPeers.Load() && !h.disconnectedFromPeers.Load() && !h.failPulls.Load() {
			if o, ok := peer.HandlePull(have); ok {
				return o, nil
			}
		}
	}
	return Offer{}, errors.New("no offer")
}

// doc returns a configuration that is identified by name.
func doc(name string) bundle.Doc {
	return bundle.Doc{Accounts: []bundle.AccountDoc{{Name: name, Share: 1}}}
}

func encodedBundle(name string) []byte {
	b, err := bundle.New(doc(name))
	Expect(err).NotTo(HaveOccurred())
	data, err := b.Encode()
	Expect(err).NotTo(HaveOccurred())
	return data
}

// name returns the name given to doc, or "" before any configuration.
func (h *testHost) name() string {
	b, _ := h.Current()
	if b == nil {
		return ""
	}
	return b.Doc().Accounts[0].Name
}

func (h *testHost) version() int64 { _, v := h.Current(); return v }

// publish publishes doc(name) with a timeout of 2 s.
func (h *testHost) publish(base int64, name string) PublishResult {
	return publish(h.Controller, base, name)
}

func publish(c *Controller, base int64, name string) PublishResult {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return c.Publish(ctx, base, "by "+name, name, doc(name))
}

func changeRecord(base int64, name string) []byte {
	return encodeRecord(record{Kind: kindChange, Author: "by " + name, Base: base, PublishID: name, Bundle: encodedBundle(name)})
}

func copyRecord(version, asOf int64, name string) []byte {
	return encodeRecord(record{Kind: kindCopy, Author: "by " + name, Copied: version, AsOf: asOf, Bundle: encodedBundle(name)})
}
