package golden_test

import (
	"os"
	"path/filepath"
	"testing"

	"chivepost/share/golden"

	. "github.com/onsi/gomega"
)

// TestMatch guards against a match without a file, with a different text, or with a value
// that is neither a string nor bytes.
func TestMatch(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "a.txt")
	_, err := golden.Match(path).Match("a")
	g.Expect(err).To(HaveOccurred())
	g.Expect(os.WriteFile(path, []byte("a"), 0o600)).To(Succeed())
	g.Expect("a").To(golden.Match(path))
	g.Expect([]byte("a")).To(golden.Match(path))
	g.Expect("b").NotTo(golden.Match(path))
	_, err = golden.Match(path).Match(1)
	g.Expect(err).To(HaveOccurred())
}
