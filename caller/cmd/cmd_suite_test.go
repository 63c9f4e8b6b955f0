package cmd_test

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"chivepost/caller/cmd"
	"chivepost/share/bundle"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCmd(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cmd")
}

func writeFile(name, text string) string {
	path := filepath.Join(GinkgoT().TempDir(), name)
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

func configFile() string {
	b, err := bundle.New(bundle.Doc{
		Pools:     []bundle.PoolDoc{{Name: "book", Kind: bundle.KindService, Limit: 1, ColdLimit: 1}},
		Pipelines: []bundle.PipelineDoc{{Name: "p", Deadline: 1, Stages: []bundle.StageDoc{{Name: "s", Pool: "book", Timeout: 1}}}},
		Accounts:  []bundle.AccountDoc{{Name: "a", Share: 1}},
	})
	Expect(err).NotTo(HaveOccurred())
	data, err := b.Encode()
	Expect(err).NotTo(HaveOccurred())
	return writeFile("bundle.json", string(data))
}

func run(args ...string) (int, string) {
	var out bytes.Buffer
	code := cmd.Main(args, &out, &out)
	return code, out.String()
}

// Guards against a failed check whose exit code does not show it.
var _ = DescribeTable("check returns an exit code",
	func(code int, ledger string, message string) {
		events := writeFile("events.jsonl", `{"kind":"sent","request":"w","stage":"p"}`+"\n"+
			`{"kind":"got","request":"w","stage":"p","outcome":"answered"}`+"\n")
		got, out := run("check", "--bundle", configFile(), "--ledger", writeFile("ledger.json", ledger), events)
		Expect(got).To(Equal(code), out)
		Expect(out).To(ContainSubstring(message))
	},
	Entry("for a run without violations", 0, `{"entries":[{"id":"w","pool":"book","count":1}]}`, "executed twice"),
	Entry("for work executed twice", 1, `{"entries":[{"id":"w","pool":"book","count":2}]}`, "w was executed 2 times"),
	Entry("for a ledger that can't be read", 2, `{"entries":`, "read ledger"),
)

// Guards against wrong answers that do not change the exit code.
var _ = It("load and send fail on wrong answers", func() {
	var entry *httptest.Server
	entry = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/address" {
			_, _ = fmt.Fprintf(w, `{"addresses":[%q],"hold":"3s","position":1}`, entry.Listener.Addr())
			return
		}
		_, _ = fmt.Fprint(w, `{"id":"other","output":"other"}`)
	}))
	defer entry.Close()
	flags := []string{"--entry", entry.Listener.Addr().String(), "--bundle", configFile()}
	code, out := run(append([]string{"load", "--rate", "50", "--duration", "200ms"}, flags...)...)
	Expect(code).To(Equal(1), out)
	code, out = run(append([]string{"send", "p", "--account", "a"}, flags...)...)
	Expect(code).To(Equal(1), out)
	Expect(out).To(ContainSubstring("answer is wrong"))
	code, out = run("load", "--entry", "127.0.0.1:1")
	Expect(code).To(Equal(2), out)
})
