package check

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable writes the report as a table of counts, followed by the examples.
func (r Report) WriteTable(w io.Writer) error {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range []struct {
		name  string
		count int
	}{
		{"sent", r.Sent},
		{"answered", r.Answered},
		{"refused", r.Refused},
		{"failed", r.Failed},
		{"unknown", r.Unknown},
		{"no outcome", r.NoOutcome},
		{"attempts", r.Attempts},
		{"accepted by entry hosts", r.Accepted},
		{"ended at entry hosts", r.Ended},
		{"started at targets", r.Started},
		{"above cold limit, unnoticed", r.ColdUnnoticed},
		{"", -1},
		{"executed twice", r.Violations.ExecutedTwice},
		{"given to another", r.Violations.GivenToAnother},
		{"incomplete", r.Violations.Incomplete},
		{"lost", r.Violations.Lost},
		{"refused but run", r.Violations.RefusedButRun},
		{"above cold limit", r.Violations.AboveColdLimit},
		{"on leaving target", r.Violations.OnLeaving},
		{"configuration reverted", r.Violations.ConfigReverted},
		{"no outcome, strict", r.Violations.NoOutcome},
	} {
		if row.count < 0 {
			_, _ = fmt.Fprintln(tab, "forbidden\t")
			continue
		}
		_, _ = fmt.Fprintf(tab, "%s\t%d\n", row.name, row.count)
	}
	for _, e := range r.Examples {
		_, _ = fmt.Fprintln(tab, e)
	}
	return tab.Flush()
}
