package stats

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"chivepost/share/units"
)

// WriteTable writes the summary as tables of text.
func (s Summary) WriteTable(w io.Writer) error {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(tab, format+"\n", args...) }
	line("label %s, seed %d, took %s", s.Label, s.Seed, s.Took)
	line("")
	line("name\tsent\tanswered\tin time\trefused\tfailed\tunknown\tbroken\tunsent\twrong\tincomplete\tattempts\tattainment\tp50\tp95\tp99\tmax")
	rows := append([]Row{s.Total}, s.Pipelines...)
	for _, r := range append(rows, s.Accounts...) {
		line("%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f%%\t%s\t%s\t%s\t%s",
			r.Name, r.Sent, r.Answered, r.InTime, r.Refused, r.Failed, r.Unknown, r.Broken, r.Unsent,
			r.Wrong, r.Incomplete, r.Attempts, r.Attainment*100,
			short(r.Latency.P50), short(r.Latency.P95), short(r.Latency.P99), short(r.Latency.Max))
	}
	line("")
	line("time\tcount\tp50\tp95\tp99\tmax")
	for _, p := range []struct {
		name string
		Percentiles
	}{{"first token", s.FirstToken}, {"between tokens", s.TokenGap}} {
		line("%s\t%d\t%s\t%s\t%s\t%s", p.name, p.Count, short(p.P50), short(p.P95), short(p.P99), short(p.Max))
	}
	if len(s.Problems) > 0 {
		line("")
		line("problem\tcount")
		for _, name := range slices.Sorted(maps.Keys(s.Problems)) {
			line("%s\t%d", name, s.Problems[name])
		}
	}
	return tab.Flush()
}

// short formats d, rounded to 0.1 ms.
func short(d units.Duration) string { return d.Std().Round(100 * time.Microsecond).String() }
