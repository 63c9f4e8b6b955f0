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
var page string

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent": percent, "span": span, "rate": rate, "alerts": alerts, "bars": bars,
	"account": func(name string, u BudgetUse) Account { return Account{Name: name, Use: u} },
}).Parse(page))

// RenderJSON writes the report as indented JSON.
func (r Report) RenderJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// RenderText writes the report as a table: a row for each pipeline, and below it one for
// each account that has missed requests or alerts.
func (r Report) RenderText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprint(tw, "PIPELINE\tACCOUNT\tOBJECTIVE\tGOOD\tBAD")
	for _, length := range Windows {
		_, _ = fmt.Fprintf(tw, "\tBURN %s", span(units.Duration(length)))
	}
	_, _ = fmt.Fprintln(tw, "\tBUDGET LEFT\tALERTS")
	for _, p := range r.Pipelines {
		row(tw, p.Name, "all", p.Objective, p.Total)
		for _, a := range p.Accounts {
			if a.Use.Longest().Bad > 0 {
				row(tw, "", a.Name, p.Objective, a.Use)
			}
		}
	}
	return tw.Flush()
}

func row(w io.Writer, pipeline, account string, objective float64, u BudgetUse) {
	goal := "-"
	if objective > 0 {
		goal = percent(objective)
	}
	last := u.Longest()
	_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d", pipeline, account, goal, last.Good, last.Bad)
	for _, win := range u.Windows {
		_, _ = fmt.Fprintf(w, "\t%s", rate(win.BurnRate))
	}
	_, _ = fmt.Fprintf(w, "\t%s\t%s\n", percent(u.BudgetLeft), alerts(u))
}

// Longest returns the longest window.
func (u BudgetUse) Longest() Window { return u.Windows[len(u.Windows)-1] }

// RenderHTML writes the report as one HTML page that loads nothing else.
func (r Report) RenderHTML(w io.Writer) error {
	return pageTemplate.Execute(w, map[string]any{"Pipelines": r.Pipelines, "Rules": Rules, "MinRequests": minRequests})
}

// IsAlerting reports whether a rule fires for a whole pipeline.
func (r Report) IsAlerting() bool {
	for _, p := range r.Pipelines {
		if len(p.Total.Alerts) > 0 {
			return true
		}
	}
	return false
}

func percent(share float64) string {
	text := strings.TrimRight(fmt.Sprintf("%.2f", share*100), "0")
	return strings.TrimSuffix(text, ".") + "%"
}

func rate(r float64) string { return fmt.Sprintf("%.1f", r) }

func alerts(u BudgetUse) string {
	if len(u.Alerts) == 0 {
		return "-"
	}
	return strings.Join(u.Alerts, ", ")
}

// span returns a whole number of hours or minutes in short form.
func span(d units.Duration) string {
	if d.Std()%time.Hour == 0 {
		return fmt.Sprintf("%dh", d.Std()/time.Hour)
	}
	return fmt.Sprintf("%dm", d.Std()/time.Minute)
}

// bar is one 5-minute bucket in the page's chart; units are those of its viewBox.
type bar struct {
	X, Good, Bad, Top float64
	Title             string
}

// bars lays the buckets out, the newest on the right, scaled to the fullest.
func bars(history []Bucket) []bar {
	const height, pitch = 40.0, 5.0
	ring := rings[len(rings)-1]
	var most int64 = 1
	for _, b := range history {
		most = max(most, b.Good+b.Bad)
	}
	out := make([]bar, 0, len(history))
	for _, b := range history {
		age := int(b.Age.Std() / ring.width)
		good, bad := round(height*float64(b.Good)/float64(most)), round(height*float64(b.Bad)/float64(most))
		out = append(out, bar{
			X: float64(ring.buckets-1-age) * pitch, Good: good, Bad: bad, Top: round(height - good - bad),
			Title: fmt.Sprintf("%s ago: %d good, %d bad", b.Age, b.Good, b.Bad),
		})
	}
	return out
}
