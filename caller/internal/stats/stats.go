// Package stats computes counts and latency percentiles from the reports of a load.
package stats

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"chivepost/caller/internal/agent"
	"chivepost/share/apiv1"
	"chivepost/share/units"
)

// Counts holds the numbers of jobs by outcome, and of attempts. Wrong and Incomplete jobs
// also count as answered.
type Counts struct {
	Sent       int `json:"sent"`
	Answered   int `json:"answered"`
	InTime     int `json:"in_time"`
	Refused    int `json:"refused"`
	Failed     int `json:"failed"`
	Unknown    int `json:"unknown"`
	Broken     int `json:"broken"`
	Unsent     int `json:"unsent"`
	Wrong      int `json:"wrong"`
	Incomplete int `json:"incomplete"`
	Attempts   int `json:"attempts"`
}

// Percentiles describes the distribution of a duration. Values are precise to about 1 in 1000.
type Percentiles struct {
	Count int64          `json:"count"`
	P50   units.Duration `json:"p50"`
	P90   units.Duration `json:"p90"`
	P95   units.Duration `json:"p95"`
	P99   units.Duration `json:"p99"`
	Max   units.Duration `json:"max"`
}

// Row is the part of a summary for one pipeline, for one account, or for all jobs.
type Row struct {
	Name string `json:"name"`
	Counts
	// Attainment is the share of jobs that got their complete answer within the deadline.
	Attainment float64     `json:"attainment"`
	Latency    Percentiles `json:"latency"`
}

// Summary is the printable result of a load.
type Summary struct {
	Label      string         `json:"label"`
	Seed       uint64         `json:"seed"`
	Took       units.Duration `json:"took"`
	Total      Row            `json:"total"`
	FirstToken Percentiles    `json:"first_token"`
	TokenGap   Percentiles    `json:"token_gap"`
	Pipelines  []Row          `json:"pipelines"`
	Accounts   []Row          `json:"accounts"`
	// Problems counts final problem documents by their type.
	Problems map[string]int `json:"problems"`
}

// Collector accumulates reports. It is safe for concurrent use.
type Collector struct {
	mu         sync.Mutex
	total      *tally
	pipelines  map[string]*tally
	accounts   map[string]*tally
	firstToken *hdrhistogram.Histogram
	tokenGap   *hdrhistogram.Histogram
	problems   map[string]int
}

// tally accumulates the reports of one row.
type tally struct {
	counts  Counts
	latency *hdrhistogram.Histogram
}

// newHistogram returns a histogram of microseconds from 1 us to 2 min with 3 significant
// digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, (2 * time.Minute).Microseconds(), 3)
}

func newTally() *tally { return &tally{latency: newHistogram()} }

// New returns an empty collector.
func New() *Collector {
	return &Collector{
		total: newTally(), pipelines: map[string]*tally{}, accounts: map[string]*tally{},
		firstToken: newHistogram(), tokenGap: newHistogram(), problems: map[string]int{},
	}
}

// Add adds one report to the totals and to the rows of its pipeline and account.
func (c *Collector) Add(r agent.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total.add(r)
	tallyOf(c.pipelines, r.Pipeline).add(r)
	tallyOf(c.accounts, r.Account).add(r)
	if r.Problem != nil {
		c.problems[r.Problem.Type]++
	}
	if r.Outcome != apiv1.Answered {
		return
	}
	if r.FirstToken > 0 {
		record(c.firstToken, r.FirstToken)
	}
	for _, g := range r.TokenGaps {
		record(c.tokenGap, g)
	}
}

// tallyOf returns the tally of name, which it adds to m if necessary.
func tallyOf(m map[string]*tally, name string) *tally {
	if m[name] == nil {
		m[name] = newTally()
	}
	return m[name]
}

// record adds d to the histogram, limited to the histogram's range.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), h.HighestTrackableValue()))
}

func (t *tally) add(r agent.Report) {
	n := &t.counts
	n.Sent++
	n.Attempts += r.Attempts
	switch r.Outcome {
	case apiv1.Answered:
		n.Answered++
		record(t.latency, r.Latency)
	case apiv1.Refused:
		n.Refused++
	case apiv1.Failed:
		n.Failed++
	case apiv1.Unknown:
		n.Unknown++
	case agent.Broken:
		n.Broken++
	case agent.Unsent:
		n.Unsent++
	}
	switch r.Flaw {
	case agent.FlawWrong:
		n.Wrong++
	case agent.FlawIncomplete:
		n.Incomplete++
	}
	if r.InTime {
		n.InTime++
	}
}

func (t *tally) row(name string) Row {
	row := Row{Name: name, Counts: t.counts, Latency: percentiles(t.latency)}
	if row.Sent > 0 {
		row.Attainment = float64(row.InTime) / float64(row.Sent)
	}
	return row
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) units.Duration {
		return units.Duration(time.Duration(h.ValueAtQuantile(q)) * time.Microsecond)
	}
	return Percentiles{
		Count: h.TotalCount(), P50: at(50), P90: at(90), P95: at(95), P99: at(99),
		Max: units.Duration(time.Duration(h.Max()) * time.Microsecond),
	}
}

// Summary returns the totals and rows so far. Rows are sorted by name.
func (c *Collector) Summary(label string, seed uint64, took time.Duration) Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Summary{
		Label: label, Seed: seed, Took: units.Duration(took.Round(time.Millisecond)),
		Total: c.total.row("total"), FirstToken: percentiles(c.firstToken), TokenGap: percentiles(c.tokenGap),
		Pipelines: rows(c.pipelines), Accounts: rows(c.accounts), Problems: maps.Clone(c.problems),
	}
}

func rows(m map[string]*tally) []Row {
	out := []Row{}
	for _, name := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[name].row(name))
	}
	return out
}
