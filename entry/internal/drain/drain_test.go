package drain_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"chivepost/entry/internal/drain"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var suite *testing.T

func TestDrain(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "drain")
}

// inVirtualTime runs f in a synctest bubble.
func inVirtualTime(f func()) {
	synctest.Test(suite, func(*testing.T) {
		defer GinkgoRecover()
		f()
	})
}

var options = drain.Options{Hold: 3 * time.Second, Spread: time.Second}

func serving() *drain.Controller {
	c := drain.New(options, logr.Discard())
	c.SetServing()
	return c
}

var _ = Describe("a graceful shutdown", func() {
	// Guards against refusing a caller that still has the address.
	It("accepts requests until no caller has the address", func() {
		inVirtualTime(func() {
			c := serving()
			ended := make(chan error, 1)
			go func() { ended <- c.Leave(context.Background()) }()
			time.Sleep(options.Hold + options.Spread - time.Millisecond)
			done, ok := c.BeginRequest()
			Expect(ok).To(BeTrue())
			Expect(c.IsLeaving()).To(BeTrue())
			time.Sleep(2 * time.Millisecond)
			_, ok = c.BeginRequest()
			Expect(ok).To(BeFalse())
			done()
			Expect(<-ended).To(Succeed())
			Expect(c.State()).To(Equal(drain.Stopped))
		})
	})

	// Guards against a shutdown that cuts off requests in flight.
	It("waits for every request in flight", func() {
		inVirtualTime(func() {
			c := serving()
			first, _ := c.BeginRequest()
			second, _ := c.BeginRequest()
			ended := make(chan error, 1)
			go func() { ended <- c.Leave(context.Background()) }()
			time.Sleep(time.Minute)
			first()
			first()
			synctest.Wait()
			Expect(ended).NotTo(Receive())
			Expect(c.InFlight()).To(Equal(1))
			second()
			Expect(<-ended).To(Succeed())
		})
	})

	// Guards against a second SIGTERM that stops the host before its requests have ended.
	It("is not shortened by a second call", func() {
		inVirtualTime(func() {
			c := serving()
			done, _ := c.BeginRequest()
			ended := make(chan error, 2)
			for range 2 {
				go func() { ended <- c.Leave(context.Background()) }()
				time.Sleep(time.Second)
			}
			time.Sleep(time.Minute)
			Expect(ended).NotTo(Receive())
			done()
			Expect(<-ended).To(Succeed())
			Expect(<-ended).To(Succeed())
		})
	})

	It("returns when its context ends while requests are in flight", func() {
		inVirtualTime(func() {
			c := serving()
			_, _ = c.BeginRequest()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			Expect(c.Leave(ctx)).To(MatchError(context.DeadlineExceeded))
		})
	})
})

// Guards against accepting requests before there is a configuration.
var _ = It("accepts no requests while starting", func() {
	c := drain.New(options, logr.Discard())
	_, ok := c.BeginRequest()
	Expect(ok).To(BeFalse())
	Expect(c.Status().Reason).To(Equal("the host is starting"))
})
