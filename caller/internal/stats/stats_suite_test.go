package stats_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"testing"
	"time"

	"chivepost/caller/internal/agent"
	"chivepost/caller/internal/stats"
	"chivepost/share/apiv1"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var update = flag.Bool("update", false, "rewrite golden files")

func TestStats(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "stats")
}

func summary() stats.Summary {
	c := stats.New()
	for i := range 100 {
		c.Add(agent.Report{
			Pipeline: "read", Account: "large", Outcome: apiv1.Answered, Attempts: 1, InTime: i < 99,
			Latency: time.Duration(i+1) * 10 * time.Millisecond, FirstToken: 5 * time.Millisecond,
			TokenGaps: []time.Duration{2 * time.Millisecond},
		})
	}
	c.Add(agent.Report{Pipeline: "book", Account: "small", Outcome: apiv1.Refused, Attempts: 4, Problem: &apiv1.Problem{Type: "overload"}})
	c.Add(agent.Report{Pipeline: "book", Account: "small", Outcome: agent.Broken, Attempts: 2})
	c.Add(agent.Report{Pipeline: "book", Account: "small", Outcome: apiv1.Answered, Flaw: agent.FlawWrong, Attempts: 1, Latency: time.Second})
	return c.Summary("label", 1, 10*time.Second)
}

// Guards against unnoticed changes of the output that scripts and operators read.
var _ = DescribeTable("writes a summary",
	func(name string, write func(*bytes.Buffer) error) {
		var got bytes.Buffer
		Expect(write(&got)).To(Succeed())
		golden := "testdata/" + name + ".golden"
		if *update {
			Expect(os.WriteFile(golden, got.Bytes(), 0o600)).To(Succeed())
		}
		want, err := os.ReadFile(golden)
		Expect(err).NotTo(HaveOccurred())
		Expect(got.String()).To(Equal(string(want)))
	},
	Entry(nil, "table", func(w *bytes.Buffer) error { return summary().WriteTable(w) }),
	Entry(nil, "json", func(w *bytes.Buffer) error {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(summary())
	}),
)
