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

// begin begins a request with a deadline of 5 s.
func begin(c *drain.Controller) (context.Context, func(), bool) {
	return c.BeginRequest(context.Background(), time.Now().Add(5*time.Second))
}

var _ = Describe("a graceful shutdown", func() {
	// Guards against refusing a caller that still has the address.
	It("accepts requests until no caller has the address", func() {
		inVirtualTime(func() {
			c := serving()
			ended := make(chan error, 1)
			go func() { ended <- c.Leave(context.Background()) }()
			time.Sleep(options.Hold + options.Spread - time.Millisecond)
			_, done, ok := begin(c)
			Expect(ok).To(BeTrue())
			Expect(c.IsLeaving()).To(BeTrue())
			time.Sleep(2 * time.Millisecond)
			_, _, ok = begin(c)
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
			_, first, _ := begin(c)
			_, second, _ := begin(c)
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
			_, done, _ := begin(c)
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

	// Guards against requests that can't be finished before the process is killed.
	It("accepts only requests whose deadline allows to finish them", func() {
		inVirtualTime(func() {
			c := serving()
			ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
			defer cancel()
			ended := make(chan error, 1)
			go func() { ended <- c.Leave(ctx) }()
			time.Sleep(time.Second)
			_, _, ok := c.BeginRequest(context.Background(), time.Now().Add(4900*time.Millisecond))
			Expect(ok).To(BeFalse(), "deadline 100 ms before the process ends")
			_, end, ok := c.BeginRequest(context.Background(), time.Now().Add(4*time.Second))
			Expect(ok).To(BeTrue())
			end()
			time.Sleep(2400 * time.Millisecond) // more than 0.55 of the time
			_, _, ok = c.BeginRequest(context.Background(), time.Now().Add(time.Millisecond))
			Expect(ok).To(BeFalse())
			Expect(<-ended).To(Succeed())
		})
	})

	// Guards against a process that is killed while its requests have no answer.
	It("ends the requests that are in flight shortly before its context ends", func() {
		inVirtualTime(func() {
			c := serving()
			requestCtx, end, _ := begin(c)
			start := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
			defer cancel()
			ended := make(chan error, 1)
			go func() { ended <- c.Leave(ctx) }()
			<-requestCtx.Done()
			Expect(context.Cause(requestCtx)).To(MatchError(drain.ErrEnding))
			Expect(time.Since(start)).To(Equal(7750 * time.Millisecond))
			end()
			Expect(<-ended).To(Succeed())
		})
	})

	It("returns when its context ends while requests are in flight", func() {
		inVirtualTime(func() {
			c := serving()
			_, _, _ = begin(c)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			Expect(c.Leave(ctx)).To(MatchError(context.DeadlineExceeded))
		})
	})
})

// Guards against accepting requests before there is a configuration.
var _ = It("accepts no requests while starting", func() {
	c := drain.New(options, logr.Discard())
	_, _, ok := begin(c)
	Expect(ok).To(BeFalse())
	Expect(c.Status().Reason).To(Equal("the host is starting"))
})
