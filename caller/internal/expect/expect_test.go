package expect_test

import (
	"testing"

	"chivepost/caller/internal/expect"
	"chivepost/share/bundle"
	"chivepost/share/target"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestExpect(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "expect")
}

// Guards against an expected answer that skips a stage.
var _ = It("passes each stage's output on to the next", func() {
	b, err := bundle.New(bundle.Doc{
		Pools: []bundle.PoolDoc{
			{Name: "a", Kind: bundle.KindEngine, Retryable: true, Limit: 1, ColdLimit: 1},
			{Name: "b", Kind: bundle.KindService, Limit: 1, ColdLimit: 1},
		},
		Pipelines: []bundle.PipelineDoc{{Name: "p", Deadline: 1, Stages: []bundle.StageDoc{
			{Name: "s", Pool: "a", Timeout: 1}, {Name: "t", Pool: "b", Timeout: 1},
		}}},
	})
	Expect(err).NotTo(HaveOccurred())
	first := target.ExpectedOutput(bundle.KindEngine, "a", "in")
	Expect(expect.Output(b, "p", "in")).To(Equal(target.ExpectedOutput(bundle.KindService, "b", first)))
	Expect(expect.AtMostOnce(b, "p")).To(BeTrue())
	_, err = expect.Output(b, "q", "in")
	Expect(err).To(HaveOccurred())
})
