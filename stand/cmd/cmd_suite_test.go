package cmd_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"chivepost/stand/cmd"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCmd(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cmd")
}

// Guards against scripts that continue after a failed command.
var _ = DescribeTable("returns an exit code",
	func(code int, message string, args ...string) {
		var out, errs bytes.Buffer
		Expect(cmd.Main(args, &out, &errs)).To(Equal(code))
		Expect(out.String() + errs.String()).To(ContainSubstring(message))
	},
	Entry(nil, 0, "Usage: chive-stand", "--help"),
	Entry(nil, 2, "unknown flag", "plan", "--nothing"),
	Entry(nil, 1, "read deployment", "plan", "--deployment", ".", "--out", "out"),
	Entry(nil, 1, "read host list", "hosts", "--file", "root.go"),
	Entry(nil, 1, "decode targets file", "targets", "--file", "root.go"),
)

// Guards against a plan command that fails or omits files.
var _ = It("writes a plan", func() {
	dir := GinkgoT().TempDir()
	var out bytes.Buffer
	Expect(cmd.Main([]string{"plan", "--deployment", "../../deploy/union", "--out", dir}, &out, &out)).To(Equal(0))
	Expect(out.String()).To(Equal(dir + ": 9 entry hosts, 50 targets in 3 data centres\n"))
	_, err := os.Stat(filepath.Join(dir, "bundle.json"))
	Expect(err).NotTo(HaveOccurred())
})
