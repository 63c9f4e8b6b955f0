package route_test

import (
	"fmt"
	"testing"

	"chivepost/entry/internal/route"
	"chivepost/share/target"
)

// BenchmarkPickView measures a decision over targets on which Prepare wasn't called;
// BenchmarkPick measures it over prepared ones, as the slots controller's View returns
// them.
func BenchmarkPickView(b *testing.B) {
	for _, n := range []int{10, 130, 1300} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			targets := make([]route.Target, n)
			for i := range targets {
				dc := i % 11
				targets[i] = route.Target{
					Name: fmt.Sprintf("model-00-engine-%04d", i), DataCentre: fmt.Sprintf("centre-%02d", dc),
					Region: fmt.Sprintf("region-%d", dc%3), State: target.StateWarm, Free: 1 + i%3, InUse: i % 2, Limit: 4,
				}
			}
			p, err := route.New("", route.Options{})
			if err != nil {
				b.Fatal(err)
			}
			req := route.Request{DataCentre: "centre-00", Region: "region-0"}
			b.ReportAllocs()
			for b.Loop() {
				req.Prefix++
				p.Pick(req, targets)
			}
		})
	}
}
