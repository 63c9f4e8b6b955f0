package target_test

import (
	"fmt"
	"strings"

	"chivepost/share/bundle"
	"chivepost/share/target"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func ExampleExpectedOutput() {
	input := target.NewInput("prefix", "w-1", "question")
	fmt.Println(target.ExpectedOutput(bundle.KindStage, "encoders", input))
	// Output: prefix|id=w-1|encoders(03704c780966ea39)
}

// Guards against outputs that change, so that stand-ins and checker disagree.
var _ = It("gives an engine's output in 8 to 39 pieces that depend on the input", func() {
	lengths := map[int]bool{}
	for i := range 200 {
		input := target.NewInput("prefix", fmt.Sprint(i), "question")
		pieces := target.OutputTokens(bundle.KindEngine, "language", input)
		Expect(len(pieces)).To(And(BeNumerically(">=", 8), BeNumerically("<=", 39)))
		Expect(target.OutputTokens(bundle.KindEngine, "language", input)).To(Equal(pieces))
		Expect(target.WorkID(strings.Join(pieces, ""))).To(Equal(fmt.Sprint(i)))
		lengths[len(pieces)] = true
	}
	Expect(len(lengths)).To(BeNumerically(">", 20))
})

// Guards against cached blocks that are taken for those of another prefix.
var _ = It("names blocks alike only after the same prefix", func() {
	a := strings.Repeat("a", target.PrefixBlockBytes)
	b := strings.Repeat("b", target.PrefixBlockBytes)
	Expect(target.PrefixBlockHashes(a + b)[0]).To(Equal(target.PrefixBlockHashes(a + a + "x")[0]))
	Expect(target.PrefixBlockHashes(a + b)[1]).NotTo(Equal(target.PrefixBlockHashes(b + b)[1]))
	Expect(target.PrefixBlockHashes(a[1:])).To(BeEmpty())
})
