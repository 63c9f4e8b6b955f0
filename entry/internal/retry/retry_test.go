package retry_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"chivepost/entry/internal/retry"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var suite *testing.T

func TestRetry(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "retry")
}

var _ = Describe("the budgets", func() {
	// Guards against retries that multiply the load on an overloaded pool.
	It("allow a tenth of a target's calls, within the window", func() {
		synctest.Test(suite, func(*testing.T) {
			b := retry.New(retry.Options{})
			allowed := func(n int) (sum int) {
				for range n {
					if b.ForRequest().Allow("t", "s") {
						sum++
					}
				}
				return sum
			}
			for range 200 {
				b.CountFirstCall("t")
			}
			Expect(allowed(100)).To(Equal(20))
			time.Sleep(5 * time.Second)
			Expect(allowed(100)).To(BeZero())
			time.Sleep(6 * time.Second)
			Expect(allowed(100)).To(Equal(1), "the minimum of a target without calls")
		})
	})

	// Guards against one request that uses up the budget of a target.
	It("allow one per stage and two per request", func() {
		b := retry.New(retry.Options{})
		for i := range 9 {
			b.CountFirstCall(fmt.Sprint("t", i%3))
		}
		r := b.ForRequest()
		Expect(r.Allow("t0", "a")).To(BeTrue())
		Expect(r.Allow("t1", "a")).To(BeFalse())
		Expect(b.ForRequest().Allow("t1", "a")).To(BeTrue(), "a refused retry takes nothing from the target's budget")
		Expect(r.Allow("t2", "b")).To(BeTrue())
		Expect(r.Allow("t3", "c")).To(BeFalse())
	})
})
