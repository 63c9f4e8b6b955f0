package blame

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDerive measures the work for each new piece of evidence: with the crashes that a
// deadly part causes in a large deployment until it is quarantined, and with as many as are
// remembered.
func BenchmarkDerive(b *testing.B) {
	for _, crashes := range []int{20, maxCrashes} {
		b.Run(fmt.Sprintf("crashes=%d", crashes), func(b *testing.B) {
			d := newDeployment()
			for i := range crashes {
				d.now = d.now.Add(time.Second / 4)
				target := fmt.Sprint(i)
				d.crash("s", target, 0, []string{"system0", "deadly"}, target)
				for j := range 6 {
					d.crash("s", target, 0, []string{fmt.Sprint("system", j), fmt.Sprint("subject", i*j)}, fmt.Sprint(i, j))
				}
			}
			for b.Loop() {
				d.derive(d.now)
			}
		})
	}
}
