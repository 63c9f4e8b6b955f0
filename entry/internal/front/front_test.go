package front_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"chivepost/entry/internal/chain"
	"chivepost/entry/internal/front"
	"chivepost/entry/internal/memory"
	"chivepost/share/apiv1"
	"chivepost/share/bundle"
	"chivepost/share/events"
	"chivepost/share/units"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFront(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "front")
}

// fake implements the controllers that the handlers and filters use.
type fake struct {
	config        *bundle.Bundle
	version       int64
	next          *bundle.Bundle // in force from the next MayServe on
	notServing    bool
	mayServeErr   error
	dataCentreOut bool
	leaving       bool
	logAge        time.Duration
	badOutcomes   int
	answer        func(req *chain.Request) chain.Outcome
	accepted      int
}

func (f *fake) Current() (*bundle.Bundle, int64) { return f.config, f.version }
func (f *fake) Addresses(string) apiv1.Address {
	return apiv1.Address{Addresses: []string{"127.0.0.1:1"}, ValidFor: units.Duration(3 * time.Second), ClaimsOffset: 5}
}
func (f *fake) IsLeaving() bool { return f.leaving }
func (f *fake) BeginRequest(ctx context.Context, _ time.Time) (context.Context, func(), bool) {
	return ctx, func() {}, !f.notServing
}

func (f *fake) MayServe() error {
	if f.next != nil {
		f.config, f.version = f.next, f.version+1
	}
	return f.mayServeErr
}
func (f *fake) IsDataCentreOut() bool    { return f.dataCentreOut }
func (f *fake) OtherAddresses() []string { return []string{"127.0.0.1:2"} }
func (f *fake) Add(events.Event)         {}

type outcomeCounter struct{ f *fake }

func (b outcomeCounter) Add(_, _ string, good bool) {
	if !good {
		b.f.badOutcomes++
	}
}

func newFake() *fake {
	b, err := bundle.New(bundle.Doc{
		Pools: []bundle.PoolDoc{
			{Name: "rank", Kind: bundle.KindStage, Retryable: true, Limit: 2, ColdLimit: 1},
			{Name: "book", Kind: bundle.KindService, Limit: 2, ColdLimit: 1},
		},
		Pipelines: []bundle.PipelineDoc{
			{Name: "ask", Deadline: units.Duration(5 * time.Second), Stages: []bundle.StageDoc{{Name: "s", Pool: "rank", Timeout: 1}}},
			{Name: "order", Deadline: units.Duration(5 * time.Second), Stages: []bundle.StageDoc{{Name: "s", Pool: "book", Timeout: 1}}},
		},
		Accounts: []bundle.AccountDoc{{Name: "alpha", Credential: bundle.HashCredential("secret"), Share: 1}},
	})
	Expect(err).NotTo(HaveOccurred())
	return &fake{config: b, answer: func(req *chain.Request) chain.Outcome {
		return chain.Answered(req.Body.ID, "answer to "+req.Body.Input)
	}}
}

func (f *fake) router() http.Handler {
	run := chain.New([]chain.Filter{
		front.NewReadyFilter(f, f, f, f), front.NewDeadlineFilter(), front.NewConflictFilter(),
		front.NewLogFilter(func() time.Duration { return f.logAge }, 2*time.Second),
	}, func(_ context.Context, req *chain.Request) chain.Outcome {
		f.accepted++
		return f.answer(req)
	})
	return front.NewCallerHandler(front.Options{Host: "h", MaxBody: 200}, f, f, f, outcomeCounter{f}, run).Router()
}

func (f *fake) post(path, secret, body string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+secret)
	rec := httptest.NewRecorder()
	f.router().ServeHTTP(rec, req)
	return rec
}

const (
	askPath  = "/v1/pipelines/ask/requests"
	goodBody = `{"id":"5-abcdefgh","deadline":"2s","input":"x"}`
)

// Guards against refusals with a wrong type or status, and refusals after the request
// has been run.
var _ = DescribeTable("refused requests",
	func(path, secret, body string, change func(f *fake), status int, problem string) {
		f := newFake()
		change(f)
		rec := f.post(path, secret, body)
		var p apiv1.Problem
		Expect(json.Unmarshal(rec.Body.Bytes(), &p)).To(Succeed())
		Expect(rec.Code).To(Equal(status))
		Expect(rec.Header().Get("Content-Type")).To(Equal(apiv1.ProblemType))
		Expect(p.Type).To(Equal(problem))
		Expect(p.Outcome).To(Equal(apiv1.Refused))
		Expect(f.accepted).To(BeZero())
	},
	Entry("no credential", askPath, "", goodBody, func(*fake) {}, 401, apiv1.ProblemUnauthorized),
	Entry("an unknown credential", askPath, "other", goodBody, func(*fake) {}, 401, apiv1.ProblemUnauthorized),
	Entry("an unknown pipeline", "/v1/pipelines/none/requests", "secret", goodBody, func(*fake) {}, 404, apiv1.ProblemNotFound),
	Entry("a body that is too large", askPath, "secret", `{"id":"`+strings.Repeat("x", 300)+`"}`, func(*fake) {}, 413, apiv1.ProblemTooLarge),
	Entry("a body that is not JSON", askPath, "secret", `{"id":`, func(*fake) {}, 400, apiv1.ProblemBadRequest),
	Entry("no id", askPath, "secret", `{"input":"x"}`, func(*fake) {}, 400, apiv1.ProblemBadRequest),
	Entry("a deadline without a unit", askPath, "secret", `{"id":"5-abcdefgh","deadline":"2"}`, func(*fake) {}, 400, apiv1.ProblemBadRequest),
	Entry("a deadline in the past", askPath, "secret", `{"id":"5-abcdefgh","deadline":"-1s"}`, func(*fake) {}, 504, apiv1.ProblemDeadline),
	Entry("no configuration", askPath, "secret", goodBody, func(f *fake) { f.config = nil }, 503, apiv1.ProblemUnready),
	Entry("a host that is shutting down", askPath, "secret", goodBody, func(f *fake) { f.notServing = true }, 503, apiv1.ProblemUnready),
	Entry("a host that can't confirm its configuration", askPath, "secret", goodBody, func(f *fake) { f.mayServeErr = errors.New("alone") }, 503, apiv1.ProblemUnready),
	Entry("a host in a data centre that has been taken out", askPath, "secret", goodBody, func(f *fake) { f.dataCentreOut = true }, 503, apiv1.ProblemMoved),
	Entry("a call that needs a claim while the log is down", "/v1/pipelines/order/requests", "secret", goodBody,
		func(f *fake) { f.logAge = 3 * time.Second }, 503, apiv1.ProblemLogUnavailable),
	Entry("a request that allows each stage one run only while the log is down", askPath, "secret", strings.Replace(goodBody, "}", `,"once":true}`, 1),
		func(f *fake) { f.logAge = 3 * time.Second }, 503, apiv1.ProblemLogUnavailable),
	Entry("an ID made before the log position was known", "/v1/pipelines/order/requests", "secret", strings.Replace(goodBody, "5-", "0-", 1),
		func(*fake) {}, 503, apiv1.ProblemLogUnavailable),
)

var _ = It("answers requests that need no claim while the log is down", func() {
	f := newFake()
	f.logAge = time.Hour
	Expect(f.post(askPath, "secret", goodBody).Code).To(Equal(200))
})

// Guards against running a request under a configuration that was replaced while its
// body was being received or the process was paused, as seen in a soak run (seed 22).
var _ = It("uses the configuration in force when it accepts the request", func() {
	f := newFake()
	f.next = newFake().config
	f.answer = func(req *chain.Request) chain.Outcome {
		Expect(req.Version).To(Equal(int64(1)))
		Expect(req.Config).To(BeIdenticalTo(f.next))
		return chain.Answered(req.Body.ID, "x")
	}
	Expect(f.post(askPath, "secret", goodBody).Code).To(Equal(200))

	f = newFake()
	f.next, _ = bundle.New(bundle.Doc{})
	Expect(f.post(askPath, "secret", goodBody).Code).To(Equal(404))
	Expect(f.accepted).To(BeZero())
})

// Guards against an answer without the length and checksum by which callers detect
// truncation.
var _ = It("returns a complete answer", func() {
	rec := newFake().post(askPath, "secret", goodBody)
	var a apiv1.Answer
	Expect(json.Unmarshal(rec.Body.Bytes(), &a)).To(Succeed())
	Expect(a.ID).To(Equal("5-abcdefgh"))
	Expect(a.IsIntact()).To(BeTrue())
})

// Guards against streams whose callers can't distinguish the end from a truncation.
var _ = DescribeTable("streams",
	func(out chain.Outcome, want string) {
		f := newFake()
		f.answer = func(req *chain.Request) chain.Outcome {
			req.OnToken(0, "a")
			req.OnToken(1, "b")
			return out
		}
		rec := f.post(askPath, "secret", strings.Replace(goodBody, "}", `,"stream":true}`, 1))
		Expect(rec.Header().Get("Content-Type")).To(Equal("text/event-stream"))
		Expect(rec.Body.String()).To(HavePrefix("event: token\ndata: {\"index\":0,\"text\":\"a\"}\n\nevent: token\n"))
		Expect(rec.Body.String()).To(ContainSubstring(want))
	},
	Entry("end with a count and a checksum", chain.Answered("5-abcdefgh", "ab"),
		`event: end`+"\n"+`data: {"id":"5-abcdefgh","count":2,"checksum":"`+apiv1.Checksum("ab")+`"}`),
	Entry("end with an error event when a stage fails", chain.Failed("5-abcdefgh", apiv1.ProblemStageFailed, 502, "cut"),
		"event: error\ndata: {\"type\":\"stage_failed\""),
)

// Guards against idle connections that stay open after the listener of a leaving host
// has closed.
var _ = It("closes connections while leaving", func() {
	f := newFake()
	Expect(f.post(askPath, "secret", goodBody).Header().Get("Connection")).To(BeEmpty())
	f.leaving = true
	Expect(f.post(askPath, "secret", goodBody).Header().Get("Connection")).To(Equal("close"))
})

// Guards against two different requests in flight under one ID.
var _ = It("refuses an ID in flight with another body", func() {
	f := newFake()
	var conflicting *httptest.ResponseRecorder
	router := f.router()
	f.answer = func(req *chain.Request) chain.Outcome {
		if conflicting == nil {
			conflicting = httptest.NewRecorder()
			r := httptest.NewRequest(http.MethodPost, askPath, strings.NewReader(strings.Replace(goodBody, `"x"`, `"y"`, 1)))
			r.Header.Set("Authorization", "Bearer secret")
			router.ServeHTTP(conflicting, r)
		}
		return chain.Answered(req.Body.ID, "out")
	}
	req := httptest.NewRequest(http.MethodPost, askPath, strings.NewReader(goodBody))
	req.Header.Set("Authorization", "Bearer secret")
	rec := httptest.NewRecorder()
	router.ServeHTTP(rec, req)
	Expect(rec.Code).To(Equal(200))
	Expect(conflicting.Code).To(Equal(409))
	Expect(conflicting.Body.String()).To(ContainSubstring(apiv1.ProblemIDConflict))
})

// Guards against charging the error budget for errors of callers or for requests sent
// on to another host.
var _ = It("charges the error budget only for failures of the service", func() {
	f := newFake()
	f.dataCentreOut = true
	f.post(askPath, "secret", goodBody)
	Expect(f.badOutcomes).To(BeZero())
	f.dataCentreOut = false
	f.answer = func(req *chain.Request) chain.Outcome {
		return chain.Refused(req.Body.ID, apiv1.ProblemOverload, 503, "")
	}
	f.post(askPath, "secret", goodBody)
	Expect(f.badOutcomes).To(Equal(1))
})

// Guards against bodies that together take more memory than there is, and against a refusal
// of them that isn't true or keeps its bytes.
var _ = It("refuses bodies for which there is no memory", func() {
	f := newFake()
	account := memory.New(1 << 20)
	router := front.NewCallerHandler(front.Options{Host: "h", MaxBody: 1 << 20, Memory: account}, f, f, f, outcomeCounter{f},
		func(_ context.Context, req *chain.Request) chain.Outcome { return f.answer(req) }).Router()
	post := func(length int64, size int) *httptest.ResponseRecorder {
		body := `{"id":"5-abcdefgh","deadline":"2s","input":"` + strings.Repeat("x", size) + `"}`
		req := httptest.NewRequest(http.MethodPost, askPath, strings.NewReader(body))
		req.Header.Set("Authorization", "Bearer secret")
		if req.ContentLength = length; length == 0 {
			req.ContentLength = int64(len(body))
		}
		rec := httptest.NewRecorder()
		router.ServeHTTP(rec, req)
		return rec
	}
	Expect(post(0, 500_000).Code).To(Equal(http.StatusOK))
	for _, length := range []int64{0, -1} { // announced and chunked
		rec := post(length, 900_000)
		Expect(rec.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(rec.Header().Get("Retry-After")).To(Equal("1"))
		Expect(rec.Body.String()).To(ContainSubstring(`"outcome":"refused"`))
	}
	Expect(post(-1, 1<<20).Code).To(BeElementOf(http.StatusServiceUnavailable, http.StatusRequestEntityTooLarge))
	Expect(account.Used()).To(BeZero())
})
