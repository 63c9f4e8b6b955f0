package node

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chivepost/share/apiv1"
	"chivepost/share/target"
	"chivepost/share/units"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a planned stop in which requests that come late are taken and passed on, and
// get no answer when the process is killed.
var _ = DescribeTable("answers or refuses each request before the process is killed",
	func(grace time.Duration) {
		synctest.Test(suite, func(*testing.T) {
			defer GinkgoRecover()
			env := newTestEnv(3)
			defer env.stopAll()
			for _, t := range env.targetsByAddress {
				if t.doc.Pool == "booking" {
					t.serviceTime = 2500 * time.Millisecond
				}
			}
			time.Sleep(3 * time.Second)
			_, status := env.publish(env.live()[0], "first", 0, env.doc)
			Expect(status).To(Equal(http.StatusOK))
			time.Sleep(15 * time.Second) // slots are granted
			p := env.process("thies-1")
			outcomes := map[string]apiv1.Outcome{}
			var mu sync.Mutex
			stopAt := time.Now().Add(time.Second)
			for n := range int((time.Second + grace) / (100 * time.Millisecond)) {
				env.wg.Go(func() {
					time.Sleep(time.Duration(n)*100*time.Millisecond + 30*time.Millisecond)
					if p.gate.wait() != nil {
						return // the process has ended
					}
					position, _ := p.node.claims.Position()
					id := fmt.Sprintf("%d-late%04d", position, n)
					outcome, _, _ := env.sendOnce(p, "alpha", []string{"booking", "letter"}[n%2], apiv1.Request{
						ID: id, Deadline: units.Duration(5 * time.Second), Input: target.NewInput("prefix", id, "question"),
					})
					mu.Lock()
					defer mu.Unlock()
					outcomes[fmt.Sprintf("request sent %s after the signal", time.Duration(n)*100*time.Millisecond-time.Second)] = outcome
				})
			}
			time.Sleep(time.Until(stopAt))
			// The process ends by itself a little before it is killed.
			ctx, cancel := context.WithDeadline(context.Background(), stopAt.Add(grace*15/16))
			defer cancel()
			_ = p.node.Leave(ctx)
			time.Sleep(10 * time.Millisecond) // the server waits until the responses are written
			env.kill("thies-1")
			env.wg.Wait()
			time.Sleep(callTimeout + 5*time.Second) // calls in flight end
			answered := 0
			for request, outcome := range outcomes {
				Expect(outcome).NotTo(BeEmpty(), request)
				if outcome == apiv1.Answered {
					answered++
				}
			}
			Expect(answered).To(BeNumerically(">=", 5), "of 10 sent before the signal, and later ones")
		})
	},
	Entry("grace period of 5 s", 5*time.Second),
	Entry("grace period of 6 s", 6*time.Second),
	Entry("grace period of 8 s", 8*time.Second),
	Entry("grace period of 30 s", 30*time.Second),
)
