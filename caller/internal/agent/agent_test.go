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

// handler answers one request at an entry host.
type handler func(w http.ResponseWriter, id string)

// fakeEntry is an entry host that answers its n-th request with the n-th handler, and all
// further ones with the last. A fetch of addresses returns its own address only.
type fakeEntry struct {
	*httptest.Server
	mu             sync.Mutex
	handlers       []handler
	ids            []string
	addressFetches int
}

func newFakeEntry(handlers ...handler) *fakeEntry {
	e := &fakeEntry{handlers: handlers}
	e.Server = httptest.NewServer(e)
	DeferCleanup(e.Close)
	return e
}

func (e *fakeEntry) address() string { return e.Listener.Addr().String() }

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.URL.Path == "/v1/address" {
		e.addressFetches++
		_, _ = fmt.Fprintf(w, `{"addresses":[%q],"hold":"150ms","position":7}`, e.address())
		return
	}
	var body apiv1.Request
	_ = json.NewDecoder(r.Body).Decode(&body)
	handle := e.handlers[min(len(e.ids), len(e.handlers)-1)]
	e.ids = append(e.ids, body.ID)
	handle(w, body.ID)
}

func (e *fakeEntry) receivedIDs() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ids
}

func answer(output string) handler {
	return func(w http.ResponseWriter, id string) { _ = json.NewEncoder(w).Encode(apiv1.NewAnswer(id, output)) }
}

func problem(outcome apiv1.Outcome, kind string, addresses ...string) handler {
	return func(w http.ResponseWriter, id string) {
		w.Header().Set("Content-Type", apiv1.ProblemType)
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(apiv1.Problem{Type: kind, ID: id, Outcome: outcome, Addresses: addresses})
	}
}

func closeConnection(http.ResponseWriter, string) { panic(http.ErrAbortHandler) }

func eventStream(text string) handler {
	return func(w http.ResponseWriter, id string) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprint(w, strings.ReplaceAll(text, "ID", id))
	}
}

func runJob(atMostOnce bool, entries ...*fakeEntry) agent.Report {
	a := newAgent(entries...)
	defer a.Close()
	return a.Do(context.Background(), job(atMostOnce))
}

func newAgent(entries ...*fakeEntry) *agent.Agent {
	opts := agent.Options{MaxAttempts: 4, Grace: time.Second}
	for _, e := range entries {
		opts.EntryHosts = append(opts.EntryHosts, e.address())
	}
	return agent.New(opts)
}

func job(atMostOnce bool) agent.Job {
	return agent.Job{WorkID: "w", Pipeline: "p", Secret: "s", ExpectedOutput: "out", Deadline: 2 * time.Second, AtMostOnce: atMostOnce}
}

var _ = Describe("an agent", func() {
	// Guards against treating a refusal as final although it gives another host's address.
	It("sends the request to the address given in a refusal", func() {
		other := newFakeEntry(answer("out"))
		first := newFakeEntry(problem(apiv1.Refused, apiv1.ProblemMoved, other.address()))
		report := runJob(true, first)
		Expect(report.Outcome).To(Equal(apiv1.Answered))
		Expect(report.InTime).To(BeTrue())
		Expect(report.Host).To(Equal(other.address()))
		Expect(first.receivedIDs()).To(HaveLen(1))
		Expect(other.receivedIDs()[0]).To(HavePrefix("7-"))
		Expect(other.receivedIDs()[0]).NotTo(Equal(first.receivedIDs()[0]))
	})

	// Guards against a second execution of work that may have run already.
	It("never retries a pipeline that runs at most once after an unknown outcome", func() {
		e := newFakeEntry(problem(apiv1.Unknown, apiv1.ProblemClaimedElsewhere))
		Expect(runJob(true, e).Outcome).To(Equal(apiv1.Unknown))
		Expect(e.receivedIDs()).To(HaveLen(1))
		Expect(runJob(false, e).Outcome).To(Equal(apiv1.Unknown))
		Expect(e.receivedIDs()).To(HaveLen(1 + 4))
	})

	// Guards against a new ID while an earlier attempt may still run the work.
	It("keeps the id after a broken connection until the id is released", func() {
		e := newFakeEntry(closeConnection, problem(apiv1.Refused, apiv1.ProblemOverload), problem(apiv1.Refused, apiv1.ProblemIDReleased), answer("out"))
		Expect(runJob(true, e).Outcome).To(Equal(apiv1.Answered))
		ids := e.receivedIDs()
		Expect(ids).To(HaveLen(4))
		Expect(ids[1]).To(Equal(ids[0]))
		Expect(ids[2]).To(Equal(ids[0]))
		Expect(ids[3]).NotTo(Equal(ids[0]))
	})

	// Guards against reporting a refusal although an earlier attempt at another host may have run.
	It("reports no outcome if a broken attempt is followed by refusals", func() {
		e := newFakeEntry(closeConnection, problem(apiv1.Refused, apiv1.ProblemOverload))
		Expect(runJob(true, e).Outcome).To(Equal(agent.Broken))
	})

	// Guards against requests to a host that has left since its address was fetched.
	It("fetches addresses again after they have expired, and for each client", func() {
		e := newFakeEntry(answer("out"))
		a := newAgent(e)
		defer a.Close()
		for range 3 {
			Expect(a.Do(context.Background(), job(true)).Outcome).To(Equal(apiv1.Answered))
		}
		Expect(e.addressFetches).To(Equal(1))
		time.Sleep(200 * time.Millisecond)
		a.Do(context.Background(), job(true))
		Expect(e.addressFetches).To(Equal(2))
		other := job(true)
		other.Client = 1
		a.Do(context.Background(), other)
		Expect(e.addressFetches).To(Equal(3))
	})

	// Guards against one unreachable entry host that makes all requests fail.
	It("fetches addresses from another entry host if one does not answer", func() {
		down := newFakeEntry(answer("out"))
		down.Close()
		Expect(runJob(true, down, newFakeEntry(answer("out"))).Outcome).To(Equal(apiv1.Answered))
		report := runJob(true, down)
		Expect(report.Outcome).To(Equal(agent.Unsent))
		Expect(report.Attempts).To(Equal(0))
	})
})

const (
	tokens     = "event: token\ndata: {\"index\":0,\"text\":\"o\"}\n\nevent: token\ndata: {\"index\":1,\"text\":\"ut\"}\n\n"
	gapped     = "event: token\ndata: {\"index\":3,\"text\":\"x\"}\n\n"
	errorEvent = "event: error\ndata: {\"type\":\"stage_failed\",\"outcome\":\"failed\"}\n\n"
)

func endEvent(id, checksum string) string {
	return fmt.Sprintf("event: end\ndata: {\"id\":%q,\"count\":2,\"checksum\":%q}\n\n", id, checksum)
}

// Guards against counting a damaged answer, or one to another request, as correct.
var _ = DescribeTable("checks each answer",
	func(h handler, outcome apiv1.Outcome, flaw string) {
		report := runJob(true, newFakeEntry(h))
		Expect(report.Outcome).To(Equal(outcome))
		Expect(report.Flaw).To(Equal(flaw))
		Expect(report.InTime).To(Equal(flaw == "" && outcome == apiv1.Answered))
	},
	Entry("whole", answer("out"), apiv1.Answered, ""),
	Entry("another request's output", answer("other"), apiv1.Answered, agent.FlawWrong),
	Entry("another request's id", handler(func(w http.ResponseWriter, _ string) { answer("out")(w, "x") }), apiv1.Answered, agent.FlawWrong),
	Entry("truncated answer", handler(func(w http.ResponseWriter, id string) {
		_, _ = fmt.Fprintf(w, `{"id":%q,"output":"ou","length":3}`, id)
	}), apiv1.Answered, agent.FlawIncomplete),
	Entry("stream", eventStream(tokens+endEvent("ID", apiv1.Checksum("out"))), apiv1.Answered, ""),
	Entry("stream with another request's id", eventStream(tokens+endEvent("x", apiv1.Checksum("out"))), apiv1.Answered, agent.FlawWrong),
	Entry("stream with a wrong checksum", eventStream(tokens+endEvent("ID", "0")), apiv1.Answered, agent.FlawIncomplete),
	Entry("stream with a missing token", eventStream(tokens+gapped), apiv1.Answered, agent.FlawIncomplete),
	Entry("stream without an end event", eventStream(tokens), agent.Broken, ""),
	Entry("stream with an error event", eventStream(tokens+errorEvent), apiv1.Failed, ""),
)
