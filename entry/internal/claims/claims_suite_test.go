package claims_test

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"chivepost/entry/internal/claims"
	"chivepost/entry/internal/memlog"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// suite is the test that the bubbles of virtual time belong to.
var suite *testing.T

func TestClaims(t *testing.T) {
	// One verdict: the same cases in each run, and no failure files in the tree.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "150", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "claims")
}

// virtual returns a spec that runs body in virtual time, with a fresh log service
// and two nodes that have read it.
func virtual(body func(w *world, a, b *claims.Controller)) func() {
	return func() {
		synctest.Test(suite, func(*testing.T) {
			defer GinkgoRecover()
			w := &world{log: memlog.New()}
			defer w.close()
			body(w, w.start(claims.Options{Host: "a"}), w.start(claims.Options{Host: "b"}))
		})
	}
}

type world struct {
	log   *memlog.Service
	nodes []*claims.Controller
	links []*memlog.Handle
}

func (w *world) close() {
	for _, n := range w.nodes {
		n.Close()
	}
}

// start starts a node and gives it time to read the stream.
func (w *world) start(opts claims.Options) *claims.Controller {
	link := w.log.Handle()
	n := claims.New(opts, link, logr.Discard())
	w.nodes, w.links = append(w.nodes, n), append(w.links, link)
	time.Sleep(50 * time.Millisecond)
	return n
}

// id returns a request id with the position that n gives out.
func id(n *claims.Controller, random string) string {
	position, ok := n.Position()
	Expect(ok).To(BeTrue(), "the stream has been read")
	return fmt.Sprintf("%d-%s", position, random)
}

func request(id string) claims.Request {
	return claims.Request{Account: "acme", ID: id, Stage: "book", BodyHash: "h1"}
}

// acquire claims with a deadline of 5 s.
func acquire(n *claims.Controller, req claims.Request) claims.Decision {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return n.Acquire(ctx, req)
}

// acquireAll claims on several nodes at the same moment.
func acquireAll(req claims.Request, nodes ...*claims.Controller) []claims.Decision {
	out := make([]claims.Decision, len(nodes))
	done := make(chan struct{})
	for i, n := range nodes {
		go func() {
			out[i] = acquire(n, req)
			done <- struct{}{}
		}()
	}
	for range nodes {
		<-done
	}
	return out
}

func kinds(ds []claims.Decision) []claims.Kind {
	out := make([]claims.Kind, len(ds))
	for i, d := range ds {
		out[i] = d.Kind
	}
	return out
}
