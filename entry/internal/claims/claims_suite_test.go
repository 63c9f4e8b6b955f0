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

// suite is the test under which synctest runs the specs.
var suite *testing.T

func TestClaims(t *testing.T) {
	// A fixed seed makes every run check the same cases. Failure files would land in
	// the source tree.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "150", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "claims")
}

// inVirtualTime returns a spec that runs body in virtual time, with a new log service
// and two hosts that have read it.
func inVirtualTime(body func(env *testEnv, a, b *claims.Controller)) func() {
	return func() {
		synctest.Test(suite, func(*testing.T) {
			defer GinkgoRecover()
			env := &testEnv{log: memlog.New()}
			defer env.close()
			body(env, env.start(claims.Options{Host: "a"}), env.start(claims.Options{Host: "b"}))
		})
	}
}

// testEnv is a log service and the controllers of several hosts, each with its own
// client.
type testEnv struct {
	log         *memlog.Service
	controllers []*claims.Controller
	clients     []*memlog.Client
}

func (env *testEnv) close() {
	for _, n := range env.controllers {
		n.Close()
	}
}

// start starts a controller and gives it time to read the stream.
func (env *testEnv) start(opts claims.Options) *claims.Controller {
	client := env.log.NewClient()
	n := claims.New(opts, client, logr.Discard())
	env.controllers, env.clients = append(env.controllers, n), append(env.clients, client)
	time.Sleep(50 * time.Millisecond)
	return n
}

// id returns a request ID with the position that n issues.
func id(n *claims.Controller, randomPart string) string {
	position, ok := n.Position()
	Expect(ok).To(BeTrue(), "the stream has been read")
	return fmt.Sprintf("%d-%s", position, randomPart)
}

func request(id string) claims.Request {
	return claims.Request{Account: "acme", ID: id, Stage: "book", BodyHash: "h1"}
}

// acquire acquires a claim with a deadline of 5 s.
func acquire(n *claims.Controller, req claims.Request) claims.Decision {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return n.Acquire(ctx, req)
}

// acquireAll acquires a claim on several hosts at the same time.
func acquireAll(req claims.Request, controllers ...*claims.Controller) []claims.Decision {
	out := make([]claims.Decision, len(controllers))
	done := make(chan struct{})
	for i, n := range controllers {
		go func() {
			out[i] = acquire(n, req)
			done <- struct{}{}
		}()
	}
	for range controllers {
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
