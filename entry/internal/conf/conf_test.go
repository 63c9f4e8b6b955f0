package conf_test

import (
	"os"
	"path/filepath"
	"testing"

	"chivepost/entry/internal/conf"
	"chivepost/share/golden"
	"chivepost/share/inicfg"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestConf(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "conf")
}

// Guards against a reference page that differs from the settings. Run the test with the
// flag -update to rewrite the page.
var _ = It("documents all settings in the reference", func() {
	text, err := inicfg.Reference(&conf.Settings{})
	Expect(err).NotTo(HaveOccurred())
	Expect("# Settings of an entry host\n\n" + text).To(golden.Match("../../../docs/reference/entry-settings.md"))
})

const valid = `[host]
name = thies-entry-1
data_centre = thies
region = thies
address = 127.0.0.1:1001
peer_address = 127.0.0.1:1002
operator_address = 127.0.0.1:1003
[platform]
log_url = http://127.0.0.1:1004
hosts_url = http://127.0.0.1:1005
`

// Guards against contradictions that would only fail while serving, and against
// reporting only the first fault.
var _ = DescribeTable("settings that contradict each other",
	func(text string, want ...string) {
		path := filepath.Join(GinkgoT().TempDir(), "entry.ini")
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		_, _, err := conf.Load(path)
		if len(want) == 0 {
			Expect(err).NotTo(HaveOccurred())
			return
		}
		for _, w := range want {
			Expect(err).To(MatchError(ContainSubstring(w)))
		}
	},
	Entry("none", valid+"[peers]\nkey = k\n"),
	Entry("no key", valid, "[peers] key"),
	Entry("two keys", valid+"[peers]\nkey = k\nkey_file = f\n", "only one of key and key_file"),
	Entry("a margin longer than the lease", valid+"[peers]\nkey = k\n[timing]\nmargin = 5s\n", "less than lease"),
	Entry("an unknown key and a value without unit", valid+"[peers]\nkey = k\n[timing]\nlaese = 2s\nmargin = 5\n",
		`unknown key "laese", want "lease"`, `found "5"`),
)
