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

// suite is the test that the bubbles of virtual time belong to.
var suite *testing.T

func TestConfig(t *testing.T) {
	// One verdict: the same cases in each run, and no failure files in the tree.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "100", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

// virtual returns a spec that runs body in virtual time with three nodes.
func virtual(body func(w *world, a, b, c *node)) func() {
	return virtualWith(3, Options{}, func(w *world) { body(w, w.nodes[0], w.nodes[1], w.nodes[2]) })
}

func virtualWith(n int, opts Options, body func(w *world)) func() {
	return func() {
		synctest.Test(suite, func(*testing.T) {
			defer GinkgoRecover()
			w := newWorld(n, opts)
			defer w.close()
			body(w)
		})
	}
}

// world is a log service and nodes that hear each other's heartbeats.
type world struct {
	log  *memlog.Service
	opts Options
	quit chan struct{}

	// mu guards the nodes' controllers and what they have heard.
	mu    sync.Mutex
	nodes []*node
}

// node is one controller with its links to the log and to its peers.
type node struct {
	*Controller
	w    *world
	link *memlog.Handle
	// deaf is set while no heartbeat arrives, noPull while pulls fail.
	deaf, noPull atomic.Bool
	heard        map[string]time.Time
}

func newWorld(n int, opts Options) *world {
	w := &world{log: memlog.New(), opts: opts, quit: make(chan struct{})}
	for range n {
		w.start()
	}
	go func() {
		for {
			select {
			case <-w.quit:
				return
			case <-time.After(opts.ReadWait/4 + 250*time.Millisecond):
				w.beat()
			}
		}
	}()
	time.Sleep(50 * time.Millisecond)
	return w
}

func (w *world) close() {
	close(w.quit)
	synctest.Wait()
	for _, n := range w.nodes {
		n.Close()
	}
}

// start adds a node.
func (w *world) start() *node {
	n := &node{w: w, link: w.log.Handle()}
	w.mu.Lock()
	w.nodes = append(w.nodes, n)
	w.mu.Unlock()
	n.restart(len(w.nodes) - 1)
	return n
}

// restart replaces the controller by a fresh one.
func (n *node) restart(i int) {
	if n.Controller != nil {
		n.Close()
	}
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	opts := n.w.opts
	opts.Host, opts.Seed = fmt.Sprint("node", i), uint64(i)
	n.heard = map[string]time.Time{}
	n.Controller = New(opts, n.link, n, n, logr.Discard())
}

func (w *world) beat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, from := range w.nodes {
		for _, to := range w.nodes {
			if from != to && !from.deaf.Load() && !to.deaf.Load() {
				_, version := from.Current()
				to.heard[from.opts.Host] = time.Now()
				to.ObservePeer(from.opts.Host, version, from.LogAge())
			}
		}
	}
}

func (n *node) HasMajority(within time.Duration) bool {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	count := 1
	for _, at := range n.heard {
		if time.Since(at) <= within {
			count++
		}
	}
	return 2*count > len(n.w.nodes)
}

func (n *node) Pull(_ context.Context, host string, have int64) (Offer, error) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	for _, peer := range n.w.nodes {
		if peer.opts.Host == host && !peer.deaf.Load() && !n.deaf.Load() && !n.noPull.Load() {
			if o, ok := peer.HandlePull(have); ok {
				return o, nil
			}
		}
	}
	return Offer{}, errors.New("no offer")
}

// doc returns a configuration that can be told from others by name.
func doc(name string) bundle.Doc {
	return bundle.Doc{Accounts: []bundle.AccountDoc{{Name: name, Share: 1}}}
}

func encoded(name string) []byte {
	b, err := bundle.New(doc(name))
	Expect(err).NotTo(HaveOccurred())
	data, err := b.Encode()
	Expect(err).NotTo(HaveOccurred())
	return data
}

// name returns the name given to doc, or "" before any configuration.
func (n *node) name() string {
	b, _ := n.Current()
	if b == nil {
		return ""
	}
	return b.Doc().Accounts[0].Name
}

func (n *node) version() int64 { _, v := n.Current(); return v }

// publish publishes doc(name) with a timeout of 2 s.
func (n *node) publish(base int64, name string) PublishResult {
	return publish(n.Controller, base, name)
}

func publish(c *Controller, base int64, name string) PublishResult {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return c.Publish(ctx, base, "by "+name, name, doc(name))
}

func change(base int64, name string) []byte {
	return encodeRecord(record{Kind: kindChange, Author: "by " + name, Base: base, PublishID: name, Bundle: encoded(name)})
}

func copyOf(version, asOf int64, name string) []byte {
	return encodeRecord(record{Kind: kindCopy, Author: "by " + name, Copied: version, AsOf: asOf, Bundle: encoded(name)})
}
