package member_test

import (
	"fmt"
	"sync"
	"time"

	"chivepost/entry/internal/member"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against healthy hosts that are suspected in a large fleet, where each sends
// heartbeats to a peer less often. Compares the bound from the interval in the
// heartbeat with a fixed bound of six times the time between rounds.
var _ = DescribeTable("suspicion of healthy hosts",
	func(count int, fixedWrong bool) {
		var names []string
		for i := range count {
			names = append(names, fmt.Sprintf("h%02d", i))
		}
		inTestEnv(names, func(env *testEnv) {
			const fixed = member.SuspectAfterIntervals * time.Second // the default time between rounds
			var mu sync.Mutex
			gaps, overFixed, overPublished := 0, 0, 0
			var bound time.Duration
			for _, c := range env.nodes {
				last := map[string]time.Time{}
				c.OnHeartbeat(func(b member.Heartbeat) {
					mu.Lock()
					defer mu.Unlock()
					if at, ok := last[b.Host]; ok {
						gap := time.Since(at)
						gaps++
						if gap > fixed {
							overFixed++
						}
						if gap > member.SuspectAfterIntervals*b.Interval {
							overPublished++
						}
						bound = max(bound, member.SuspectAfterIntervals*b.Interval)
					}
					last[b.Host] = time.Now()
				})
			}
			time.Sleep(2 * time.Minute)
			mu.Lock()
			defer mu.Unlock()
			AddReportEntry("gaps", fmt.Sprintf("hosts %d: gaps %d, over the fixed bound %d, over the published bound %d (%s)",
				count, gaps, overFixed, overPublished, bound))
			Expect(overPublished).To(BeZero())
			Expect(overFixed > 0).To(Equal(fixedWrong))
		})
	},
	Entry("9 hosts", 9, false),
	Entry("60 hosts", 60, true),
)
