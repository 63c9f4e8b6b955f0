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
		// Guards against reordered stages and a document that depends on the order of files.
		doc, err := bundle.ParseDir("testdata/good")
		Expect(err).NotTo(HaveOccurred())
		Expect(encode(doc)).To(golden.Match("testdata/good.json"))
	})
	It("have the same encoding for any order of sections", func() {
		// Guards against publishing a change when sections only moved.
		files := map[string]string{}
		for _, name := range []string{"union", "ledger"} {
			data, err := os.ReadFile("testdata/good/" + name + "/service.ini")
			Expect(err).NotTo(HaveOccurred())
			files[name] = string(data)
		}
		separate, err := bundle.Parse(bundle.Source{Name: "a", Data: []byte(files["union"])}, bundle.Source{Name: "b", Data: []byte(files["ledger"])})
		Expect(err).NotTo(HaveOccurred())
		parsed, err := bundle.Parse(bundle.Source{Name: "a", Data: []byte(files["ledger"] + files["union"])})
		Expect(err).NotTo(HaveOccurred())
		Expect(encode(parsed)).To(Equal(encode(separate)))
	})
	It("are reported with the problems of all files", func() {
		// Guards against a problem that hides another or has no file and line.
		_, err := bundle.ParseDir("testdata/wrong")
		Expect(err).To(HaveOccurred())
		Expect(err.Error() + "\n").To(golden.Match("testdata/wrong.txt"))
	})
	It("are formatted from a document", func() {
		// Guards against "config show" printing a different configuration than the one in force.
		doc, err := bundle.ParseDir("testdata/good")
		Expect(err).NotTo(HaveOccurred())
		parsed, err := bundle.Parse(bundle.Source{Name: "shown", Data: []byte(bundle.Format(doc))})
		Expect(err).NotTo(HaveOccurred())
		Expect(encode(parsed)).To(Equal(encode(doc)))
	})
	It("must exist", func() {
		// Guards against publishing an empty configuration from a mistyped folder.
		dir := GinkgoT().TempDir()
		Expect(os.MkdirAll(filepath.Join(dir, ".git"), 0o755)).To(Succeed())
		Expect(os.WriteFile(filepath.Join(dir, ".git", "service.ini"), []byte("[pool p]\n"), 0o600)).To(Succeed())
		_, err := bundle.ParseDir(dir)
		Expect(err).To(MatchError(ContainSubstring("found no service.ini")))
		_, err = bundle.ParseDir(filepath.Join(dir, "none"))
		Expect(err).To(HaveOccurred())
	})
	It("have a reference generated from the key tables", func() {
		// Guards against an outdated reference.
		text, err := bundle.Reference()
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(golden.Match("testdata/reference.md"))
	})
})

const account = "[account kiosk]\ncredential = 60303ae22b998861bce3b28f33eec1be758a213c86c93c076dbe9f558c11c752\n"

var _ = DescribeTable("rejects what breaks a rule across sections",
	// Guards against a configuration that hosts would reject, or in which two targets share
	// an address or two accounts a credential.
	func(text, want string) {
		_, err := bundle.Parse(bundle.Source{Name: "f", Data: []byte(text)})
		Expect(err).To(MatchError(ContainSubstring(want)))
		Expect(err).To(BeAssignableToTypeOf(&inicfg.ProblemsError{}))
	},
	Entry("a credential of two accounts", account+strings.ReplaceAll(account, "kiosk", "market"), "found the value of account kiosk at f:2, want a credential of its own"),
	Entry("cold_limit above limit", "[pool p]\nkind = engine\nrepeat = any\nlimit = 2\ncold_limit = 3\n", `f:5: [pool p] cold_limit: found "3", want at most limit = 2`),
	Entry("a pool without the key repeat", "[pool p]\nkind = engine\nlimit = 2\n", "[pool p] repeat: found nothing, want any or never"),
	Entry("a model that could not be formatted", "[stage p/a]\nmodel = \"m \\\" 1\"\n", `model: found "m \" 1", want text without spaces`),
	Entry("a pool in a deployment without pools", "[target t]\npool = p\n", `unknown pool "p", want a section [pool p]`),
)

var _ = DescribeTable("verifies documents by the rules of service files",
	// Guards against a publish call with a document that no service file could express.
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
	Entry("valid in another order, with data centres out", func(d *bundle.Doc) {
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

// FuzzParse guards against a panic on service files, a document that Parse accepts and a
// host that reads it from the log rejects, and a document that Format changes.
func FuzzParse(f *testing.F) {
	f.Add("[pool p]\nkind = stage\nrepeat = any\nlimit = 1\n")
	f.Fuzz(func(t *testing.T, text string) {
		doc, err := bundle.Parse(bundle.Source{Name: "f", Data: []byte(text)})
		if err != nil {
			if _, ok := err.(*inicfg.ProblemsError); !ok { //nolint:errorlint // the type itself is what callers are promised
				t.Fatalf("error without file and line for %q: %v", text, err)
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
		parsed, err := bundle.Parse(bundle.Source{Name: "b", Data: []byte(bundle.Format(doc))})
		if again, _ := json.Marshal(parsed); err != nil || string(again) != string(data) {
			t.Fatalf("%q, written back as %q: %v", text, bundle.Format(doc), err)
		}
	})
}
