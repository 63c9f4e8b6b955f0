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

// fake is the slots of a few targets, one slot each unless set otherwise.
type fake struct {
	mu      sync.Mutex
	targets []route.Target
	changed chan struct{}
	wanted  int
	taken   int
	done    int
}

func (f *fake) View(string) []route.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]route.Target(nil), f.targets...)
}

func (f *fake) Take(name string) (queue.Hold, bool) {
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

func (f *fake) SetWaiting(_ string, n int) { f.mu.Lock(); defer f.mu.Unlock(); f.wanted = n }
func (f *fake) Changed() <-chan struct{}   { return f.changed }

// free adds a slot of target i.
func (f *fake) free(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets[i].Free++
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

type hold struct {
	f *fake
	i int
}

func (h *hold) Check() error  { return nil }
func (h *hold) Fence() uint64 { return 1 }
func (h *hold) Done(target.Result, time.Duration) {
	h.f.mu.Lock()
	defer h.f.mu.Unlock()
	h.f.done++
}

// bench is a queue before full targets at the regions given, with the host in "a".
type bench struct {
	f     *fake
	q     *queue.Queue
	order []string
	errs  map[string]error
}

// virtual runs body in virtual time.
func virtual(regions string, opts queue.Options, body func(b *bench)) {
	synctest.Test(suite, func(*testing.T) {
		b := &bench{f: &fake{changed: make(chan struct{}, 1)}, errs: map[string]error{}}
		for i, r := range regions {
			b.f.targets = append(b.f.targets, route.Target{
				Name: fmt.Sprint("t", i), Region: string(r), DataCentre: string(r), State: target.StateWarm, Limit: 1,
			})
		}
		policy, err := route.New("", route.Options{})
		Expect(err).NotTo(HaveOccurred())
		opts.Region, opts.DataCentre = "a", "a"
		b.q = queue.New(opts, b.f, policy, logr.Discard())
		defer b.q.Close()
		body(b)
	})
}

// add puts a job in line; what becomes of it is in order or errs.
func (b *bench) add(ctx context.Context, name string, job queue.Job) {
	job.Pool = "p"
	go func() {
		_, err := b.q.Acquire(ctx, job)
		b.f.mu.Lock()
		defer b.f.mu.Unlock()
		if b.errs[name] = err; err == nil {
			b.order = append(b.order, name)
		}
	}()
	synctest.Wait()
}

// serve frees n slots of target i, one after the other.
func (b *bench) serve(i, n int) {
	for range n {
		b.f.free(i)
		synctest.Wait()
	}
}

var _ = Describe("the queue", func() {
	ctx := context.Background()
	in := func(d time.Duration) time.Time { return time.Now().Add(d) }

	// Guards against an account with many calls that starves the others.
	It("serves accounts by their shares", func() {
		virtual("a", queue.Options{}, func(b *bench) {
			for i := range 40 {
				b.add(ctx, fmt.Sprint("large", i), queue.Job{Account: "large", Share: 1})
			}
			for i := range 40 {
				b.add(ctx, fmt.Sprint("small", i), queue.Job{Account: "small", Share: 3})
			}
			b.serve(0, 40)
			small := 0
			for _, name := range b.order {
				if name[0] == 's' {
					small++
				}
			}
			Expect(small).To(BeNumerically("~", 30, 1))
		})
	})

	// Guards against a call that misses its deadline behind one with time to spare.
	It("serves priority first, then the least slack", func() {
		virtual("a", queue.Options{}, func(b *bench) {
			b.add(ctx, "late", queue.Job{Deadline: in(5 * time.Second)})
			b.add(ctx, "early", queue.Job{Deadline: in(4 * time.Second)})
			b.add(ctx, "long", queue.Job{Deadline: in(6 * time.Second), Expected: 3 * time.Second})
			b.add(ctx, "urgent", queue.Job{Deadline: in(9 * time.Second), Priority: 1})
			b.serve(0, 4)
			Expect(b.order).To(Equal([]string{"urgent", "long", "early", "late"}))
		})
	})

	// Guards against accelerator time for a call that can't be answered in time.
	It("drops a call when it can't finish in time any more", func() {
		virtual("a", queue.Options{}, func(b *bench) {
			start := time.Now()
			_, err := b.q.Acquire(ctx, queue.Job{Pool: "p", Deadline: in(5 * time.Second), Expected: 3 * time.Second})
			Expect(err).To(MatchError(queue.ErrDeadline))
			Expect(time.Since(start)).To(BeNumerically("~", 2*time.Second, time.Millisecond))
			Expect(b.f.wanted).To(BeZero())
		})
	})

	// Guards against a slot that nobody gives back, which would shrink the target.
	It("returns the slot of a call that ends as it is served", func() {
		virtual("a", queue.Options{}, func(b *bench) {
			for range 50 {
				ctx, cancel := context.WithCancel(ctx)
				b.add(ctx, "x", queue.Job{})
				cancel()
				b.f.free(0)
				synctest.Wait()
				b.f.mu.Lock()
				served := b.errs["x"] == nil
				b.f.targets[0].Free, b.f.taken, b.f.done = 0, b.f.taken-b.f.done, 0
				if served {
					b.f.taken--
				}
				Expect(b.f.taken).To(BeZero())
				b.f.mu.Unlock()
			}
		})
	})

	// Guards against a queue that grows until the host runs out of memory, filled by one account.
	It("is bounded per pool and per account", func() {
		virtual("a", queue.Options{MaxPool: 3, MaxAccount: 2}, func(b *bench) {
			for i, account := range []string{"x", "x", "x", "y", "y"} {
				b.add(ctx, fmt.Sprint(i), queue.Job{Account: account})
			}
			Expect(b.errs).To(HaveLen(2))
			Expect(b.errs["2"]).To(MatchError(queue.ErrFull))
			Expect(b.errs["4"]).To(MatchError(queue.ErrFull))
			Expect(b.f.wanted).To(Equal(3))
			b.q.Close()
			synctest.Wait()
			Expect(b.errs["0"]).To(MatchError(queue.ErrClosed))
			Expect(b.f.wanted).To(BeZero())
		})
	})

	// Guards against a retry that holds up all calls behind it.
	It("passes over a call that no free target may take", func() {
		virtual("aa", queue.Options{}, func(b *bench) {
			b.add(ctx, "retry", queue.Job{Exclude: route.Set{"t0"}})
			b.add(ctx, "other", queue.Job{})
			b.serve(0, 1)
			Expect(b.order).To(Equal([]string{"other"}))
		})
	})

	// Guards against a call that waits for ever for its region while another one is idle.
	It("goes to another region once the link's cost has been waited", func() {
		virtual("ab", queue.Options{}, func(b *bench) {
			b.f.targets[1].Free = 1
			slot, err := b.q.Acquire(ctx, queue.Job{Pool: "p"})
			Expect(err).NotTo(HaveOccurred())
			Expect(slot.Target.Name).To(Equal("t1"))
			Expect(slot.Waited).To(Equal(100 * time.Millisecond))
		})
	})

	// Guards against recomputing prefixes under load, when each free slot is one of
	// another target than the first call prefers.
	It("gives a free slot to a call whose prefix is cached there", func() {
		virtual("aa", queue.Options{}, func(b *bench) {
			for prefix := range uint64(20) {
				b.add(ctx, fmt.Sprint(prefix+1), queue.Job{Prefix: prefix + 1, Account: fmt.Sprint(prefix % 3)})
			}
			policy, _ := route.New("", route.Options{})
			home := policy.(interface {
				Preferred(route.Request, []route.Target) int
			})
			wanted := b.q.WaitingByTarget("p")
			Expect(wanted["t0"] + wanted["t1"]).To(Equal(20))
			b.serve(1, 5)
			Expect(b.q.WaitingByTarget("p")).To(HaveKeyWithValue("t1", wanted["t1"]-5))
			Expect(b.order).To(HaveLen(5))
			for _, name := range b.order {
				var prefix uint64
				_, _ = fmt.Sscan(name, &prefix)
				Expect(home.Preferred(route.Request{Prefix: prefix, DataCentre: "a", Region: "a"}, b.f.targets)).To(Equal(1))
			}
		})
	})

	// Guards against recomputing a prefix for want of a few milliseconds, and against
	// waiting for it longer than that would take.
	It("waits a short time for the target that has the prefix", func() {
		virtual("aa", queue.Options{PreferredWait: 70 * time.Millisecond}, func(b *bench) {
			policy, _ := route.New("", route.Options{})
			home := policy.(interface {
				Preferred(route.Request, []route.Target) int
			}).Preferred(route.Request{Prefix: 1, DataCentre: "a", Region: "a"}, b.f.targets)
			b.f.targets[1-home].Free = 1
			slot, err := b.q.Acquire(ctx, queue.Job{Pool: "p", Prefix: 1})
			Expect(err).NotTo(HaveOccurred())
			Expect(slot.Waited).To(Equal(70 * time.Millisecond))
		})
	})

	// Guards against admission on a wait of the past: an account's own line counts.
	It("expects a wait of the line over its rate", func() {
		virtual("a", queue.Options{}, func(b *bench) {
			for i := range 60 {
				b.add(ctx, fmt.Sprint(i), queue.Job{Account: "large"})
			}
			for range 40 {
				time.Sleep(100 * time.Millisecond)
				b.serve(0, 1)
			}
			Expect(b.q.ExpectedWait("p", "large", 1)).To(BeNumerically("~", 2300*time.Millisecond, 300*time.Millisecond))
			Expect(b.q.ExpectedWait("p", "small", 1)).To(BeZero())
		})
	})
})

// BenchmarkDispatch shows the time to hand out one slot of 1,300 targets while 1,000
// calls of 100 accounts wait.
func BenchmarkDispatch(b *testing.B) {
	f := &fake{changed: make(chan struct{}, 1)}
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
