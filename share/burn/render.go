package burn

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"chivepost/share/units"
)

//go:embed report.html
var pageSource string

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent": formatPercent, "span": formatDuration, "rate": formatRate, "alerts": formatAlerts, "bars": chartBars,
	"account": func(name string, u BudgetUse) Account { return Account{Name: name, Use: u} },
}).Parse(pageSource))

// RenderJSON writes the report as indented JSON.
func (r Report) RenderJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// RenderText writes the report as a table with a row for each pipeline, followed by a row
// for each account with bad requests in the longest window.
func (r Report) RenderText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprint(tw, "PIPELINE\tACCOUNT\tOBJECTIVE\tGOOD\tBAD")
	for _, length := range Windows {
		_, _ = fmt.Fprintf(tw, "\tBURN %s", formatDuration(units.Duration(length)))
	}
	_, _ = fmt.Fprintln(tw, "\tBUDGET LEFT\tALERTS")
	for _, p := range r.Pipelines {
		writeRow(tw, p.Name, "all", p.Objective, p.Total)
		for _, a := range p.Accounts {
			if a.Use.Longest().Bad > 0 {
				writeRow(tw, "", a.Name, p.Objective, a.Use)
			}
		}
	}
	return tw.Flush()
}

func writeRow(w io.Writer, pipeline, account string, objective float64, u BudgetUse) {
	objectiveText := "-"
	if objective > 0 {
		objectiveText = formatPercent(objective)
	}
	last := u.Longest()
	_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d", pipeline, account, objectiveText, last.Good, last.Bad)
	for _, win := range u.Windows {
		_, _ = fmt.Fprintf(w, "\t%s", formatRate(win.BurnRate))
	}
	_, _ = fmt.Fprintf(w, "\t%s\t%s\n", formatPercent(u.BudgetLeft), formatAlerts(u))
}

// Longest returns the longest window.
func (u BudgetUse) Longest() Window { return u.Windows[len(u.Windows)-1] }

// RenderHTML writes the report as a self-contained HTML page.
func (r Report) RenderHTML(w io.Writer) error {
	return pageTemplate.Execute(w, map[string]any{"Pipelines": r.Pipelines, "Rules": Rules, "MinRequests": minRequests})
}

// IsAlerting reports whether an alert rule fires for a pipeline as a whole. Alerts of
// single accounts don't count.
func (r Report) IsAlerting() bool {
	for _, p := range r.Pipelines {
		if len(p.Total.Alerts) > 0 {
			return true
		}
	}
	return false
}

func formatPercent(share float64) string {
	text := strings.TrimRight(fmt.Sprintf("%.2f", share*100), "0")
	return strings.TrimSuffix(text, ".") + "%"
}

func formatRate(r float64) string { return fmt.Sprintf("%.1f", r) }

func formatAlerts(u BudgetUse) string {
	if len(u.Alerts) == 0 {
		return "-"
	}
	return strings.Join(u.Alerts, ", ")
}

// formatDuration formats a duration in whole hours, or else in whole minutes, such as 6h
// or 30m.
func formatDuration(d units.Duration) string {
	if d.Std()%time.Hour == 0 {
		return fmt.Sprintf("%dh", d.Std()/time.Hour)
	}
	return fmt.Sprintf("%dm", d.Std()/time.Minute)
}

// bar is one 5-minute bucket of the chart on the HTML page, in units of its viewBox.
type bar struct {
	X, Good, Bad, Top float64
	Title             string
}

// chartBars returns the bars of the chart, the newest on the right, scaled so that the
// bucket with the most requests has the full height.
func chartBars(history []Bucket) []bar {
	const height, pitch = 40.0, 5.0
	coarsest := resolutions[len(resolutions)-1]
	var maxCount int64 = 1
	for _, b := range history {
		maxCount = max(maxCount, b.Good+b.Bad)
	}
	out := make([]bar, 0, len(history))
	for _, b := range history {
		age := int(b.Age.Std() / coarsest.width)
		good, bad := round(height*float64(b.Good)/float64(maxCount)), round(height*float64(b.Bad)/float64(maxCount))
		out = append(out, bar{
			X: float64(coarsest.buckets-1-age) * pitch, Good: good, Bad: bad, Top: round(height - good - bad),
			Title: fmt.Sprintf("%s ago: %d good, %d bad", b.Age, b.Good, b.Bad),
		})
	}
	return out
}
