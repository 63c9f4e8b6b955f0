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

// inBubble runs f in virtual time.
func inBubble(f func()) {
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
	// Guards against a caller that still holds the address and finds nobody there.
	It("takes requests until every hold has passed", func() {
		inBubble(func() {
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

	// Guards against a shutdown that cuts off what is under way.
	It("waits for every request in flight", func() {
		inBubble(func() {
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

	// Guards against a second SIGTERM that ends the host before its requests.
	It("is not shortened by a second call", func() {
		inBubble(func() {
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

	It("ends with its context while requests are in flight", func() {
		inBubble(func() {
			c := serving()
			_, _ = c.BeginRequest()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			Expect(c.Leave(ctx)).To(MatchError(context.DeadlineExceeded))
		})
	})
})

// Guards against requests that are taken before there is a configuration.
var _ = It("takes no requests while starting", func() {
	c := drain.New(options, logr.Discard())
	_, ok := c.BeginRequest()
	Expect(ok).To(BeFalse())
	Expect(c.Status().Reason).To(Equal("the host is starting"))
})
