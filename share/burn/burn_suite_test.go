package burn_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"chivepost/share/burn"
	"chivepost/share/golden"
	"chivepost/share/units"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestBurn(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "burn")
}

// clock is a clock that the tests set.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func newClock() *clock { return &clock{at: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)} }

func add(c *burn.Counter, pipeline, account string, good, bad int) {
	for range good {
		c.Add(pipeline, account, true)
	}
	for range bad {
		c.Add(pipeline, account, false)
	}
}

// windows returns "good/bad" of each window of the only series.
func windows(s burn.Snapshot) string {
	if len(s.Series) == 0 {
		return "none"
	}
	var out []string
	for _, w := range s.Series[0].Windows {
		out = append(out, fmt.Sprintf("%d/%d", w.Good, w.Bad))
	}
	return strings.Join(out, " ")
}

var _ = DescribeTable("counts the requests of each window",
	// Guards against requests that are counted in a window too long or not long enough, or
	// that reappear when a bucket of a ring is reused.
	func(after time.Duration, want string) {
		clock := newClock()
		c := burn.New(clock.now)
		add(c, "p", "a", 3, 1)
		clock.at = clock.at.Add(after)
		Expect(windows(c.Snapshot())).To(Equal(want))
	},
	Entry("at once", 0*time.Second, "3/1 3/1 3/1 3/1"),
	Entry("within the shortest", 4*time.Minute+50*time.Second, "3/1 3/1 3/1 3/1"),
	Entry("past the shortest", 5*time.Minute, "0/0 3/1 3/1 3/1"),
	Entry("past half an hour", 30*time.Minute, "0/0 0/0 3/1 3/1"),
	Entry("past an hour", time.Hour, "0/0 0/0 0/0 3/1"),
	Entry("at the end of the longest", 6*time.Hour-time.Second, "0/0 0/0 0/0 3/1"),
	Entry("past the longest", 6*time.Hour+time.Second, "none"),
)

var _ = It("empties a bucket before reusing it", func() {
	// Guards against counts of the previous turn of a ring that appear in the next one.
	clock := newClock()
	c := burn.New(clock.now)
	for range 10 {
		add(c, "p", "a", 1, 0)
		clock.at = clock.at.Add(time.Hour)
	}
	add(c, "p", "a", 0, 1)
	Expect(windows(c.Snapshot())).To(Equal("0/1 0/1 0/1 5/1"))
})

var _ = It("adds up the counts of hosts whose clocks differ by hours", func() {
	// Guards against comparing the wall clocks of two hosts.
	var snaps []burn.Snapshot
	for _, skew := range []time.Duration{0, 7 * time.Hour, -48 * time.Hour} {
		clock := newClock()
		clock.at = clock.at.Add(skew)
		c := burn.New(clock.now)
		add(c, "p", "a", 2, 1)
		clock.at = clock.at.Add(10 * time.Minute)
		snaps = append(snaps, c.Snapshot())
	}
	merged := burn.Merge(snaps...)
	Expect(windows(merged)).To(Equal("0/0 6/3 6/3 6/3"))
	Expect(merged.History).To(Equal([]burn.History{{
		Pipeline: "p", Buckets: []burn.Bucket{{Age: units.Duration(10 * time.Minute), Good: 6, Bad: 3}},
	}}))
})

var _ = It("counts the same on one host and merged from several hosts", func() {
	// Guards against requests that a merge loses or counts twice. The seed is fixed.
	random := rand.New(rand.NewPCG(1, 2))
	clock := newClock()
	all := burn.New(clock.now)
	var hosts []*burn.Counter
	for range 3 {
		hosts = append(hosts, burn.New(clock.now))
	}
	for range 5000 {
		clock.at = clock.at.Add(time.Duration(random.IntN(10_000)) * time.Millisecond)
		pipeline, account, good := fmt.Sprint(random.IntN(3)), fmt.Sprint(random.IntN(4)), random.IntN(5) > 0
		all.Add(pipeline, account, good)
		hosts[random.IntN(3)].Add(pipeline, account, good)
	}
	merged := burn.Merge(hosts[0].Snapshot(), hosts[1].Snapshot(), hosts[2].Snapshot())
	Expect(merged).To(Equal(all.Snapshot()))
})

var _ = It("bounds its memory and loses no request", func() {
	// Guards against memory that grows with every account name ever seen.
	clock := newClock()
	c := burn.New(clock.now)
	for i := range 5000 {
		c.Add("p", fmt.Sprint(i), true)
	}
	s := c.Snapshot()
	var good int64
	for _, series := range s.Series {
		good += series.Windows[0].Good
	}
	Expect(len(s.Series)).To(BeNumerically("<=", 4097))
	Expect(good).To(BeEquivalentTo(5000))
	clock.at = clock.at.Add(7 * time.Hour)
	Expect(c.Snapshot().Series).To(BeEmpty())
})

// snapshot returns a snapshot with one series; counts holds good and bad of each window.
func snapshot(pipeline, account string, counts ...int64) burn.Snapshot {
	s := burn.Series{Pipeline: pipeline, Account: account}
	for i, w := range burn.Windows {
		s.Windows = append(s.Windows, burn.Count{Window: units.Duration(w), Good: counts[2*i], Bad: counts[2*i+1]})
	}
	return burn.Snapshot{Series: []burn.Series{s}}
}

var _ = DescribeTable("fires an alert only if the burn rate is high in both windows",
	// Guards against alerts for a fault that is over, for a short spike, or for one failure
	// among few requests, and against an ongoing fault without an alert.
	func(want string, counts ...int64) {
		r := burn.NewReport(snapshot("p", "a", counts...), map[string]float64{"p": 0.99})
		Expect(strings.Join(r.Pipelines[0].Total.Alerts, " ")).To(Equal(want))
		Expect(r.IsAlerting()).To(Equal(want != ""))
	},
	Entry("nothing bad", "", int64(100), int64(0), int64(500), int64(0), int64(1000), int64(0), int64(6000), int64(0)),
	Entry("a fault that is over", "", int64(100), int64(0), int64(500), int64(0), int64(800), int64(200), int64(5800), int64(200)),
	Entry("a short spike", "", int64(80), int64(20), int64(480), int64(20), int64(980), int64(20), int64(5980), int64(20)),
	Entry("a severe ongoing fault", "fast", int64(80), int64(20), int64(480), int64(20), int64(800), int64(200), int64(5800), int64(200)),
	Entry("a moderate ongoing fault", "slow", int64(93), int64(7), int64(465), int64(35), int64(930), int64(70), int64(5580), int64(420)),
	Entry("both", "fast slow", int64(50), int64(50), int64(250), int64(250), int64(500), int64(500), int64(3000), int64(3000)),
	Entry("one failure of five", "", int64(4), int64(1), int64(4), int64(1), int64(4), int64(1), int64(4), int64(1)),
)

var _ = Describe("the report", func() {
	var r burn.Report
	BeforeEach(func() {
		clock := newClock()
		c := burn.New(clock.now)
		for range 40 {
			add(c, "union-lorry", "grand-marche", 30, 0)
			add(c, "union-lorry", "kiosk", 9, 1)
			add(c, "retired", "kiosk", 1, 1)
			clock.at = clock.at.Add(7 * time.Minute)
		}
		add(c, "union-lorry", "<script>", 20, 20)
		r = burn.NewReport(burn.Merge(c.Snapshot()), map[string]float64{"union-lorry": 0.98, "idle": 0.999})
	})
	DescribeTable("is rendered",
		// Guards against unnoticed changes of the three formats, and unescaped names in HTML.
		func(file string, render func(b *strings.Builder) error) {
			var b strings.Builder
			Expect(render(&b)).To(Succeed())
			Expect(b.String()).To(golden.Match("testdata/" + file))
		},
		Entry("as text", "report.txt", func(b *strings.Builder) error { return r.RenderText(b) }),
		Entry("as JSON", "report.json", func(b *strings.Builder) error { return r.RenderJSON(b) }),
		Entry("as HTML", "report.html", func(b *strings.Builder) error { return r.RenderHTML(b) }),
	)
})
