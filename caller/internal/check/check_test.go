package check_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"chivepost/caller/internal/check"
	"chivepost/share/bundle"
	"chivepost/share/events"
	"chivepost/share/target"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCheck(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "check")
}

func config() *bundle.Bundle {
	b, err := bundle.New(bundle.Doc{
		Pools:     []bundle.PoolDoc{{Name: "once", Kind: bundle.KindService, Limit: 8, ColdLimit: 2}},
		Targets:   []bundle.TargetDoc{{Name: "t", Pool: "once"}, {Name: "u", Pool: "once"}},
		Pipelines: []bundle.PipelineDoc{{Name: "p", Deadline: 1, Stages: []bundle.StageDoc{{Name: "s", Pool: "once", Timeout: 1}}}},
	})
	Expect(err).NotTo(HaveOccurred())
	return b
}

func sent(work string) events.Event {
	return events.Event{Kind: events.Sent, Request: work, Stage: "p", Host: "e"}
}

func got(work, outcome, detail string) events.Event {
	return events.Event{Kind: events.Received, Request: work, Stage: "p", Host: "e", Outcome: outcome, Detail: detail}
}

func hostEvent(kind events.Kind, run, stage string) events.Event {
	return events.Event{Kind: kind, Host: "e", Run: run, Stage: stage, Attempt: stage}
}

func finished(name, work string) events.Event {
	return events.Event{Kind: events.Finished, Target: name, Request: work, Outcome: "answered"}
}

func configEvent(at time.Duration, v int64) events.Event {
	return events.Event{Kind: events.ConfigApplied, Host: "e", At: at, Version: v}
}

func stateEvent(at time.Duration, detail string) events.Event {
	return events.Event{Kind: events.StateChanged, Target: "t", At: at, Detail: detail}
}

func started(at time.Duration, attempt string, load int) events.Event {
	return events.Event{Kind: events.Started, Target: "t", At: at, Run: "r", Stage: "s", Attempt: attempt, Load: load}
}

var options = check.Options{HasLedgers: true, ColdNotice: time.Second, LeavingBound: 4 * time.Second, Strict: true}

func run(opts check.Options, list ...events.Event) check.Report {
	opts.Bundle = config()
	return check.Run([]check.EventFile{{Name: "all", Events: list}}, opts)
}

// Guards against a violation that the checker does not report.
var _ = DescribeTable("finds violations",
	func(want check.Violations, list ...events.Event) {
		Expect(run(options, list...).Violations).To(Equal(want))
	},
	Entry("nothing", check.Violations{}, sent("w"), got("w", "answered", ""), finished("t", "w"),
		hostEvent(events.Accepted, "r", ""), hostEvent(events.Sending, "r", "s"), hostEvent(events.Result, "r", "s"), hostEvent(events.Ended, "r", "")),
	Entry("work done by two targets", check.Violations{ExecutedTwice: 1},
		sent("w"), got("w", "answered", ""), finished("t", "w"), finished("u", "w")),
	Entry("an attempt started twice", check.Violations{ExecutedTwice: 1}, started(0, "1", 1), started(0, "1", 1)),
	Entry("an answer to another request", check.Violations{GivenToAnother: 1}, sent("w"), got("w", "answered", "wrong"), finished("t", "w")),
	Entry("an incomplete answer", check.Violations{Incomplete: 1}, sent("w"), got("w", "answered", "incomplete"), finished("t", "w")),
	Entry("a request without an end in its caller's events", check.Violations{Lost: 1, NoOutcome: 1}, sent("w")),
	Entry("an answer without an execution", check.Violations{Lost: 1}, sent("w"), got("w", "answered", "")),
	Entry("an accepted request without an end", check.Violations{Lost: 1}, hostEvent(events.Accepted, "r", "")),
	Entry("an attempt without a result", check.Violations{Lost: 1}, hostEvent(events.Sending, "r", "s")),
	Entry("a result without an attempt", check.Violations{Lost: 1}, hostEvent(events.Result, "r", "s")),
	Entry("refused but run", check.Violations{RefusedButRun: 1}, sent("w"), got("w", "refused", ""), finished("t", "w")),
	Entry("failed but run", check.Violations{RefusedButRun: 1}, sent("w"), got("w", "failed", ""), finished("t", "w")),
	Entry("refused after a broken attempt", check.Violations{NoOutcome: 1},
		sent("w"), got("w", "broken", ""), sent("w"), got("w", "refused", ""), finished("t", "w")),
	Entry("calls above the cold limit at a cold start", check.Violations{AboveColdLimit: 1},
		stateEvent(0, "cold"), started(0, "1", 2), started(0, "2", 3)),
	Entry("calls above the cold limit later than ColdNotice after a warm target turned cold", check.Violations{AboveColdLimit: 1},
		stateEvent(0, "warm"), stateEvent(time.Second, "cold"), started(1500*time.Millisecond, "1", 3), started(2500*time.Millisecond, "2", 3)),
	Entry("calls above the cold limit after a target was down", check.Violations{AboveColdLimit: 1},
		stateEvent(0, "warm"), stateEvent(time.Second, "fallen"), stateEvent(2*time.Second, "cold"), started(2*time.Second, "1", 3)),
	Entry("calls above the cold limit at a cold target that begins to leave", check.Violations{AboveColdLimit: 1},
		stateEvent(0, "warm"), stateEvent(time.Second, "cold"), stateEvent(2*time.Second, "leaving_cold"), started(2500*time.Millisecond, "1", 3)),
	Entry("a call to a leaving target that turned cold", check.Violations{OnLeaving: 1},
		stateEvent(0, "leaving"), stateEvent(3*time.Second, "leaving_cold"), stateEvent(4*time.Second, "fallen"), started(5*time.Second, "1", 1)),
	Entry("a change back to an older configuration", check.Violations{ConfigReverted: 1}, configEvent(1, 5), configEvent(2, 7), configEvent(3, 5), configEvent(1, 6)),
	Entry("a call to a leaving target", check.Violations{OnLeaving: 1},
		stateEvent(0, "leaving"), started(3*time.Second, "1", 1), started(5*time.Second, "2", 1)),
)

// Guards against overlooking a second execution that only the ledgers show because the
// target's events were lost.
var _ = It("adds up the ledgers of all targets", func() {
	opts := options
	opts.Ledgers = []target.LedgerEntry{{ID: "w", Pool: "once", Count: 1}, {ID: "w", Pool: "once", Count: 1}, {ID: "v", Pool: "other", Count: 5}}
	Expect(run(opts, finished("t", "w")).Violations).To(Equal(check.Violations{ExecutedTwice: 1}))
})

// Guards against counting requests that a killed host left unfinished as lost.
var _ = It("ignores requests that a killed host left unfinished", func() {
	opts := options
	opts.Killed = []string{"e"}
	Expect(run(opts, hostEvent(events.Accepted, "r", ""), hostEvent(events.Sending, "r", "s")).Violations.Total()).To(Equal(0))
})

// Guards against outcome counts that don't add up to the number of requests.
var _ = It("sums up requests by their final outcome", func() {
	report := run(options,
		sent("a"), got("a", "refused", ""), sent("a"), got("a", "answered", ""), finished("t", "a"),
		sent("b"), got("b", "refused", ""), sent("c"), got("c", "failed", ""), sent("d"), got("d", "unknown", ""),
		sent("e"), got("e", "broken", ""), sent("f"), got("f", "unsent", ""))
	Expect([]int{report.Sent, report.Answered, report.Refused, report.Failed, report.Unknown, report.NoOutcome, report.Attempts}).
		To(Equal([]int{6, 1, 2, 1, 1, 1, 7}))
	Expect(report.Violations).To(Equal(check.Violations{NoOutcome: 1}))
	var table bytes.Buffer
	Expect(report.WriteTable(&table)).To(Succeed())
	Expect(table.String()).To(MatchRegexp(`(?m)^no outcome, strict +1$`))
})

// Guards against rejecting a killed process's events because their last line is truncated.
var _ = It("reads events up to a truncated last line", func() {
	file, err := check.ReadEvents("f", strings.NewReader("{\"kind\":\"sent\"}\n\n{\"kind\":\"go"))
	Expect(err).NotTo(HaveOccurred())
	Expect(file.Events).To(HaveLen(1))
	_, err = check.ReadEvents("f", strings.NewReader("{\"kind\n{\"kind\":\"got\"}\n"))
	Expect(err).To(HaveOccurred())
})
