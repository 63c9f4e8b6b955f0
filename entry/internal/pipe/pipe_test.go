package pipe_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"chivepost/entry/internal/chain"
	"chivepost/entry/internal/claims"
	"chivepost/entry/internal/memlog"
	"chivepost/entry/internal/pipe"
	"chivepost/entry/internal/retry"
	"chivepost/entry/internal/stage"
	"chivepost/share/apiv1"
	"chivepost/share/bundle"
	"chivepost/share/target"
	"chivepost/share/units"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var suite *testing.T

func TestPipe(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "pipe")
}

var errBroken = errors.New("broken")

// fakeAttempter returns the results of a script by stage. After these, attempts succeed
// and append the stage's name to the input.
type fakeAttempter struct {
	script map[string][]stage.Result
	made   []string
}

func (a *fakeAttempter) Attempt(_ context.Context, w stage.Attempt) stage.Result {
	a.made = append(a.made, fmt.Sprintf("%s/%d", w.Stage, w.Number))
	if w.Ticket != nil {
		if err := w.Ticket.Confirm(); err != nil {
			return stage.Result{Target: "t", Err: err}
		}
	}
	if list := a.script[w.Stage]; len(list) > 0 {
		a.script[w.Stage] = list[1:]
		return list[0]
	}
	return stage.Result{Target: "t", Execution: target.Executed, Output: w.Input + ">" + w.Stage}
}

func (a *fakeAttempter) ExpectedServiceTime([]string) time.Duration { return 0 }

func notSent() stage.Result { return stage.Result{Target: "t", Err: errBroken} }
func maybeSent() stage.Result {
	return stage.Result{Target: "t", Execution: target.MayHaveExecuted, Err: errBroken}
}
func noSlot() stage.Result { return stage.Result{Err: errBroken} }

func request(id string) *chain.Request {
	doc := bundle.Doc{
		Pools: []bundle.PoolDoc{
			{Name: "rank", Kind: bundle.KindStage, Retryable: true, Limit: 2, ColdLimit: 1},
			{Name: "book", Kind: bundle.KindService, Limit: 2, ColdLimit: 1},
		},
		Pipelines: []bundle.PipelineDoc{{Name: "order", Deadline: units.Duration(5 * time.Second), Stages: []bundle.StageDoc{
			{Name: "rank", Pool: "rank", Timeout: units.Duration(time.Second)},
			{Name: "book", Pool: "book", Timeout: units.Duration(time.Second)},
		}}},
	}
	b, err := bundle.New(doc)
	Expect(err).NotTo(HaveOccurred())
	p, _ := b.Pipeline("order")
	return &chain.Request{
		Body: apiv1.Request{ID: id, Input: "x"}, Pipeline: p, Config: b, Run: "run",
		Account: bundle.AccountDoc{Name: "alpha"}, Deadline: time.Now().Add(5 * time.Second),
	}
}

// withClaims runs f in virtual time with a claims controller on an in-memory log.
func withClaims(f func(log *memlog.Service, c *claims.Controller)) {
	synctest.Test(suite, func(*testing.T) {
		defer GinkgoRecover()
		log := memlog.New()
		c := claims.New(claims.Options{Host: "h", Incarnation: 1}, log.NewClient(), logr.Discard())
		defer time.Sleep(10 * time.Second)
		defer c.Close()
		time.Sleep(time.Second)
		f(log, c)
		time.Sleep(3 * time.Second)
	})
}

func run(a *fakeAttempter, c *claims.Controller, id string) chain.Outcome {
	return pipe.New(a, a, c, retry.New(retry.Options{})).Run(context.Background(), request(id))
}

const id = "1-abcdefgh"

// Guards against an outcome that contradicts which calls may have been run.
var _ = DescribeTable("returns the outcome that fits the calls that may have been run",
	func(script map[string][]stage.Result, outcome apiv1.Outcome, made ...string) {
		withClaims(func(_ *memlog.Service, c *claims.Controller) {
			a := &fakeAttempter{script: script}
			Expect(run(a, c, id).Kind).To(Equal(outcome))
			Expect(a.made).To(Equal(made))
		})
	},
	Entry("all stages succeeded", nil, apiv1.Answered, "rank/0", "book/0"),
	Entry("no slot: not run", map[string][]stage.Result{"rank": {noSlot()}}, apiv1.Refused, "rank/0"),
	Entry("a first stage that failed twice: safe to repeat", map[string][]stage.Result{"rank": {maybeSent(), maybeSent()}},
		apiv1.Failed, "rank/0", "rank/1"),
	Entry("a first stage that failed once", map[string][]stage.Result{"rank": {maybeSent()}}, apiv1.Answered, "rank/0", "rank/1", "book/0"),
	Entry("refusals before any work: tried again", map[string][]stage.Result{"rank": {notSent(), notSent(), notSent()}},
		apiv1.Answered, "rank/0", "rank/1", "rank/2", "rank/3", "book/0"),
	Entry("no connection to the service: safe to repeat", map[string][]stage.Result{"book": {notSent()}}, apiv1.Failed, "rank/0", "book/0"),
	Entry("a lost answer of the service: unknown, and never sent again", map[string][]stage.Result{"book": {maybeSent()}},
		apiv1.Unknown, "rank/0", "book/0"),
)

// Guards against a busy loop of attempts at targets that refuse at once. A soak run had 33
// calls to one engine within 300 ms.
var _ = It("waits between attempts that reach no target", func() {
	withClaims(func(_ *memlog.Service, c *claims.Controller) {
		var refusals []stage.Result
		for range 1000 {
			refusals = append(refusals, notSent())
		}
		a := &fakeAttempter{script: map[string][]stage.Result{"rank": refusals}}
		Expect(run(a, c, id).Kind).To(Equal(apiv1.Refused))
		Expect(len(a.made)).To(BeNumerically("<", 50))
	})
})

// Guards against a second run of a call that may not be repeated.
var _ = Describe("a repeat of a request", func() {
	It("returns the recorded result", func() {
		withClaims(func(_ *memlog.Service, c *claims.Controller) {
			first := run(&fakeAttempter{}, c, id)
			time.Sleep(time.Second)
			again := &fakeAttempter{}
			Expect(run(again, c, id).Answer).To(Equal(first.Answer))
			Expect(again.made).To(Equal([]string{"rank/0"}))
		})
	})

	It("returns the outcome unknown after a lost answer", func() {
		withClaims(func(_ *memlog.Service, c *claims.Controller) {
			run(&fakeAttempter{script: map[string][]stage.Result{"book": {maybeSent()}}}, c, id)
			time.Sleep(time.Second)
			again := &fakeAttempter{}
			out := run(again, c, id)
			Expect(out.Kind).To(Equal(apiv1.Unknown))
			Expect(out.Problem.Type).To(Equal(apiv1.ProblemClaimedElsewhere))
			Expect(again.made).To(Equal([]string{"rank/0"}))
		})
	})

	// Guards also against a claim that stays open although its call can't have reached a
	// target.
	It("fails with a released id after a failed connection", func() {
		withClaims(func(_ *memlog.Service, c *claims.Controller) {
			run(&fakeAttempter{script: map[string][]stage.Result{"book": {notSent()}}}, c, id)
			time.Sleep(time.Second)
			out := run(&fakeAttempter{}, c, id)
			Expect(out.Kind).To(Equal(apiv1.Failed))
			Expect(out.Problem.Type).To(Equal(apiv1.ProblemIDReleased))
		})
	})
})

// Guards against a second run of a stage whose pool allows repeats, although the caller
// asked for at most one run.
var _ = It("runs each stage at most once if the caller asks for it", func() {
	withClaims(func(_ *memlog.Service, c *claims.Controller) {
		once := func(a *fakeAttempter) chain.Outcome {
			req := request(id)
			req.Body.Once = true
			return pipe.New(a, a, c, retry.New(retry.Options{})).Run(context.Background(), req)
		}
		a := &fakeAttempter{script: map[string][]stage.Result{"rank": {maybeSent()}}}
		Expect(once(a).Kind).To(Equal(apiv1.Unknown))
		Expect(a.made).To(Equal([]string{"rank/0"}))
		time.Sleep(time.Second)
		again := &fakeAttempter{}
		Expect(once(again).Kind).To(Equal(apiv1.Unknown))
		Expect(again.made).To(BeEmpty())
	})
})

// Guards against an empty answer to a repeat of a request whose result was too large to
// record.
var _ = It("does not answer a repeat from the digest of a result", func() {
	withClaims(func(_ *memlog.Service, c *claims.Controller) {
		large := stage.Result{Target: "t", Execution: target.Executed, Output: strings.Repeat("x", 5000)}
		first := run(&fakeAttempter{script: map[string][]stage.Result{"book": {large}}}, c, id)
		Expect(first.Answer.Output).To(HaveLen(5000))
		time.Sleep(time.Second)
		out := run(&fakeAttempter{}, c, id)
		Expect(out.Kind).To(Equal(apiv1.Unknown))
		Expect(out.Problem.Detail).To(ContainSubstring("too large"))
	})
})

// Guards against a call whose claim isn't recorded, so that other hosts could repeat it.
var _ = It("does not call the service while the log is down", func() {
	withClaims(func(log *memlog.Service, c *claims.Controller) {
		log.SetDown(true)
		a := &fakeAttempter{}
		out := run(a, c, id)
		Expect(out.Kind).To(Equal(apiv1.Failed))
		Expect(out.Problem.Type).To(Equal(apiv1.ProblemLogUnavailable))
		Expect(a.made).To(Equal([]string{"rank/0"}))
	})
})

// streamingAttempter passes one token on in each attempt, and then fails it.
type streamingAttempter struct{ fakeAttempter }

func (a *streamingAttempter) Attempt(_ context.Context, w stage.Attempt) stage.Result {
	a.made = append(a.made, fmt.Sprintf("%s/%d", w.Stage, w.Number))
	w.OnToken(0, "token of attempt "+fmt.Sprint(w.Number))
	return maybeSent()
}

// Guards against a stream that goes on with the answer or the error of another target after it
// broke off.
var _ = It("doesn't go on with a stream that broke off", func() {
	withClaims(func(_ *memlog.Service, c *claims.Controller) {
		b, err := bundle.New(bundle.Doc{
			Pools: []bundle.PoolDoc{{Name: "llm", Kind: bundle.KindEngine, Retryable: true, Limit: 2, ColdLimit: 1}},
			Pipelines: []bundle.PipelineDoc{{Name: "letter", Deadline: units.Duration(5 * time.Second), Stages: []bundle.StageDoc{
				{Name: "llm", Pool: "llm", Timeout: units.Duration(time.Second)},
			}}},
		})
		Expect(err).NotTo(HaveOccurred())
		a := &streamingAttempter{}
		req := request(id)
		req.Config = b
		req.Pipeline, _ = b.Pipeline("letter")
		var tokens []string
		req.OnToken = func(_ int, text string) { tokens = append(tokens, text) }
		out := pipe.New(a, a, c, retry.New(retry.Options{})).Run(context.Background(), req)
		Expect(out.Kind).To(Equal(apiv1.Failed))
		Expect(a.made).To(Equal([]string{"llm/0"}))
		Expect(tokens).To(Equal([]string{"token of attempt 0"}))
	})
})
