package flow_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"chivepost/caller/internal/agent"
	"chivepost/caller/internal/flow"
	"chivepost/share/bundle"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFlow(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "flow")
}

func config() *bundle.Bundle {
	b, err := bundle.New(bundle.Doc{
		Pools: []bundle.PoolDoc{
			{Name: "free", Kind: bundle.KindStage, Retryable: true, Limit: 1, ColdLimit: 1},
			{Name: "once", Kind: bundle.KindService, Limit: 1, ColdLimit: 1},
		},
		Pipelines: []bundle.PipelineDoc{
			{Name: "read", Deadline: 1, Stages: []bundle.StageDoc{{Name: "s", Pool: "free", Timeout: 1}}},
			{Name: "book", Deadline: 1, Stages: []bundle.StageDoc{{Name: "s", Pool: "free", Timeout: 1}, {Name: "t", Pool: "once", Timeout: 1}}},
		},
	})
	Expect(err).NotTo(HaveOccurred())
	return b
}

var options = flow.Options{
	Rate: 100, Ramp: 10 * time.Second, Duration: 20 * time.Second, Seed: 1, Label: "l",
	Accounts: []flow.Weight{{Name: "large", Weight: 9}, {Name: "small", Weight: 1}}, SecretPrefix: "secret-",
	Pipelines: []flow.Weight{{Name: "read", Weight: 1}, {Name: "book", Weight: 1}}, Prefixes: 3, PrefixBytes: 100,
}

// Guards against loads that can't be reproduced or ignore their weights.
var _ = It("generates the same jobs from the same seed", func() {
	jobs, err := flow.Jobs(config(), options)
	Expect(err).NotTo(HaveOccurred())
	Expect(flow.Jobs(config(), options)).To(Equal(jobs))
	other := options
	other.Seed = 2
	Expect(flow.Jobs(config(), other)).NotTo(Equal(jobs))
	ramp, large := 0, 0
	for _, j := range jobs {
		if j.At < options.Ramp {
			ramp++
		}
		if j.Job.Account == "large" {
			large++
		}
		Expect(j.Job.AtMostOnce).To(Equal(j.Job.Pipeline == "book"))
		Expect(j.Job.Secret).To(Equal("secret-" + j.Job.Account))
		Expect(j.Job.ExpectedOutput).To(ContainSubstring("|id=" + j.Job.WorkID + "|"))
	}
	Expect(ramp).To(BeNumerically("~", 550, 60))
	Expect(len(jobs) - ramp).To(BeNumerically("~", 1000, 100))
	Expect(float64(large) / float64(len(jobs))).To(BeNumerically("~", 0.9, 0.03))
})

// slowSender takes longer for each job than the time between jobs.
type slowSender struct {
	mu      sync.Mutex
	started []time.Time
}

func (s *slowSender) Do(context.Context, agent.Job) agent.Report {
	s.mu.Lock()
	s.started = append(s.started, time.Now())
	s.mu.Unlock()
	time.Sleep(100 * time.Millisecond)
	return agent.Report{}
}

// Guards against a load that waits for slow answers and thereby hides overload.
var _ = It("starts jobs at their times even if earlier ones have not ended", func() {
	s := &slowSender{}
	var jobs []flow.TimedJob
	for i := range 10 {
		jobs = append(jobs, flow.TimedJob{At: time.Duration(i) * time.Millisecond})
	}
	start := time.Now()
	var mu sync.Mutex
	done := 0
	flow.Run(context.Background(), jobs, s, func(agent.Report) { mu.Lock(); done++; mu.Unlock() })
	Expect(done).To(Equal(10))
	Expect(time.Since(start)).To(BeNumerically("<", 500*time.Millisecond))
})
