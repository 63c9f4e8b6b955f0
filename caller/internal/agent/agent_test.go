package agent_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"chivepost/caller/internal/agent"
	"chivepost/share/apiv1"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAgent(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "agent")
}

// step answers one request at an entry host.
type step func(w http.ResponseWriter, id string)

// entry is an entry host that answers requests step by step, the last step again
// and again, and names the given addresses.
type entry struct {
	*httptest.Server
	mu    sync.Mutex
	steps []step
	ids   []string
	asked int
}

func newEntry(steps ...step) *entry {
	e := &entry{steps: steps}
	e.Server = httptest.NewServer(e)
	DeferCleanup(e.Close)
	return e
}

func (e *entry) address() string { return e.Listener.Addr().String() }

func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.URL.Path == "/v1/address" {
		e.asked++
		_, _ = fmt.Fprintf(w, `{"addresses":[%q],"hold":"150ms","position":7}`, e.address())
		return
	}
	var body apiv1.Request
	_ = json.NewDecoder(r.Body).Decode(&body)
	s := e.steps[min(len(e.ids), len(e.steps)-1)]
	e.ids = append(e.ids, body.ID)
	s(w, body.ID)
}

func (e *entry) seen() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ids
}

func answer(output string) step {
	return func(w http.ResponseWriter, id string) { _ = json.NewEncoder(w).Encode(apiv1.NewAnswer(id, output)) }
}

func problem(outcome apiv1.Outcome, kind string, addresses ...string) step {
	return func(w http.ResponseWriter, id string) {
		w.Header().Set("Content-Type", apiv1.ProblemType)
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(apiv1.Problem{Type: kind, ID: id, Outcome: outcome, Addresses: addresses})
	}
}

func breakOff(http.ResponseWriter, string) { panic(http.ErrAbortHandler) }

func events(text string) step {
	return func(w http.ResponseWriter, id string) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprint(w, strings.ReplaceAll(text, "ID", id))
	}
}

func do(once bool, entries ...*entry) agent.Report {
	a := newAgent(entries...)
	defer a.Close()
	return a.Do(context.Background(), job(once))
}

func newAgent(entries ...*entry) *agent.Agent {
	opts := agent.Options{MaxAttempts: 4, Grace: time.Second}
	for _, e := range entries {
		opts.EntryHosts = append(opts.EntryHosts, e.address())
	}
	return agent.New(opts)
}

func job(once bool) agent.Job {
	return agent.Job{WorkID: "w", Pipeline: "p", Secret: "s", ExpectedOutput: "out", Deadline: 2 * time.Second, AtMostOnce: once}
}

var _ = Describe("an agent", func() {
	// Guards against a refusal that is final although another host was named.
	It("goes to the address that a refusal names", func() {
		other := newEntry(answer("out"))
		first := newEntry(problem(apiv1.Refused, apiv1.ProblemMoved, other.address()))
		report := do(true, first)
		Expect(report.Outcome).To(Equal(apiv1.Answered))
		Expect(report.InTime).To(BeTrue())
		Expect(report.Host).To(Equal(other.address()))
		Expect(first.seen()).To(HaveLen(1))
		Expect(other.seen()[0]).To(HavePrefix("7-"))
		Expect(other.seen()[0]).NotTo(Equal(first.seen()[0]))
	})

	// Guards against a second execution of work that may have run.
	It("never repeats after unknown what runs at most once", func() {
		e := newEntry(problem(apiv1.Unknown, apiv1.ProblemClaimed))
		Expect(do(true, e).Outcome).To(Equal(apiv1.Unknown))
		Expect(e.seen()).To(HaveLen(1))
		Expect(do(false, e).Outcome).To(Equal(apiv1.Unknown))
		Expect(e.seen()).To(HaveLen(1 + 4))
	})

	// Guards against a new id for work that an earlier attempt may still run.
	It("keeps the id after a broken connection until the id is released", func() {
		e := newEntry(breakOff, problem(apiv1.Refused, apiv1.ProblemOverload), problem(apiv1.Refused, apiv1.ProblemReleased), answer("out"))
		Expect(do(true, e).Outcome).To(Equal(apiv1.Answered))
		ids := e.seen()
		Expect(ids).To(HaveLen(4))
		Expect(ids[1]).To(Equal(ids[0]))
		Expect(ids[2]).To(Equal(ids[0]))
		Expect(ids[3]).NotTo(Equal(ids[0]))
	})

	// Guards against a refusal that is believed for an attempt at another host.
	It("reports no outcome if a broken attempt is followed by refusals", func() {
		e := newEntry(breakOff, problem(apiv1.Refused, apiv1.ProblemOverload))
		Expect(do(true, e).Outcome).To(Equal(agent.Broken))
	})

	// Guards against requests to a host that has left since it was named.
	It("asks again after the hold", func() {
		e := newEntry(answer("out"))
		a := newAgent(e)
		defer a.Close()
		for range 3 {
			Expect(a.Do(context.Background(), job(true)).Outcome).To(Equal(apiv1.Answered))
		}
		Expect(e.asked).To(Equal(1))
		time.Sleep(200 * time.Millisecond)
		a.Do(context.Background(), job(true))
		Expect(e.asked).To(Equal(2))
		other := job(true)
		other.Client = 1
		a.Do(context.Background(), other)
		Expect(e.asked).To(Equal(3))
	})

	// Guards against a host that is down and stops all requests.
	It("asks another entry host if one does not answer", func() {
		down := newEntry(answer("out"))
		down.Close()
		Expect(do(true, down, newEntry(answer("out"))).Outcome).To(Equal(apiv1.Answered))
		report := do(true, down)
		Expect(report.Outcome).To(Equal(agent.Unsent))
		Expect(report.Attempts).To(Equal(0))
	})
})

const (
	tokens = "event: token\ndata: {\"index\":0,\"text\":\"o\"}\n\nevent: token\ndata: {\"index\":1,\"text\":\"ut\"}\n\n"
	late   = "event: token\ndata: {\"index\":3,\"text\":\"x\"}\n\n"
	failed = "event: error\ndata: {\"type\":\"stage_failed\",\"outcome\":\"failed\"}\n\n"
)

func end(id, sum string) string {
	return fmt.Sprintf("event: end\ndata: {\"id\":%q,\"count\":2,\"checksum\":%q}\n\n", id, sum)
}

// Guards against a damaged or foreign answer that is counted as a good one.
var _ = DescribeTable("checks each answer",
	func(s step, outcome apiv1.Outcome, flaw string) {
		report := do(true, newEntry(s))
		Expect(report.Outcome).To(Equal(outcome))
		Expect(report.Flaw).To(Equal(flaw))
		Expect(report.InTime).To(Equal(flaw == "" && outcome == apiv1.Answered))
	},
	Entry("whole", answer("out"), apiv1.Answered, ""),
	Entry("another's output", answer("other"), apiv1.Answered, agent.FlawWrong),
	Entry("another's id", step(func(w http.ResponseWriter, _ string) { answer("out")(w, "x") }), apiv1.Answered, agent.FlawWrong),
	Entry("cut short", step(func(w http.ResponseWriter, id string) {
		_, _ = fmt.Fprintf(w, `{"id":%q,"output":"ou","length":3}`, id)
	}), apiv1.Answered, agent.FlawIncomplete),
	Entry("stream", events(tokens+end("ID", apiv1.Checksum("out"))), apiv1.Answered, ""),
	Entry("stream with another's id", events(tokens+end("x", apiv1.Checksum("out"))), apiv1.Answered, agent.FlawWrong),
	Entry("stream with other bytes", events(tokens+end("ID", "0")), apiv1.Answered, agent.FlawIncomplete),
	Entry("stream with a gap", events(tokens+late), apiv1.Answered, agent.FlawIncomplete),
	Entry("stream without an end", events(tokens), agent.Broken, ""),
	Entry("stream that fails", events(tokens+failed), apiv1.Failed, ""),
)
