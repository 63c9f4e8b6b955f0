package delta_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivepost/admin/internal/delta"
	"chivepost/share/bundle"
)

func TestDelta(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "delta")
}

func doc(change func(d *bundle.Doc)) bundle.Doc {
	d := bundle.Doc{
		Pipelines:      []bundle.PipelineDoc{{Name: "p", Objective: 0.99, Stages: []bundle.StageDoc{{Name: "a", Pool: "q"}, {Name: "b", Pool: "q"}}}},
		Pools:          []bundle.PoolDoc{{Name: "q", Limit: 2, ColdLimit: 1}},
		DataCentresOut: []string{"thies-1"},
	}
	change(&d)
	return d
}

var _ = DescribeTable("shows what a publish would change",
	// Guards against a change that the operator is not shown, in particular one inside a list.
	func(change func(d *bundle.Doc), want ...string) {
		changes, err := delta.Between(doc(func(*bundle.Doc) {}), doc(change))
		Expect(err).NotTo(HaveOccurred())
		var b strings.Builder
		Expect(changes.Text(&b)).To(Succeed())
		Expect(strings.Split(strings.TrimSpace(b.String()), "\n")).To(Equal(want))
	},
	Entry("nothing", func(*bundle.Doc) {}, "no changes"),
	Entry("a value", func(d *bundle.Doc) { d.Pools[0].Limit = 3 }, "~ pool q", "    limit: 2 -> 3"),
	Entry("a flag", func(d *bundle.Doc) { d.Pools[0].Retryable = true }, "~ pool q", "    repeat: false -> true"),
	Entry("the order of stages", func(d *bundle.Doc) {
		s := d.Pipelines[0].Stages
		s[0], s[1] = s[1], s[0]
	}, "~ pipeline p", "    stages: a, b -> b, a"),
	Entry("a stage's model", func(d *bundle.Doc) { d.Pipelines[0].Stages[1].Model = "m" },
		"~ pipeline p", "    stages[b].model: (none) -> m"),
	Entry("names and data centres", func(d *bundle.Doc) {
		d.Pools[0].Name = "r"
		d.DataCentresOut = []string{"thies-1", "kaolack-1"}
	}, "+ data centre out kaolack-1", "- pool q", "+ pool r"),
)
