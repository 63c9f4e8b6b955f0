package bundle_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"chivepost/share/bundle"
	"chivepost/share/golden"
	"chivepost/share/inicfg"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestBundle(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bundle")
}

func encode(doc bundle.Doc) string {
	text, err := json.MarshalIndent(doc, "", "  ")
	Expect(err).NotTo(HaveOccurred())
	return string(text) + "\n"
}

var _ = Describe("service files", func() {
	It("are collected at any depth and sorted by name", func() {
		// Guards against stages out of order and a document that depends on file order.
		doc, err := bundle.ParseDir("testdata/good")
		Expect(err).NotTo(HaveOccurred())
		Expect(encode(doc)).To(golden.Match("testdata/good.json"))
	})
	It("give equal bytes in any order of sections", func() {
		// Guards against a change of configuration that only moves sections about.
		files := map[string]string{}
		for _, name := range []string{"union", "ledger"} {
			data, err := os.ReadFile("testdata/good/" + name + "/service.ini")
			Expect(err).NotTo(HaveOccurred())
			files[name] = string(data)
		}
		forth, err := bundle.Parse(bundle.Source{Name: "a", Data: []byte(files["union"])}, bundle.Source{Name: "b", Data: []byte(files["ledger"])})
		Expect(err).NotTo(HaveOccurred())
		back, err := bundle.Parse(bundle.Source{Name: "a", Data: []byte(files["ledger"] + files["union"])})
		Expect(err).NotTo(HaveOccurred())
		Expect(encode(back)).To(Equal(encode(forth)))
	})
	It("are reported with all that is wrong in all files", func() {
		// Guards against a fault that is hidden behind another, or has no place.
		_, err := bundle.ParseDir("testdata/wrong")
		Expect(err).To(HaveOccurred())
		Expect(err.Error() + "\n").To(golden.Match("testdata/wrong.txt"))
	})
	It("are written back from a document", func() {
		// Guards against config show printing another configuration than the one in force.
		doc, err := bundle.ParseDir("testdata/good")
		Expect(err).NotTo(HaveOccurred())
		back, err := bundle.Parse(bundle.Source{Name: "shown", Data: []byte(bundle.Format(doc))})
		Expect(err).NotTo(HaveOccurred())
		Expect(encode(back)).To(Equal(encode(doc)))
	})
	It("are missing", func() {
		// Guards against publishing an empty configuration after a mistyped folder.
		dir := GinkgoT().TempDir()
		Expect(os.MkdirAll(filepath.Join(dir, ".git"), 0o755)).To(Succeed())
		Expect(os.WriteFile(filepath.Join(dir, ".git", "service.ini"), []byte("[pool p]\n"), 0o600)).To(Succeed())
		_, err := bundle.ParseDir(dir)
		Expect(err).To(MatchError(ContainSubstring("found no service.ini")))
		_, err = bundle.ParseDir(filepath.Join(dir, "none"))
		Expect(err).To(HaveOccurred())
	})
	It("have a reference written from the table", func() {
		// Guards against a reference that is not current.
		text, err := bundle.Reference()
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(golden.Match("testdata/reference.md"))
	})
})

const account = "[account kiosk]\ncredential = 60303ae22b998861bce3b28f33eec1be758a213c86c93c076dbe9f558c11c752\n"

var _ = DescribeTable("a rule across sections is applied",
	// Guards against a configuration that hosts would refuse, or that would put two targets
	// or two accounts in one.
	func(text, want string) {
		_, err := bundle.Parse(bundle.Source{Name: "f", Data: []byte(text)})
		Expect(err).To(MatchError(ContainSubstring(want)))
		Expect(err).To(BeAssignableToTypeOf(&inicfg.ProblemsError{}))
	},
	Entry("a credential of two accounts", account+strings.ReplaceAll(account, "kiosk", "market"), "found the value of account kiosk at f:2, want a credential of its own"),
	Entry("cold_limit above limit", "[pool p]\nkind = engine\nrepeat = any\nlimit = 2\ncold_limit = 3\n", `f:5: [pool p] cold_limit: found "3", want at most limit = 2`),
	Entry("a pool that says nothing of repeats", "[pool p]\nkind = engine\nlimit = 2\n", "[pool p] repeat: found nothing, want any or never"),
	Entry("a model that could not be written back", "[stage p/a]\nmodel = \"m \\\" 1\"\n", `model: found "m \" 1", want text without spaces`),
	Entry("a pool where there is none", "[target t]\npool = p\n", `unknown pool "p", want a section [pool p]`),
)

var _ = DescribeTable("a document from elsewhere is verified by the same rules",
	// Guards against a publish call that brings into force what no service file could say.
	func(change func(d *bundle.Doc), want string) {
		doc, err := bundle.ParseDir("testdata/good")
		Expect(err).NotTo(HaveOccurred())
		change(&doc)
		if want == "" {
			Expect(bundle.Verify(doc)).To(Succeed())
			return
		}
		Expect(bundle.Verify(doc)).To(MatchError(ContainSubstring(want)))
	},
	Entry("sound", func(*bundle.Doc) {}, ""),
	Entry("sound in another order, with a data centre out", func(d *bundle.Doc) {
		d.Targets[0], d.Targets[1] = d.Targets[1], d.Targets[0]
		d.DataCentresOut = []string{"thies-1", "kaolack-1"}
	}, ""),
	Entry("empty", func(d *bundle.Doc) { *d = bundle.Doc{} }, ""),
	Entry("address", func(d *bundle.Doc) { d.Targets[0].Address = "10.1.0.11" }, "address: found"),
	Entry("kind", func(d *bundle.Doc) { d.Pools[0].Kind = "" }, "kind: found"),
	Entry("timeout above the deadline", func(d *bundle.Doc) { d.Pipelines[0].Deadline = 1 }, "timeout: found"),
	Entry("name with a section in it", func(d *bundle.Doc) { d.Accounts[0].Name = "a]\n[pool x" }, "found"),
	Entry("model with a key in it", func(d *bundle.Doc) { d.Pipelines[0].Stages[0].Model = "m ; x" }, "a value that service files cannot have"),
	Entry("data centre out twice", func(d *bundle.Doc) { d.DataCentresOut = []string{"a", "a"} }, `out: found "a"`),
)

// FuzzParse guards against a crash on service files, and against a document that is
// accepted here and refused by a host that reads it from the log, or that is written
// back in another form.
func FuzzParse(f *testing.F) {
	f.Add("[pool p]\nkind = stage\nrepeat = any\nlimit = 1\n")
	f.Fuzz(func(t *testing.T, text string) {
		doc, err := bundle.Parse(bundle.Source{Name: "f", Data: []byte(text)})
		if err != nil {
			if _, ok := err.(*inicfg.ProblemsError); !ok { //nolint:errorlint // the type itself is what callers are promised
				t.Fatalf("problem without a place for %q: %v", text, err)
			}
			return
		}
		data, err := json.Marshal(doc)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := bundle.Decode(data); err != nil {
			t.Fatalf("%q: %v", text, err)
		}
		back, err := bundle.Parse(bundle.Source{Name: "b", Data: []byte(bundle.Format(doc))})
		if again, _ := json.Marshal(back); err != nil || string(again) != string(data) {
			t.Fatalf("%q, written back as %q: %v", text, bundle.Format(doc), err)
		}
	})
}
