package plan_test

import (
	"flag"
	"fmt"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"chivepost/stand/internal/deploy"
	"chivepost/stand/internal/plan"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var update = flag.Bool("update", false, "rewrite golden files")

func TestPlan(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "plan")
}

// sequentialPorts returns ports in order, whether or not they are free.
type sequentialPorts struct{ next int }

func (p *sequentialPorts) Next() (string, error) {
	p.next++
	return fmt.Sprintf("127.0.0.1:%d", p.next), nil
}

// Guards against changes of format that other programs can't read.
var _ = DescribeTable("writes the files of a deployment",
	func(name, file string) {
		d, err := deploy.Read("../../../deploy/" + name)
		Expect(err).NotTo(HaveOccurred())
		p, err := plan.New(d, &sequentialPorts{next: 20000}, "key")
		Expect(err).NotTo(HaveOccurred())
		dir := GinkgoT().TempDir()
		Expect(p.Write(dir)).To(Succeed())
		got, err := os.ReadFile(filepath.Join(dir, file))
		Expect(err).NotTo(HaveOccurred())
		golden := filepath.Join("testdata", name+"-"+strings.ReplaceAll(file, "/", "-")+".golden")
		if *update {
			Expect(os.WriteFile(golden, got, 0o600)).To(Succeed())
		}
		want, err := os.ReadFile(golden)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(got)).To(Equal(string(want)))
	},
	Entry(nil, "union", "env"),
	Entry(nil, "union", "entry-thies-entry-1.ini"),
	Entry(nil, "sundarban", "env"),
	Entry(nil, "sundarban", "targets-haldia.json"),
	Entry(nil, "sundarban", "services/targets/service.ini"),
)

// Guards against a plan that omits a file or assigns an address twice.
var _ = It("writes all files and assigns each listener its own address", func() {
	d, err := deploy.Read("../../../deploy/union")
	Expect(err).NotTo(HaveOccurred())
	p, err := plan.New(d, &sequentialPorts{next: 20000}, "key")
	Expect(err).NotTo(HaveOccurred())
	dir := GinkgoT().TempDir()
	Expect(p.Write(dir)).To(Succeed())
	var files []string
	Expect(fs.WalkDir(os.DirFS(dir), ".", func(path string, e fs.DirEntry, err error) error {
		if !e.IsDir() {
			files = append(files, path)
		}
		return err
	})).To(Succeed())
	Expect(files).To(HaveLen(9 + 3 + len(d.Services) + 1 + 3))
	Expect(p.HostList().Hosts).To(HaveLen(9 + 50))
	seen := map[string]bool{}
	for _, h := range p.HostList().Hosts {
		Expect(seen).NotTo(HaveKey(h.Address))
		seen[h.Address] = true
	}
})

// Guards against the choice of a port that is in use.
var _ = It("skips ports in use", func() {
	taken, err := plan.NewPorts(0).Next()
	Expect(err).NotTo(HaveOccurred())
	l, err := net.Listen("tcp", taken)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	next, err := plan.NewPorts(l.Addr().(*net.TCPAddr).Port).Next()
	Expect(err).NotTo(HaveOccurred())
	Expect(next).NotTo(Equal(taken))
})
