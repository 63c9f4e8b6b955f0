package deploy_test

import (
	"os"
	"path/filepath"
	"testing"

	"chivepost/share/bundle"
	"chivepost/stand/internal/deploy"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDeploy(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "deploy")
}

const root = "../../../deploy/"

// Guards against deployments whose sizes differ from those in the design page.
var _ = DescribeTable("reads the deployments of the design page",
	func(name string, targets map[string]int, notRetryable string) {
		d, err := deploy.Read(root + name)
		Expect(err).NotTo(HaveOccurred())
		Expect(d.DataCentres).To(HaveLen(3))
		counts := map[string]int{}
		for _, g := range d.TargetGroups {
			counts[g.Pool] = g.Count
		}
		for pool, n := range targets {
			Expect(counts).To(HaveKeyWithValue(pool, n))
		}
		Expect(d.Doc.Pipelines).To(HaveLen(3))
		Expect(d.Doc.Accounts).To(HaveLen(5))
		for _, a := range d.Doc.Accounts {
			Expect(a.Credential).To(Equal(bundle.HashCredential("secret-" + a.Name)))
		}
		for _, p := range d.Doc.Pools {
			Expect(p.Retryable).To(Equal(p.Name != notRetryable), "pool %s", p.Name)
		}
		_, err = bundle.New(d.Doc)
		Expect(err).NotTo(HaveOccurred())
	},
	Entry(nil, "union", map[string]int{"language": 20, "register": 3, "directory": 5, "lorry_booking": 5, "prices": 5}, "lorry_booking"),
	Entry(nil, "sundarban", map[string]int{"model": 10, "dispatch": 3, "ledger": 5, "sieve_records": 6, "yard_gate": 5}, "ledger"),
)

// Guards against a misspelt key or section that is silently ignored.
var _ = DescribeTable("rejects an invalid deployment",
	func(file, text, want string) {
		dir := GinkgoT().TempDir()
		Expect(os.CopyFS(dir, os.DirFS(root+"union"))).To(Succeed())
		Expect(os.WriteFile(filepath.Join(dir, file), []byte(text), 0o600)).To(Succeed())
		_, err := deploy.Read(dir)
		Expect(err).To(MatchError(ContainSubstring(want)))
	},
	Entry(nil, "deployment.ini", "[data_centre a]\nregion = r\n", `key "entry_hosts" is missing`),
	Entry(nil, "deployment.ini", "[date_centre a]\n", "unknown section"),
	Entry(nil, "deployment.ini", "[data_centre a]\nregion = r\nentry_hosts = some\n", `key "entry_hosts"`),
	Entry(nil, "services/lots/service.ini", "[stage a/b]\npool = c\n", `[stage a/b]: found unknown pipeline "a"`),
	Entry(nil, "services/models/service.ini", "[pool a]\nkind = engine\n", `[pool a] repeat: found nothing, want any or never`),
)
