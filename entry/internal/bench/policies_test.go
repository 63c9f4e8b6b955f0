package bench

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"chivepost/entry/internal/admit"
	"chivepost/entry/internal/chain"
	"chivepost/entry/internal/queue"
	"chivepost/entry/internal/retry"
	"chivepost/entry/internal/route"
	"chivepost/share/apiv1"
	"chivepost/share/bundle"
	"chivepost/share/target"
	"chivepost/share/units"
)

var (
	seeds  = flag.Int("seeds", 0, "number of seeds to compare all policies over; none if 0")
	only   = flag.String("scenarios", "", "comma-separated scenarios to run, all if empty")
	output = flag.String("json", "", "file for the results as JSON")
)

// host is the decision path of one entry host.
type host struct {
	world     *world
	at        int
	queue     *queue.Queue
	estimator *admit.Estimator
	budgets   *retry.Budgets
	handle    chain.Next
	pipeline  bundle.Pipeline
	plain     bool
}

// job is one request on its way; the arrival and the accelerator seconds go along
// with the context.
type job struct {
	arrival *Arrival
	busy    float64
}

type jobKey struct{}

func newHost(w *world, at int, policy string, pipeline bundle.Pipeline) *host {
	p, err := route.New(policyOf(policy), route.Options{})
	if err != nil {
		panic(err)
	}
	h := &host{world: w, at: at, plain: isPlain(policy), pipeline: pipeline, estimator: admit.NewEstimator(), budgets: retry.New(retry.Options{})}
	h.queue = queue.New(queue.Options{DataCentre: Regions[at], Region: Regions[at], FIFO: h.plain, MaxPool: 1 << 16},
		&slots{world: w, at: at}, p, logr.Discard())
	filters := []chain.Filter{admit.NewFilter(admit.Options{}, h.estimator, h.queue, logr.Discard())}
	if h.plain {
		filters = nil
	}
	h.handle = chain.New(filters, h.stages)
	return h
}

// stages runs the stages of a request one after the other.
func (h *host) stages(ctx context.Context, req *chain.Request) chain.Outcome {
	j := ctx.Value(jobKey{}).(*job)
	rolls := rand.New(rand.NewPCG(j.arrival.Seed, 2))
	budget := h.budgets.ForRequest()
	for i := range h.world.pools {
		if err := h.stage(ctx, req, j, i, budget, rolls); err != nil {
			return chain.Failed(req.Body.ID, apiv1.ProblemStage, 502, err.Error())
		}
	}
	return chain.Answered(req.Body.ID, "")
}

func (h *host) stage(ctx context.Context, req *chain.Request, j *job, i int, budget *retry.RequestBudget, rolls *rand.Rand) error {
	pool := h.world.pools[i]
	var later []string
	for _, p := range h.world.pools[i:] {
		later = append(later, p.Name)
	}
	var tried route.Set
	for attempt := 0; ; attempt++ {
		slot, err := h.queue.Acquire(ctx, queue.Job{
			Pool: pool.Name, Account: req.Account.Name, Share: req.Account.Share, Deadline: req.Deadline,
			Expected: h.estimator.ExpectedServiceTime(later), Prefix: prefixOf(&pool, j), Exclude: tried,
		})
		if err != nil {
			return err
		}
		name := slot.Target.Name
		switch {
		case attempt == 0:
			budget.CountFirstCall(name)
		case !h.plain && !budget.Allow(name, pool.Name):
			slot.Done(target.Result{Sent: target.SentNo, Err: errFailed}, 0)
			return errFailed
		default:
			h.world.count(func(r *Run) { r.Retries++ })
		}
		start := time.Now()
		res, worked := h.world.run(ctx, h.world.byName[name], h.at, j.arrival, i, rolls.Float64())
		took := time.Since(start)
		j.busy += worked.Seconds() / float64(pool.Limit)
		slot.Done(res, took)
		h.estimator.Observe(pool.Name, slot.Waited, took)
		if res.Err == nil || errors.Is(res.Err, context.DeadlineExceeded) || attempt == 2 {
			return res.Err
		}
		tried = tried.With(name)
	}
}

func prefixOf(p *Pool, j *job) uint64 {
	if p.CacheSize == 0 {
		return 0
	}
	return j.arrival.Prefix * 0x9e3779b97f4a7c15
}

func (w *world) count(f func(*Run)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(&w.tally)
}

// request sends one request and counts what becomes of it.
func (h *host) request(a *Arrival, id int) {
	ctx, cancel := context.WithTimeout(context.Background(), Deadline)
	defer cancel()
	j := &job{arrival: a}
	deadline, _ := ctx.Deadline()
	out := h.handle(context.WithValue(ctx, jobKey{}, j), &chain.Request{
		Body: apiv1.Request{ID: fmt.Sprint(id)}, Pipeline: h.pipeline, Arrived: time.Now(), Deadline: deadline,
		Account: bundle.AccountDoc{Name: a.Account.Name, Share: a.Account.Share},
	})
	c := Count{Sent: 1}
	switch out.Kind {
	case apiv1.Answered:
		c.Answered = 1
	case apiv1.Refused:
		c.Refused = 1
	default:
		c.Missed = 1
	}
	h.world.count(func(r *Run) {
		r.add(c)
		r.Busy += j.busy
		if c.Missed > 0 {
			r.Wasted += j.busy
		}
		sum := r.Accounts[a.Account.Name]
		sum.add(c)
		r.Accounts[a.Account.Name] = sum
		for len(r.Seconds) <= int(a.At/time.Second) {
			r.Seconds = append(r.Seconds, Count{})
		}
		r.Seconds[int(a.At/time.Second)].add(c)
	})
}

// simulate runs one scenario with one policy in virtual time.
func simulate(t *testing.T, s Scenario, policy string, seed uint64) (result Run) {
	synctest.Test(t, func(*testing.T) {
		pools := Union()
		w := newWorld(pools, policy)
		w.poll()
		w.tally = Run{Scenario: s.Name, Policy: policy, Seeds: 1, Accounts: map[string]Count{}}
		var hosts []*host
		for at := range Regions {
			hosts = append(hosts, newHost(w, at, policy, pipelineOf(pools)))
		}
		for _, e := range s.Events {
			time.AfterFunc(e.At, func() { w.apply(e) })
		}
		ended := make(chan struct{})
		go func() {
			for {
				select {
				case <-ended:
					return
				case <-time.After(250 * time.Millisecond):
					w.poll()
				}
			}
		}()
		arrivals := s.Arrivals(seed, pools)
		start := time.Now()
		var all sync.WaitGroup
		for i := range arrivals {
			a := &arrivals[i]
			time.Sleep(a.At - time.Since(start))
			at := a.Region
			if w.isOut(at) {
				at = (at + 1 + i%2) % len(hosts)
			}
			all.Go(func() { hosts[at].request(a, i) })
		}
		all.Wait()
		close(ended)
		for _, h := range hosts {
			h.queue.Close()
		}
		result = w.tally
	})
	return result
}

func (w *world) isOut(region int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out[region]
}

func pipelineOf(pools []Pool) bundle.Pipeline {
	doc := bundle.Doc{Pipelines: []bundle.PipelineDoc{{Name: "union", Deadline: units.Duration(Deadline)}}}
	for _, p := range pools {
		doc.Pools = append(doc.Pools, bundle.PoolDoc{Name: p.Name, Repeat: true, Limit: p.Limit, ColdLimit: p.ColdLimit})
		doc.Pipelines[0].Stages = append(doc.Pipelines[0].Stages, bundle.StageDoc{Name: p.Name, Pool: p.Name, Timeout: units.Duration(Deadline)})
	}
	b, err := bundle.New(doc)
	if err != nil {
		panic(err)
	}
	p, _ := b.Pipeline("union")
	return p
}

// compare runs all policies over the scenarios and seeds.
func compare(t *testing.T, scenarios []Scenario, seeds int) *Report {
	var mu sync.Mutex
	sums := map[string]*Run{}
	policies := Policies()
	t.Run("runs", func(t *testing.T) {
		for _, s := range scenarios {
			for _, policy := range policies {
				sums[s.Name+policy] = &Run{}
				for seed := range seeds {
					t.Run(fmt.Sprint(s.Name, "/", policy, "/", seed+1), func(t *testing.T) {
						t.Parallel()
						run := simulate(t, s, policy, uint64(seed+1))
						mu.Lock()
						defer mu.Unlock()
						sums[s.Name+policy].Add(run)
					})
				}
			}
		}
	})
	report := &Report{}
	for _, s := range scenarios {
		for _, policy := range policies {
			report.Runs = append(report.Runs, *sums[s.Name+policy])
		}
	}
	report.Judge(Union())
	return report
}

// checkOpening runs 12 s of the opening hour with one seed. The limits leave room for
// the order in which goroutines of one instant run.
func checkOpening(t *testing.T) {
	s := Scenarios()[0]
	s.Length = 12 * time.Second
	own, base := simulate(t, s, route.Chivepost, 1), simulate(t, s, route.LeastOutstanding+clientSuffix, 1)
	t.Logf("%s: %.3f attained, %d missed; %s: %.3f, %d", own.Policy, own.Attainment(), own.Missed, base.Policy, base.Attainment(), base.Missed)
	if own.Attainment() < 0.75 || own.Missed*5 > base.Missed {
		t.Errorf("attained %.3f, missed %d of %d: want 0.75 and a fifth of %d", own.Attainment(), own.Missed, own.Sent, base.Missed)
	}
	if got := own.Answered + own.Refused + own.Missed; got != own.Sent {
		t.Errorf("%d requests are accounted for, want %d", got, own.Sent)
	}
}

// TestPolicies guards against a change that breaks the decision path as a whole. With
// -seeds it prints the whole comparison instead and judges nothing: the aims are in
// the output.
func TestPolicies(t *testing.T) {
	if *seeds == 0 {
		checkOpening(t)
		return
	}
	printComparison(t)
}

func printComparison(t *testing.T) {
	var chosen []Scenario
	for _, s := range Scenarios() {
		if *only == "" || strings.Contains(","+*only+",", ","+s.Name+",") {
			chosen = append(chosen, s)
		}
	}
	report := compare(t, chosen, *seeds)
	if err := report.WriteTable(os.Stdout); err != nil {
		t.Fatal(err)
	}
	if *output != "" {
		f, err := os.Create(*output)
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		if err := report.WriteJSON(f); err != nil {
			t.Fatal(err)
		}
	}
}
