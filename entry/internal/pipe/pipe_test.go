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

// attempts answers attempts from a script by stage, then with the stage's name.
type attempts struct {
	script map[string][]stage.Result
	made   []string
}

func (a *attempts) Attempt(_ context.Context, w stage.Attempt) stage.Result {
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
	return stage.Result{Target: "t", Sent: target.SentYes, Output: w.Input + ">" + w.Stage}
}

func (a *attempts) ExpectedServiceTime([]string) time.Duration { return 0 }

func notSent() stage.Result { return stage.Result{Target: "t", Err: errBroken} }
func maybe() stage.Result {
	return stage.Result{Target: "t", Sent: target.SentMaybe, Err: errBroken}
}
func noSlot() stage.Result { return stage.Result{Err: errBroken} }

func request(id string) *chain.Request {
	doc := bundle.Doc{
		Pools: []bundle.PoolDoc{
			{Name: "rank", Kind: bundle.KindStage, Repeat: true, Limit: 2, ColdLimit: 1},
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

// inWorld runs f in virtual time with a claims controller on a log without faults.
func inWorld(f func(log *memlog.Service, c *claims.Controller)) {
	synctest.Test(suite, func(*testing.T) {
		defer GinkgoRecover()
		log := memlog.New()
		c := claims.New(claims.Options{Host: "h", Incarnation: 1}, log.Handle(), logr.Discard())
		defer time.Sleep(10 * time.Second)
		defer c.Close()
		time.Sleep(time.Second)
		f(log, c)
		time.Sleep(3 * time.Second)
	})
}

func run(a *attempts, c *claims.Controller, id string) chain.Outcome {
	return pipe.New(a, a, c, retry.New(retry.Options{})).Run(context.Background(), request(id))
}

const id = "1-abcdefgh"

// Guards against an outcome that says less, or more, than what may have been run.
var _ = DescribeTable("tells what may have been run",
	func(script map[string][]stage.Result, outcome apiv1.Outcome, made ...string) {
		inWorld(func(_ *memlog.Service, c *claims.Controller) {
			a := &attempts{script: script}
			Expect(run(a, c, id).Kind).To(Equal(outcome))
			Expect(a.made).To(Equal(made))
		})
	},
	Entry("all went well", nil, apiv1.Answered, "rank/0", "book/0"),
	Entry("no slot at all: not run", map[string][]stage.Result{"rank": {noSlot()}}, apiv1.Refused, "rank/0"),
	Entry("a first stage that failed twice: safe to repeat", map[string][]stage.Result{"rank": {maybe(), maybe()}},
		apiv1.Failed, "rank/0", "rank/1"),
	Entry("a first stage that failed once", map[string][]stage.Result{"rank": {maybe()}}, apiv1.Answered, "rank/0", "rank/1", "book/0"),
	Entry("a refusal before any work is tried again", map[string][]stage.Result{"rank": {notSent(), notSent(), notSent()}},
		apiv1.Answered, "rank/0", "rank/1", "rank/2", "rank/3", "book/0"),
	Entry("no connection to the service: safe to repeat", map[string][]stage.Result{"book": {notSent()}}, apiv1.Failed, "rank/0", "book/0"),
	Entry("the service's answer was lost: unknown, and never sent again", map[string][]stage.Result{"book": {maybe()}},
		apiv1.Unknown, "rank/0", "book/0"),
)

// Guards against a busy loop of attempts at targets that refuse at once, as seen in a
// soak run: 33 calls to one engine within 300 ms.
var _ = It("pauses between attempts that reach no target", func() {
	inWorld(func(_ *memlog.Service, c *claims.Controller) {
		var refusals []stage.Result
		for range 1000 {
			refusals = append(refusals, notSent())
		}
		a := &attempts{script: map[string][]stage.Result{"rank": refusals}}
		Expect(run(a, c, id).Kind).To(Equal(apiv1.Refused))
		Expect(len(a.made)).To(BeNumerically("<", 50))
	})
})

// Guards against a second run of a call that may not be repeated.
var _ = Describe("a repeat of a request", func() {
	It("gets the recorded result", func() {
		inWorld(func(_ *memlog.Service, c *claims.Controller) {
			first := run(&attempts{}, c, id)
			time.Sleep(time.Second)
			again := &attempts{}
			Expect(run(again, c, id).Answer).To(Equal(first.Answer))
			Expect(again.made).To(Equal([]string{"rank/0"}))
		})
	})

	It("is unknown after a lost answer", func() {
		inWorld(func(_ *memlog.Service, c *claims.Controller) {
			run(&attempts{script: map[string][]stage.Result{"book": {maybe()}}}, c, id)
			time.Sleep(time.Second)
			again := &attempts{}
			out := run(again, c, id)
			Expect(out.Kind).To(Equal(apiv1.Unknown))
			Expect(out.Problem.Type).To(Equal(apiv1.ProblemClaimed))
			Expect(again.made).To(Equal([]string{"rank/0"}))
		})
	})

	// Guards also against a claim that stays open when its call certainly reached no target.
	It("is told that the id was released when no connection was had", func() {
		inWorld(func(_ *memlog.Service, c *claims.Controller) {
			run(&attempts{script: map[string][]stage.Result{"book": {notSent()}}}, c, id)
			time.Sleep(time.Second)
			out := run(&attempts{}, c, id)
			Expect(out.Kind).To(Equal(apiv1.Failed))
			Expect(out.Problem.Type).To(Equal(apiv1.ProblemReleased))
		})
	})
})

// Guards against a second run of a stage that its pool would allow to repeat, when the
// caller has asked for one run.
var _ = It("runs each stage once when the caller asks for it", func() {
	inWorld(func(_ *memlog.Service, c *claims.Controller) {
		once := func(a *attempts) chain.Outcome {
			req := request(id)
			req.Body.Once = true
			return pipe.New(a, a, c, retry.New(retry.Options{})).Run(context.Background(), req)
		}
		a := &attempts{script: map[string][]stage.Result{"rank": {maybe()}}}
		Expect(once(a).Kind).To(Equal(apiv1.Unknown))
		Expect(a.made).To(Equal([]string{"rank/0"}))
		time.Sleep(time.Second)
		again := &attempts{}
		Expect(once(again).Kind).To(Equal(apiv1.Unknown))
		Expect(again.made).To(BeEmpty())
	})
})

// Guards against an empty answer to a repeat whose recorded result was too large to keep.
var _ = It("does not answer a repeat from a digest", func() {
	inWorld(func(_ *memlog.Service, c *claims.Controller) {
		large := stage.Result{Target: "t", Sent: target.SentYes, Output: strings.Repeat("x", 5000)}
		first := run(&attempts{script: map[string][]stage.Result{"book": {large}}}, c, id)
		Expect(first.Answer.Output).To(HaveLen(5000))
		time.Sleep(time.Second)
		out := run(&attempts{}, c, id)
		Expect(out.Kind).To(Equal(apiv1.Unknown))
		Expect(out.Problem.Detail).To(ContainSubstring("too large"))
	})
})

// Guards against a call that is sent though nobody could know of its claim.
var _ = It("does not call the service while the log is down", func() {
	inWorld(func(log *memlog.Service, c *claims.Controller) {
		log.SetDown(true)
		a := &attempts{}
		out := run(a, c, id)
		Expect(out.Kind).To(Equal(apiv1.Failed))
		Expect(out.Problem.Type).To(Equal(apiv1.ProblemLogDown))
		Expect(a.made).To(Equal([]string{"rank/0"}))
	})
})
