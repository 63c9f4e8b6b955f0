package drain_test

import (
	"time"

	"chivepost/entry/internal/drain"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a process that is killed before it has ended its requests, and against one
// that ends them early.
var _ = DescribeTable("the plan of a shutdown", func(grace, ttl time.Duration) {
	start := time.Now()
	p := drain.NewPlan(start, grace, ttl)
	moments := []time.Time{start, p.Unlisted, p.Closing, p.Abort, p.End, start.Add(grace)}
	for i := 1; i < len(moments); i++ {
		Expect(moments[i]).To(BeTemporally(">=", moments[i-1]), "moment %d of %+v", i, p)
	}
	Expect(p.Abort.Sub(start)).To(BeNumerically(">=", grace*5/6))
	Expect(p.End).To(BeTemporally("<", start.Add(grace)))
	Expect(p.Abort).To(BeTemporally("<", p.End))
	Expect(p.Closing).To(BeTemporally("<", p.Abort))
},
	Entry("short grace period", 100*time.Millisecond, 2*time.Second),
	Entry("shorter than the TTL", time.Second, 2*time.Second),
	Entry("usual", 8*time.Second, 2*time.Second),
	Entry("short TTL", 8*time.Second, 10*time.Millisecond),
	Entry("long grace period", 10*time.Minute, 5*time.Second),
)
