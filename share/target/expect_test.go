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

// Guards against outputs that differ between calls, so that stand-in targets and the
// checker disagree.
var _ = It("splits the output of an engine into 8 to 39 tokens that depend on the input", func() {
	lengths := map[int]bool{}
	for i := range 200 {
		input := target.NewInput("prefix", fmt.Sprint(i), "question")
		tokens := target.OutputTokens(bundle.KindEngine, "language", input)
		Expect(len(tokens)).To(And(BeNumerically(">=", 8), BeNumerically("<=", 39)))
		Expect(target.OutputTokens(bundle.KindEngine, "language", input)).To(Equal(tokens))
		Expect(target.WorkID(strings.Join(tokens, ""))).To(Equal(fmt.Sprint(i)))
		lengths[len(tokens)] = true
	}
	Expect(len(lengths)).To(BeNumerically(">", 20))
})

// Guards against mistaking cached blocks for those of another prefix.
var _ = It("returns equal hashes only for equal prefixes", func() {
	a := strings.Repeat("a", target.PrefixBlockBytes)
	b := strings.Repeat("b", target.PrefixBlockBytes)
	Expect(target.PrefixBlockHashes(a + b)[0]).To(Equal(target.PrefixBlockHashes(a + a + "x")[0]))
	Expect(target.PrefixBlockHashes(a + b)[1]).NotTo(Equal(target.PrefixBlockHashes(b + b)[1]))
	Expect(target.PrefixBlockHashes(a[1:])).To(BeEmpty())
})
