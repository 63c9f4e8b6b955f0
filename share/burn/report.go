package burn

import (
	"maps"
	"math"
	"slices"
	"time"

	"chivepost/share/units"
)

// Rule is an alert rule over two windows. It fires while the burn rate of both is at least
// Rate: the long window shows that the failures are significant, the short window that
// they are still going on.
type Rule struct {
	Name  string         `json:"name"`
	Long  units.Duration `json:"long"`
	Short units.Duration `json:"short"`
	Rate  float64        `json:"rate"`
}

// Rules lists the alert rules. With an error budget for 30 days, a rate of 14.4 uses 2% of
// it in an hour and a rate of 6 uses 5% of it in six hours.
var Rules = []Rule{
	{Name: "fast", Long: units.Duration(time.Hour), Short: units.Duration(5 * time.Minute), Rate: 14.4},
	{Name: "slow", Long: units.Duration(6 * time.Hour), Short: units.Duration(30 * time.Minute), Rate: 6},
}

// minRequests is the number of requests in the long window below which no rule fires.
// With fewer requests, a single failure would exceed the burn rate of every rule.
const minRequests = 10

// Report describes how much of its error budget each pipeline has used.
type Report struct {
	Pipelines []Pipeline `json:"pipelines"`
}

// Pipeline is the report on one pipeline and its client accounts. Objective is 0 if the
// configuration has no such pipeline; there are then no burn rates and no alerts.
type Pipeline struct {
	Name      string    `json:"name"`
	Objective float64   `json:"objective"`
	Total     BudgetUse `json:"total"`
	Accounts  []Account `json:"accounts"`
	History   []Bucket  `json:"history"`
}

// Account is the report on one client account of a pipeline.
type Account struct {
	Name string    `json:"name"`
	Use  BudgetUse `json:"use"`
}

// BudgetUse describes how much of an error budget has been used. BudgetLeft is the share
// of the budget that is left in the longest window; it is negative once the objective is
// missed.
type BudgetUse struct {
	Windows    []Window `json:"windows"`
	BudgetLeft float64  `json:"budget_left"`
	Alerts     []string `json:"alerts"`
}

// Window holds the counts of the last Length. Attainment is the share of good requests, or
// 1 if there are none. BurnRate is the share of bad requests relative to the error budget:
// at 1, the budget is used up exactly at the end of the window.
type Window struct {
	Length     units.Duration `json:"length"`
	Good       int64          `json:"good"`
	Bad        int64          `json:"bad"`
	Attainment float64        `json:"attainment"`
	BurnRate   float64        `json:"burn_rate"`
}

// NewReport returns the report on merged counts. objectives maps each pipeline to the share
// of requests to be answered in time; pipelines without counts are included.
func NewReport(merged Snapshot, objectives map[string]float64) Report {
	counts := map[string][]Series{}
	for name := range objectives {
		counts[name] = nil
	}
	for _, s := range merged.Series {
		counts[s.Pipeline] = append(counts[s.Pipeline], s)
	}
	report := Report{Pipelines: []Pipeline{}}
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		p := Pipeline{Name: name, Objective: objectives[name], Accounts: []Account{}, History: []Bucket{}}
		total := map[units.Duration]Count{}
		for _, s := range counts[name] {
			byWindow := map[units.Duration]Count{}
			for _, c := range s.Windows {
				byWindow[c.Window] = c
				total[c.Window] = Count{Good: total[c.Window].Good + c.Good, Bad: total[c.Window].Bad + c.Bad}
			}
			p.Accounts = append(p.Accounts, Account{Name: s.Account, Use: newBudgetUse(byWindow, p.Objective)})
		}
		p.Total = newBudgetUse(total, p.Objective)
		for _, h := range merged.History {
			if h.Pipeline == name {
				p.History = h.Buckets
			}
		}
		report.Pipelines = append(report.Pipelines, p)
	}
	return report
}

func newBudgetUse(counts map[units.Duration]Count, objective float64) BudgetUse {
	u := BudgetUse{Alerts: []string{}, BudgetLeft: 1}
	for _, length := range Windows {
		c := counts[units.Duration(length)]
		w := Window{Length: units.Duration(length), Good: c.Good, Bad: c.Bad, Attainment: 1}
		if all := c.Good + c.Bad; all > 0 {
			missed := float64(c.Bad) / float64(all)
			w.Attainment = round(1 - missed)
			if objective > 0 && objective < 1 {
				w.BurnRate = round(missed / (1 - objective))
			}
		}
		u.Windows = append(u.Windows, w)
		u.BudgetLeft = round(1 - w.BurnRate)
	}
	for _, rule := range Rules {
		if rule.fires(u) {
			u.Alerts = append(u.Alerts, rule.Name)
		}
	}
	return u
}

func (r Rule) fires(u BudgetUse) bool {
	long, short := u.window(r.Long), u.window(r.Short)
	return long.Good+long.Bad >= minRequests && long.BurnRate >= r.Rate && short.BurnRate >= r.Rate
}

func (u BudgetUse) window(length units.Duration) Window {
	for _, w := range u.Windows {
		if w.Length == length {
			return w
		}
	}
	return Window{}
}

// round keeps six decimals, so that equal counts give equal text on every machine.
func round(f float64) float64 { return math.Round(f*1e6) / 1e6 }
