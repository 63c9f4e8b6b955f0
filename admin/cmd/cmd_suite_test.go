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

// chivectl runs the command line and returns its exit code, output and errors. What
// differs from run to run is replaced.
func chivectl(args ...string) (code int, stdout, stderr string) {
	GinkgoHelper()
	var out, errs bytes.Buffer
	code = cmd.Main(context.Background(), append([]string{"--settings", "testdata/settings.ini"}, args...), &out, &errs)
	return code, stable(out.String()), stable(errs.String())
}

var (
	loopback = regexp.MustCompile(`127\.0\.0\.1:\d+`)
	waited   = regexp.MustCompile(`(after |"waited": ")[0-9.]+m?s`)
)

func stable(text string) string {
	return waited.ReplaceAllString(loopback.ReplaceAllString(text, "ADDR"), "${1}TIME")
}

// closed is an address at which nothing listens: the port is reserved for TCP multiplexing.
const closed = "127.0.0.1:1"

var _ = DescribeTable("prints the result",
	// Guards against unnoticed changes of the output that operators and scripts read.
	func(name string, want int, args ...string) {
		one, two := start(&fake{}), start(&fake{name: "entry-2"})
		args = append(args, "--operator", one.address, "--operator", two.address, "--operator", one.address)
		for _, format := range []string{"text", "json"} {
			code, out, errs := chivectl(append(args, "--output", format)...)
			Expect(code).To(Equal(want), errs)
			Expect(out + errs).To(golden.Match("testdata/" + name + "." + format))
		}
	},
	Entry("of check", "check", 0, "check", "testdata/files"),
	Entry("of check with faults", "faulty", 3, "check", "testdata/faulty"),
	Entry("of diff", "diff", 0, "diff", "testdata/files"),
	Entry("of config show", "config_show", 0, "config", "show"),
	Entry("of config confirmed", "config_confirmed", 0, "config", "confirmed"),
	Entry("of status", "status", 0, "status"),
	Entry("of burn", "burn", 0, "burn"),
)

var _ = DescribeTable("publishes and says what became of it",
	// Guards against a lost race, a refusal or an unknown outcome that passes for another, and
	// against a change that is sent again after it may have taken effect.
	func(f *fake, want int, wantText string, wantVersion int, args ...string) {
		start(f)
		spare := start(&fake{name: "entry-2"})
		code, out, errs := chivectl(append(args, "--operator", closed, "--operator", f.address, "--operator", spare.address)...)
		Expect(code).To(Equal(want), out+errs)
		Expect(out + errs).To(ContainSubstring(wantText))
		Expect(f.config.Version).To(BeEquivalentTo(wantVersion))
		Expect(spare.calls).To(BeZero())
	},
	Entry("accepted", &fake{confirmAfter: 3}, 0, "version 42 published, confirmed by 2 of 2 hosts", 42, "publish", "testdata/files"),
	Entry("accepted on the version it names", &fake{}, 0, "version 42 published", 42, "publish", "testdata/files", "--base", "41"),
	Entry("not confirmed by all", &fake{confirmAfter: 1000}, 8, "version 42 is not confirmed by entry-9", 42, "publish", "testdata/files"),
	Entry("lost race", &fake{}, 5, "version 41 by ada was published first", 41, "publish", "testdata/files", "--base", "40"),
	Entry("log down", &fake{publish: "log_down"}, 6, "log unavailable: no append for 3s", 41, "publish", "testdata/files"),
	Entry("refused by the host's own check", &fake{publish: "invalid"}, 6, `pool "x": unknown`, 41, "publish", "testdata/files"),
	Entry("unknown to the host", &fake{publish: "log_unknown"}, 7, "log unavailable", 41, "publish", "testdata/files"),
	Entry("connection lost before it took effect", &fake{publish: "cut"}, 7, "no answer to the publish call", 41, "publish", "testdata/files"),
	Entry("connection lost after it took effect", &fake{publish: "cut_applied"}, 0, "version 42 published", 42, "publish", "testdata/files"),
	Entry("faulty files", &fake{}, 3, "2 problems", 41, "publish", "testdata/faulty"),
	Entry("data centre out", &fake{}, 0, "+ data centre out thies-1", 42, "dc", "out", "thies-1"),
	Entry("data centre out that only entry hosts are in", &fake{}, 0, "+ data centre out ziguinchor-1", 42, "dc", "out", "ziguinchor-1"),
	Entry("data centre out already", &fake{}, 0, "no changes: version 41", 41, "dc", "out", "kaolack-1"),
	Entry("data centre in", &fake{}, 0, "- data centre out kaolack-1", 42, "dc", "in", "kaolack-1"),
	Entry("data centre in already", &fake{}, 0, "no changes: version 41", 41, "dc", "in", "thies-1"),
	Entry("data centre mistyped", &fake{}, 2, `want "thies-1", the nearest of`, 41, "dc", "out", "thies-l"),
	Entry("data centre that is not confirmed", &fake{confirmAfter: 1000}, 8, "not confirmed by entry-9", 42, "dc", "out", "thies-1"),
)

var _ = It("prints the settings in force and their origins", func() {
	// Guards against a flag that does not take precedence, or an origin that is not the file's line.
	for _, format := range []string{"text", "json"} {
		code, out, errs := chivectl("settings", "testdata/settings.ini", "--operator", "127.0.0.1:7100", "--output", format)
		Expect(code).To(BeZero(), errs)
		Expect(out).To(golden.Match("testdata/settings." + format))
	}
})

var _ = It("keeps what service files do not have, and publishes nothing twice", func() {
	// Guards against a publish that brings back a data centre that operators have taken out.
	f := start(&fake{})
	code, _, errs := chivectl("publish", "testdata/files", "--operator", f.address)
	Expect(code).To(BeZero(), errs)
	Expect(f.config.Doc.Out).To(Equal([]string{"kaolack-1"}))
	Expect(f.config.Author).To(Equal("dispatch"))
	code, out, _ := chivectl("publish", "testdata/files", "--operator", f.address)
	Expect(code).To(BeZero())
	Expect(out).To(ContainSubstring("no changes: version 42"))
	Expect(f.calls).To(Equal(1))
})

var _ = It("shows a configuration that reads back as itself", func() {
	// Guards against config show printing another configuration than the one in force.
	f := start(&fake{})
	_, out, _ := chivectl("config", "show", "--operator", f.address)
	dir := GinkgoT().TempDir()
	Expect(os.WriteFile(filepath.Join(dir, bundle.ServiceFile), []byte(out), 0o600)).To(Succeed())
	code, out, _ := chivectl("diff", dir, "--operator", f.address)
	Expect(code).To(BeZero())
	Expect(out).To(ContainSubstring("no changes"))
})

var _ = DescribeTable("fails with a code of its own",
	// Guards against a script that takes a failure for success, or for another failure.
	func(want int, wantText string, args ...string) {
		f := start(&fake{})
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
	Entry("nobody answers a read", 4, "no operator address answered", "config", "show", "--operator", closed),
	Entry("nobody answers a publish", 4, "no operator address answered", "publish", "testdata/files", "--operator", closed),
	Entry("some do not answer status", 9, "1 of the operator addresses did not answer", "status", "--operator", "LIVE", "--operator", closed),
	Entry("some do not answer burn", 9, "1 of the operator addresses did not answer", "burn", "--operator", closed, "--operator", "LIVE"),
	Entry("no such folder", 3, "collect service files", "check", "testdata/none"),
	Entry("no such settings file", 3, "want a readable file", "settings", "testdata/none.ini"),
)

var _ = It("bounds the wait for confirmations", func() {
	// Guards against a command that waits for a host that will never confirm.
	f := start(&fake{confirmAfter: 1 << 30})
	began := time.Now()
	code, out, _ := chivectl("dc", "out", "thies-1", "--operator", f.address, "-o", "json")
	Expect(code).To(Equal(8))
	Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
	var got struct {
		Confirmed, Unconfirmed []string
	}
	Expect(json.Unmarshal([]byte(out), &got)).To(Succeed())
	Expect(got.Confirmed).To(Equal([]string{"entry-1"}))
	Expect(got.Unconfirmed).To(Equal([]string{"entry-9"}))
})

var _ = It("writes the burn report as a page", func() {
	// Guards against a page that is cut off or not written.
	f := start(&fake{})
	page := filepath.Join(GinkgoT().TempDir(), "burn.html")
	code, _, errs := chivectl("burn", "--html", page, "--operator", f.address)
	Expect(code).To(BeZero(), errs)
	data, err := os.ReadFile(page)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(data)).To(And(ContainSubstring("union-lorry"), ContainSubstring("</html>")))
})

var _ = It("documents the exit codes in its help", func() {
	// Guards against codes that only the source tells.
	code, out, _ := chivectl("publish", "--help")
	Expect(code).To(BeZero())
	Expect(out).To(And(ContainSubstring("Exit codes:"), ContainSubstring("5  conflict"), ContainSubstring("--base=V")))
})

var _ = DescribeTable("prints a completion script", func(shell, want string) {
	// Guards against a script for another shell.
	code, out, _ := chivectl("completion", shell)
	Expect(code).To(BeZero())
	Expect(out).To(ContainSubstring(want))
},
	Entry("bash", "bash", "complete -C"),
	Entry("zsh", "zsh", "bashcompinit"),
	Entry("fish", "fish", "complete -f -c chivectl"),
)
