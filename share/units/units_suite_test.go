package units_test

import (
	"testing"

	"chivepost/share/units"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestUnits(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "units")
}

var _ = DescribeTable("parses a duration only with its unit",
	func(text string, ok bool) {
		var d units.Duration
		err := d.UnmarshalText([]byte(text))
		Expect(err == nil).To(Equal(ok), "text %q: %v", text, err)
	},
	Entry("with a unit", "1.5s", true),
	Entry("without a unit", "15", false),
	Entry("empty", "", false),
)
