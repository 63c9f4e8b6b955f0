package queue_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"chivepost/entry/internal/queue"
	"chivepost/entry/internal/route"
	"chivepost/share/target"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var suite *testing.T

func TestQueue(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "queue")
}

// fakeSlots implements queue.Slots for a few targets, without free slots at first.
type fakeSlots struct {
	mu      sync.Mutex
	targets []route.Target
	changed chan struct{}
	waiting int
	taken   int
	done    int
}

func (f *fakeSlots) View(string) []route.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]route.Target(nil), f.targets...)
}

func (f *fakeSlots) Take(name string) (queue.Hold, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.targets {
		if f.targets[i].Name == name && f.targets[i].Free > 0 {
			f.targets[i].Free--
			f.taken++
			return &hold{f, i}, true
		}
	}
	return nil, false
}

func (f *fakeSlots) SetWaiting(_ string, n int) { f.mu.Lock(); defer f.mu.Unlock(); f.waiting = n }
func (f *fakeSlots) Changed() <-chan struct{}   { return f.changed }

// free adds a free slot to target i.
func (f *fakeSlots) free(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets[i].Free++
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

type hold struct {
	f *fakeSlots
	i int
}

func (h *hold) Check() error  { return nil }
func (h *hold) Fence() uint64 { return 1 }
func (h *hold) Done(target.Result, time.Duration) {
	h.f.mu.Lock()
	defer h.f.mu.Unlock()
	h.f.done++
}

// fixture is a queue of a host in region "a" whose targets have no free slots.
type fixture struct {
	slots *fakeSlots
	queue *queue.Queue
	order []string
	errs  map[string]error
}

// inVirtualTime runs body in virtual time, with one target in each of the regions, which are
// letters.
func inVirtualTime(regions string, opts queue.Options, body func(fx *fixture)) {
	synctest.Test(suite, func(*testing.T) {
		fx := &fixture{slots: &fakeSlots{changed: make(chan struct{}, 1)}, errs: map[string]error{}}
		for i, r := range regions {
			fx.slots.targets = append(fx.slots.targets, route.Target{
				Name: fmt.Sprint("t", i), Region: string(r), DataCentre: string(r), State: target.StateWarm, Limit: 1,
			})
		}
		policy, err := route.New("", route.Options{})
		Expect(err).NotTo(HaveOccurred())
		opts.Region, opts.DataCentre = "a", "a"
		fx.queue = queue.New(opts, fx.slots, policy, logr.Discard())
		defer fx.queue.Close()
		body(fx)
	})
}

// add starts to acquire a slot for a job. When it gets one, its name is appended to
// order; an error is stored in errs.
func (fx *fixture) add(ctx context.Context, name string, job queue.Job) {
	job.Pool = "p"
	go func() {
		_, err := fx.queue.Acquire(ctx, job)
		fx.slots.mu.Lock()
		defer fx.slots.mu.Unlock()
		if fx.errs[name] = err; err == nil {
			fx.order = append(fx.order, name)
		}
	}()
	synctest.Wait()
}

// release frees n slots of target i, one after the other.
func (fx *fixture) release(i, n int) {
	for range n {
		fx.slots.free(i)
		synctest.Wait()
	}
}

var _ = Describe("the queue", func() {
	ctx := context.Background()
	in := func(d time.Duration) time.Time { return time.Now().Add(d) }

	// Guards against an account with many calls that starves the others.
	It("serves accounts in proportion to their shares", func() {
		inVirtualTime("a", queue.Options{}, func(fx *fixture) {
			for i := range 40 {
				fx.add(ctx, fmt.Sprint("large", i), queue.Job{Account: "large", Share: 1})
			}
			for i := range 40 {
				fx.add(ctx, fmt.Sprint("small", i), queue.Job{Account: "small", Share: 3})
			}
			fx.release(0, 40)
			small := 0
			for _, name := range fx.order {
				if name[0] == 's' {
					small++
				}
			}
			Expect(small).To(BeNumerically("~", 30, 1))
		})
	})

	// Guards against a call that misses its deadline because it waits behind one with
	// more slack.
	It("serves priority first, then the least slack", func() {
		inVirtualTime("a", queue.Options{}, func(fx *fixture) {
			fx.add(ctx, "late", queue.Job{Deadline: in(5 * time.Second)})
			fx.add(ctx, "early", queue.Job{Deadline: in(4 * time.Second)})
			fx.add(ctx, "long", queue.Job{Deadline: in(6 * time.Second), Expected: 3 * time.Second})
			fx.add(ctx, "urgent", queue.Job{Deadline: in(9 * time.Second), Priority: 1})
			fx.release(0, 4)
			Expect(fx.order).To(Equal([]string{"urgent", "long", "early", "late"}))
		})
	})

	// Guards against spending accelerator time on a call that can't be answered in time.
	It("drops a call once it can no longer finish in time", func() {
		inVirtualTime("a", queue.Options{}, func(fx *fixture) {
			start := time.Now()
			_, err := fx.queue.Acquire(ctx, queue.Job{Pool: "p", Deadline: in(5 * time.Second), Expected: 3 * time.Second})
			Expect(err).To(MatchError(queue.ErrDeadline))
			Expect(time.Since(start)).To(BeNumerically("~", 2*time.Second, time.Millisecond))
			Expect(fx.slots.waiting).To(BeZero())
		})
	})

	// Guards against a slot that is never returned, which would reduce the capacity of
	// the target.
	It("returns the slot of a call that is cancelled as it is served", func() {
		inVirtualTime("a", queue.Options{}, func(fx *fixture) {
			for range 50 {
				ctx, cancel := context.WithCancel(ctx)
				fx.add(ctx, "x", queue.Job{})
				cancel()
				fx.slots.free(0)
				synctest.Wait()
				fx.slots.mu.Lock()
				served := fx.errs["x"] == nil
				fx.slots.targets[0].Free, fx.slots.taken, fx.slots.done = 0, fx.slots.taken-fx.slots.done, 0
				if served {
					fx.slots.taken--
				}
				Expect(fx.slots.taken).To(BeZero())
				fx.slots.mu.Unlock()
			}
		})
	})

	// Guards against a queue that grows until the host runs out of memory, and against one
	// that a single account fills.
	It("is bounded per pool and per account", func() {
		inVirtualTime("a", queue.Options{MaxPool: 3, MaxAccount: 2}, func(fx *fixture) {
			for i, account := range []string{"x", "x", "x", "y", "y"} {
				fx.add(ctx, fmt.Sprint(i), queue.Job{Account: account})
			}
			Expect(fx.errs).To(HaveLen(2))
			Expect(fx.errs["2"]).To(MatchError(queue.ErrFull))
			Expect(fx.errs["4"]).To(MatchError(queue.ErrFull))
			Expect(fx.slots.waiting).To(Equal(3))
			fx.queue.Close()
			synctest.Wait()
			Expect(fx.errs["0"]).To(MatchError(queue.ErrClosed))
			Expect(fx.slots.waiting).To(BeZero())
		})
	})

	// Guards against a retry that blocks all calls behind it.
	It("skips a call that no free target may take", func() {
		inVirtualTime("aa", queue.Options{}, func(fx *fixture) {
			fx.add(ctx, "retry", queue.Job{Exclude: route.Set{"t0"}})
			fx.add(ctx, "other", queue.Job{})
			fx.release(0, 1)
			Expect(fx.order).To(Equal([]string{"other"}))
		})
	})

	// Guards against a call that waits forever for its region while another one is idle.
	It("uses another region once the spill wait has passed", func() {
		inVirtualTime("ab", queue.Options{}, func(fx *fixture) {
			fx.slots.targets[1].Free = 1
			slot, err := fx.queue.Acquire(ctx, queue.Job{Pool: "p"})
			Expect(err).NotTo(HaveOccurred())
			Expect(slot.Target.Name).To(Equal("t1"))
			Expect(slot.Waited).To(Equal(100 * time.Millisecond))
		})
	})

	// Guards against recomputing prefixes under load, when the target with the free slot is
	// rarely the one that the first call prefers.
	It("assigns a free slot to a call that prefers its target", func() {
		inVirtualTime("aa", queue.Options{}, func(fx *fixture) {
			for prefix := range uint64(20) {
				fx.add(ctx, fmt.Sprint(prefix+1), queue.Job{Prefix: prefix + 1, Account: fmt.Sprint(prefix % 3)})
			}
			policy, _ := route.New("", route.Options{})
			preferrer := policy.(interface {
				Preferred(route.Request, []route.Target) int
			})
			waiting := fx.queue.WaitingByTarget("p")
			Expect(waiting["t0"] + waiting["t1"]).To(Equal(20))
			fx.release(1, 5)
			Expect(fx.queue.WaitingByTarget("p")).To(HaveKeyWithValue("t1", waiting["t1"]-5))
			Expect(fx.order).To(HaveLen(5))
			for _, name := range fx.order {
				var prefix uint64
				_, _ = fmt.Sscan(name, &prefix)
				Expect(preferrer.Preferred(route.Request{Prefix: prefix, DataCentre: "a", Region: "a"}, fx.slots.targets)).To(Equal(1))
			}
		})
	})

	// Guards against recomputing a prefix to save a wait of a few milliseconds, and against
	// waiting longer than recomputing would take.
	It("waits a short time for the preferred target", func() {
		inVirtualTime("aa", queue.Options{PreferredWait: 70 * time.Millisecond}, func(fx *fixture) {
			policy, _ := route.New("", route.Options{})
			preferred := policy.(interface {
				Preferred(route.Request, []route.Target) int
			}).Preferred(route.Request{Prefix: 1, DataCentre: "a", Region: "a"}, fx.slots.targets)
			fx.slots.targets[1-preferred].Free = 1
			slot, err := fx.queue.Acquire(ctx, queue.Job{Pool: "p", Prefix: 1})
			Expect(err).NotTo(HaveOccurred())
			Expect(slot.Waited).To(Equal(70 * time.Millisecond))
		})
	})

	// Guards against admission by past waits: the estimate uses the queue of the account as
	// it is now.
	It("estimates the wait as queue length over service rate", func() {
		inVirtualTime("a", queue.Options{}, func(fx *fixture) {
			for i := range 60 {
				fx.add(ctx, fmt.Sprint(i), queue.Job{Account: "large"})
			}
			for range 40 {
				time.Sleep(100 * time.Millisecond)
				fx.release(0, 1)
			}
			Expect(fx.queue.ExpectedWait("p", "large", 1)).To(BeNumerically("~", 2300*time.Millisecond, 300*time.Millisecond))
			Expect(fx.queue.ExpectedWait("p", "small", 1)).To(BeZero())
		})
	})
})

// BenchmarkDispatch measures the assignment of one slot of 1,300 targets while 1,000 calls
// of 100 accounts wait.
func BenchmarkDispatch(b *testing.B) {
	f := &fakeSlots{changed: make(chan struct{}, 1)}
	for i := range 1300 {
		t := route.Target{Name: fmt.Sprint("t", i), Region: "a", DataCentre: "a", State: target.StateWarm, Limit: 16, InUse: 16}
		t.Prepare("a", "a")
		f.targets = append(f.targets, t)
	}
	policy, _ := route.New("", route.Options{})
	q := queue.New(queue.Options{DataCentre: "a", Region: "a"}, f, policy, logr.Discard())
	defer q.Close()
	served := make(chan struct{})
	call := func(i int) {
		_, _ = q.Acquire(context.Background(), queue.Job{Pool: "p", Account: fmt.Sprint(i % 100), Prefix: uint64(i%300 + 1)})
		served <- struct{}{}
	}
	for i := range 1000 {
		go call(i)
	}
	for i := 0; b.Loop(); i++ {
		f.free(i % 1300)
		<-served
		go call(i)
	}
}
