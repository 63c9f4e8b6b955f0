package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"

	"chivepost/share/apiv1"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against an explanation that drops parameters of the question or parts of the answer.
var _ = Describe("explain", func() {
	run := func(format string) (string, int) {
		host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			q := r.URL.Query()
			if r.URL.Path != apiv1.PathExplain || q.Get(apiv1.ParamHost) != "svc" || q.Get(apiv1.ParamAccount) != "acme" || q.Get(apiv1.ParamPrefix) != "a1:500" {
				http.Error(w, "no route has this host and path", http.StatusNotFound)
				return
			}
			_ = json.NewEncoder(w).Encode(apiv1.Explanation{Host: "h1", Route: "r", StageHome: "h2", Services: []apiv1.ServiceExplanation{
				{Service: "llm", Weight: 1, Chosen: "t1", Targets: []apiv1.TargetExplanation{{Target: "t1", State: "available"}}},
				{Service: "other", Refusal: "all targets are busy"},
			}})
		}))
		defer host.Close()
		var out, errs bytes.Buffer
		code := Main(context.Background(), []string{
			"-o", format, "explain", "--metrics", strings.TrimPrefix(host.URL, "http://"), "--account", "acme", "--prefix", "a1:500", "svc", "/x/",
		}, &out, &errs)
		return out.String() + errs.String(), code
	}
	It("prints the choice as text", func() {
		text, code := run("text")
		Expect(code).To(BeZero(), text)
		Expect(text).To(And(ContainSubstring("goes to t1"), ContainSubstring("is refused: all targets are busy"), ContainSubstring("h2")))
	})
	It("prints the choice as JSON", func() {
		text, code := run("json")
		Expect(code).To(BeZero(), text)
		Expect(text).To(ContainSubstring(`"chosen": "t1"`))
	})
})
