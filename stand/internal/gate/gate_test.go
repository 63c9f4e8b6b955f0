package gate_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"chivepost/stand/internal/gate"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var suite *testing.T

func TestGate(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "gate")
}

// inVirtualTime runs a spec in virtual time.
func inVirtualTime(f func()) func() {
	return func() {
		synctest.Test(suite, func(*testing.T) {
			defer GinkgoRecover()
			f()
		})
	}
}

var _ = Describe("a gate", func() {
	// Guards against an engine that ignores priorities.
	It("admits waiting calls by priority, then by age, up to its queue", inVirtualTime(func() {
		g := gate.New(1, 3)
		Expect(g.Enter(context.Background(), 0)).To(Succeed())
		order := make(chan int, 3)
		for i, priority := range []int{0, 5, 0} {
			go func() {
				_ = g.Enter(context.Background(), priority)
				order <- i
				g.Leave()
			}()
			synctest.Wait()
		}
		Expect(g.Enter(context.Background(), 9)).To(MatchError(gate.ErrFull))
		g.Leave()
		synctest.Wait()
		Expect([]int{<-order, <-order, <-order}).To(Equal([]int{1, 0, 2}))
	}))

	// Guards against slots that are lost when a waiting call is cancelled.
	It("keeps its slots when waiting calls are cancelled", inVirtualTime(func() {
		g := gate.New(1, 5)
		Expect(g.Enter(context.Background(), 0)).To(Succeed())
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		Expect(g.Enter(ctx, 0)).To(MatchError(context.DeadlineExceeded))
		g.Leave()
		running, waiting := g.Load()
		Expect([]int{running, waiting}).To(Equal([]int{0, 0}))
	}))
})
