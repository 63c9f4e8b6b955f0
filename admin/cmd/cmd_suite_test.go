package cmd_test

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivepost/admin/cmd"
	"chivepost/share/bundle"
	"chivepost/share/golden"
)

func TestCmd(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cmd")
}

// chivectl runs the command line and returns its exit code, standard output and standard error.
// Values that differ from run to run are replaced.
func chivectl(args ...string) (code int, stdout, stderr string) {
	GinkgoHelper()
	var out, errs bytes.Buffer
	code = cmd.Main(context.Background(), append([]string{"--settings", "testdata/settings.ini"}, args...), &out, &errs)
	return code, maskVariable(out.String()), maskVariable(errs.String())
}

var (
	loopback = regexp.MustCompile(`127\.0\.0\.1:\d+`)
	duration = regexp.MustCompile(`(after |"waited": ")[0-9.]+m?s`)
)

func maskVariable(text string) string {
	return duration.ReplaceAllString(loopback.ReplaceAllString(text, "ADDR"), "${1}TIME")
}

// closedAddress has no listener: the port is reserved for TCP multiplexing.
const closedAddress = "127.0.0.1:1"

var _ = DescribeTable("prints the result",
	// Guards against unnoticed changes of the output that operators and scripts read.
	func(name string, want int, args ...string) {
		first, second := start(&fakeHost{}), start(&fakeHost{name: "entry-2"})
		args = append(args, "--operator", first.address, "--operator", second.address, "--operator", first.address)
		for _, format := range []string{"text", "json"} {
			code, out, errs := chivectl(append(args, "--output", format)...)
			Expect(code).To(Equal(want), errs)
			Expect(out + errs).To(golden.Match("testdata/" + name + "." + format))
		}
	},
	Entry("of check", "check", 0, "check", "testdata/files"),
	Entry("of check with invalid files", "faulty", 3, "check", "testdata/faulty"),
	Entry("of diff", "diff", 0, "diff", "testdata/files"),
	Entry("of config show", "config_show", 0, "config", "show"),
	Entry("of config confirmed", "config_confirmed", 0, "config", "confirmed"),
	Entry("of status", "status", 0, "status"),
	Entry("of burn", "burn", 0, "burn"),
)

var _ = DescribeTable("publishes and reports the outcome",
	// Guards against confusing a conflict, a refusal and an unknown outcome, and against sending a
	// change again after it may have taken effect.
	func(f *fakeHost, want int, wantText string, wantVersion int, args ...string) {
		start(f)
		spare := start(&fakeHost{name: "entry-2"})
		code, out, errs := chivectl(append(args, "--operator", closedAddress, "--operator", f.address, "--operator", spare.address)...)
		Expect(code).To(Equal(want), out+errs)
		Expect(out + errs).To(ContainSubstring(wantText))
		Expect(f.config.Version).To(BeEquivalentTo(wantVersion))
		Expect(spare.publishCalls).To(BeZero())
	},
	Entry("accepted", &fakeHost{confirmAfter: 3}, 0, "version 42 published, confirmed by 2 of 2 hosts", 42, "publish", "testdata/files"),
	Entry("accepted on the given base version", &fakeHost{}, 0, "version 42 published", 42, "publish", "testdata/files", "--base", "41"),
	Entry("not confirmed by all", &fakeHost{confirmAfter: 1000}, 8, "version 42 is not confirmed by entry-9", 42, "publish", "testdata/files"),
	Entry("conflict with another change", &fakeHost{}, 5, "version 41 by ada was published first", 41, "publish", "testdata/files", "--base", "40"),
	Entry("log down", &fakeHost{publish: "log_down"}, 6, "log unavailable: no append for 3s", 41, "publish", "testdata/files"),
	Entry("refused by the host's own check", &fakeHost{publish: "invalid"}, 6, `pool "x": unknown`, 41, "publish", "testdata/files"),
	Entry("outcome unknown to the host", &fakeHost{publish: "log_unknown"}, 7, "log unavailable", 41, "publish", "testdata/files"),
	Entry("connection lost before it took effect", &fakeHost{publish: "cut"}, 7, "no answer to the publish call", 41, "publish", "testdata/files"),
	Entry("connection lost after it took effect", &fakeHost{publish: "cut_applied"}, 0, "version 42 published", 42, "publish", "testdata/files"),
	Entry("invalid files", &fakeHost{}, 3, "2 problems", 41, "publish", "testdata/faulty"),
	Entry("data centre out", &fakeHost{}, 0, "+ data centre out thies-1", 42, "dc", "out", "thies-1"),
	Entry("data centre out that has entry hosts but no targets", &fakeHost{}, 0, "+ data centre out ziguinchor-1", 42, "dc", "out", "ziguinchor-1"),
	Entry("data centre out already", &fakeHost{}, 0, "no changes: version 41", 41, "dc", "out", "kaolack-1"),
	Entry("data centre in", &fakeHost{}, 0, "- data centre out kaolack-1", 42, "dc", "in", "kaolack-1"),
	Entry("data centre in already", &fakeHost{}, 0, "no changes: version 41", 41, "dc", "in", "thies-1"),
	Entry("data centre mistyped", &fakeHost{}, 2, `did you mean "thies-1"? known data centres: `, 41, "dc", "out", "thies-l"),
	Entry("data centre out that is not confirmed", &fakeHost{confirmAfter: 1000}, 8, "not confirmed by entry-9", 42, "dc", "out", "thies-1"),
)

var _ = It("prints the settings in force and their sources", func() {
	// Guards against a flag that does not take precedence, or a source with a wrong file or line.
	for _, format := range []string{"text", "json"} {
		code, out, errs := chivectl("settings", "testdata/settings.ini", "--operator", "127.0.0.1:7100", "--output", format)
		Expect(code).To(BeZero(), errs)
		Expect(out).To(golden.Match("testdata/settings." + format))
	}
})

var _ = It("keeps data centres out, and does not publish the same configuration again", func() {
	// Guards against a publish that brings a data centre back that operators have taken out.
	f := start(&fakeHost{})
	code, _, errs := chivectl("publish", "testdata/files", "--operator", f.address)
	Expect(code).To(BeZero(), errs)
	Expect(f.config.Doc.DataCentresOut).To(Equal([]string{"kaolack-1"}))
	Expect(f.config.Author).To(Equal("dispatch"))
	code, out, _ := chivectl("publish", "testdata/files", "--operator", f.address)
	Expect(code).To(BeZero())
	Expect(out).To(ContainSubstring("no changes: version 42"))
	Expect(f.publishCalls).To(Equal(1))
})

var _ = It("shows a configuration that can be read back without changes", func() {
	// Guards against config show printing another configuration than the one in force.
	f := start(&fakeHost{})
	_, out, _ := chivectl("config", "show", "--operator", f.address)
	dir := GinkgoT().TempDir()
	Expect(os.WriteFile(filepath.Join(dir, bundle.ServiceFile), []byte(out), 0o600)).To(Succeed())
	code, out, _ := chivectl("diff", dir, "--operator", f.address)
	Expect(code).To(BeZero())
	Expect(out).To(ContainSubstring("no changes"))
})

var _ = DescribeTable("fails with a distinct exit code",
	// Guards against scripts that cannot tell a failure from success or from another failure.
	func(want int, wantText string, args ...string) {
		f := start(&fakeHost{})
		for i, arg := range args {
			args[i] = strings.ReplaceAll(arg, "LIVE", f.address)
		}
		code, out, errs := chivectl(args...)
		Expect(code).To(Equal(want), out+errs)
		Expect(errs).To(ContainSubstring(wantText))
	},
	Entry("unknown command", 2, "unexpected argument", "fire"),
	Entry("no operator address", 2, "give --operator", "status"),
	Entry("operator address without a port", 3, `found "127.0.0.1"`, "status", "--operator", "127.0.0.1"),
	Entry("no address answers a read", 4, "no operator address answered", "config", "show", "--operator", closedAddress),
	Entry("no address answers a publish", 4, "no operator address answered", "publish", "testdata/files", "--operator", closedAddress),
	Entry("some do not answer status", 9, "1 of the operator addresses did not answer", "status", "--operator", "LIVE", "--operator", closedAddress),
	Entry("some do not answer burn", 9, "1 of the operator addresses did not answer", "burn", "--operator", closedAddress, "--operator", "LIVE"),
	Entry("no such folder", 3, "collect service files", "check", "testdata/none"),
	Entry("no such settings file", 3, "want a readable file", "settings", "testdata/none.ini"),
)

var _ = It("limits the wait for confirmations", func() {
	// Guards against a command that waits endlessly for a host that never confirms.
	f := start(&fakeHost{confirmAfter: 1 << 30})
	start := time.Now()
	code, out, _ := chivectl("dc", "out", "thies-1", "--operator", f.address, "-o", "json")
	Expect(code).To(Equal(8))
	Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second))
	var got struct {
		Confirmed, Unconfirmed []string
	}
	Expect(json.Unmarshal([]byte(out), &got)).To(Succeed())
	Expect(got.Confirmed).To(Equal([]string{"entry-1"}))
	Expect(got.Unconfirmed).To(Equal([]string{"entry-9"}))
})

var _ = It("writes the burn report as a page", func() {
	// Guards against a page that is incomplete or not written.
	f := start(&fakeHost{})
	page := filepath.Join(GinkgoT().TempDir(), "burn.html")
	code, _, errs := chivectl("burn", "--html", page, "--operator", f.address)
	Expect(code).To(BeZero(), errs)
	data, err := os.ReadFile(page)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(data)).To(And(ContainSubstring("union-lorry"), ContainSubstring("</html>")))
})

var _ = It("documents the exit codes in its help", func() {
	// Guards against exit codes that are documented only in the source.
	code, out, _ := chivectl("publish", "--help")
	Expect(code).To(BeZero())
	Expect(out).To(And(ContainSubstring("Exit codes:"), ContainSubstring("5  conflict"), ContainSubstring("--base=V")))
})

var _ = DescribeTable("prints a completion script", func(shell, want string) {
	// Guards against printing the script of another shell.
	code, out, _ := chivectl("completion", shell)
	Expect(code).To(BeZero())
	Expect(out).To(ContainSubstring(want))
},
	Entry("bash", "bash", "complete -C"),
	Entry("zsh", "zsh", "bashcompinit"),
	Entry("fish", "fish", "complete -f -c chivectl"),
)
