package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"chivepost/entry/internal/route"
)

// Count counts requests by outcome. Missed are those that were accepted but not answered
// completely in time.
type Count struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	Missed   int `json:"missed"`
}

// Attainment returns the fraction of the sent requests that were answered in time.
func (c Count) Attainment() float64 { return ratio(float64(c.Answered), float64(c.Sent)) }

func (c *Count) add(o Count) {
	c.Sent += o.Sent
	c.Answered += o.Answered
	c.Refused += o.Refused
	c.Missed += o.Missed
}

// Run is the result of a scenario with one policy and one seed, or the sum over several
// seeds. Busy and Wasted are the accelerator seconds spent on all requests and on the missed
// ones.
type Run struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seeds    int    `json:"seeds"`
	Count
	Busy         float64          `json:"busy_seconds"`
	Wasted       float64          `json:"wasted_seconds"`
	Recomputed   int64            `json:"recomputed_tokens"`
	CrossBytes   int64            `json:"cross_region_bytes"`
	ColdRestarts int              `json:"cold_restarts"`
	Retries      int              `json:"retries"`
	Accounts     map[string]Count `json:"accounts"`
	// Seconds counts requests by the second of their arrival.
	Seconds []Count `json:"seconds"`
}

// Add adds the run of another seed to r.
func (r *Run) Add(o Run) {
	r.Scenario, r.Policy = o.Scenario, o.Policy
	r.Seeds += o.Seeds
	r.add(o.Count)
	r.Busy += o.Busy
	r.Wasted += o.Wasted
	r.Recomputed += o.Recomputed
	r.CrossBytes += o.CrossBytes
	r.ColdRestarts += o.ColdRestarts
	r.Retries += o.Retries
	if r.Accounts == nil {
		r.Accounts = map[string]Count{}
	}
	for name, c := range o.Accounts {
		sum := r.Accounts[name]
		sum.add(c)
		r.Accounts[name] = sum
	}
	for len(r.Seconds) < len(o.Seconds) {
		r.Seconds = append(r.Seconds, Count{})
	}
	for i, c := range o.Seconds {
		r.Seconds[i].add(c)
	}
}

// TokensPerAnswer returns the recomputed prefix tokens per request answered in time.
func (r *Run) TokensPerAnswer() float64 { return ratio(float64(r.Recomputed), float64(r.Answered)) }

// BytesPerAnswer returns the bytes sent between regions per request answered in time.
func (r *Run) BytesPerAnswer() float64 { return ratio(float64(r.CrossBytes), float64(r.Answered)) }

// between counts the requests that arrived at or after from and before to.
func (r *Run) between(from, to time.Duration) Count {
	var sum Count
	for i := int(from / time.Second); i < int(to/time.Second) && i < len(r.Seconds); i++ {
		sum.add(r.Seconds[i])
	}
	return sum
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// Report is a comparison of all policies over the same scenarios and seeds.
type Report struct {
	Runs []Run `json:"runs"`
	Aims []Aim `json:"aims"`
}

// Aim is a measured figure and the bound that it should meet.
type Aim struct {
	Policy string  `json:"policy"`
	Name   string  `json:"name"`
	Want   string  `json:"want"`
	Figure float64 `json:"figure"`
	Met    bool    `json:"met"`
}

// WriteJSON writes the report as one JSON document.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// WriteTable writes the report as two text tables, one of the runs and one of the aims.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', tabwriter.Debug)
	header := "scenario policy sent attained refused missed wasted tokens/answer bytes/answer cold_restarts retries"
	_, _ = fmt.Fprintln(t, strings.ReplaceAll(header, " ", "\t "))
	for _, run := range r.Runs {
		_, _ = fmt.Fprintf(t, "%s\t %s\t %d\t %.1f%%\t %.1f%%\t %.1f%%\t %.1f%%\t %.0f\t %.0f\t %d\t %d\n",
			run.Scenario, run.Policy, run.Sent, 100*run.Attainment(), 100*ratio(float64(run.Refused), float64(run.Sent)),
			100*ratio(float64(run.Missed), float64(run.Sent)), 100*ratio(run.Wasted, run.Busy),
			run.TokensPerAnswer(), run.BytesPerAnswer(), run.ColdRestarts, run.Retries)
	}
	_, _ = fmt.Fprintln(t)
	_, _ = fmt.Fprintln(t, "policy\t aim\t want\t figure\t met")
	for _, a := range r.Aims {
		_, _ = fmt.Fprintf(t, "%s\t %s\t %s\t %.3f\t %t\n", a.Policy, a.Name, a.Want, a.Figure, a.Met)
	}
	return t.Flush()
}

// AddAims evaluates the aims whose scenarios were run, for both variants of the default
// policy.
func (r *Report) AddAims(pools []Pool) {
	for _, policy := range []string{route.Chivepost, route.Chivepost + grantedSuffix} {
		r.addOpeningAims(policy, clientSuffix)
		r.addOpeningAims(policy, "")
		r.addWasteAim(policy)
		r.addOutageAims(policy, pools)
		r.addAccountAims(policy)
	}
}

func (r *Report) find(scenario, policy string) *Run {
	i := slices.IndexFunc(r.Runs, func(run Run) bool { return run.Scenario == scenario && run.Policy == policy })
	if i < 0 {
		return nil
	}
	return &r.Runs[i]
}

func (r *Report) addAim(policy, name, want string, figure float64, met bool) {
	r.Aims = append(r.Aims, Aim{Policy: policy, Name: name, Want: want, Figure: figure, Met: met})
}

// addOpeningAims compares the policy with the two baselines in the opening hour. Each aim
// uses the baseline with the better figure.
func (r *Report) addOpeningAims(policy, suffix string) {
	own := r.find(OpeningHour, policy)
	rr, lo := r.find(OpeningHour, route.RoundRobin+suffix), r.find(OpeningHour, route.LeastOutstanding+suffix)
	if own == nil || rr == nil || lo == nil {
		return
	}
	kind := ", shared slots"
	if suffix == clientSuffix {
		kind = ""
	}
	missed := ratio(float64(own.Missed), float64(min(rr.Missed, lo.Missed)))
	r.addAim(policy, "misses at 1.3 times the capacity, part of the baseline's"+kind, "<= 0.200", missed, missed <= 0.2)
	gain := 100 * (own.Attainment() - max(rr.Attainment(), lo.Attainment()))
	r.addAim(policy, "attainment above the baseline's, points"+kind, ">= 20", gain, gain >= 20)
	tokens := ratio(own.TokensPerAnswer(), min(rr.TokensPerAnswer(), lo.TokensPerAnswer()))
	r.addAim(policy, "recomputed prefix tokens per answer, part of the baseline's"+kind, "<= 0.500", tokens, tokens <= 0.5)
	total := ratio(float64(own.Recomputed), float64(min(rr.Recomputed, lo.Recomputed)))
	r.addAim(policy, "recomputed prefix tokens in all, part of the baseline's"+kind, "<= 0.500", total, total <= 0.5)
	bytes := ratio(float64(own.CrossBytes), float64(min(rr.CrossBytes, lo.CrossBytes)))
	r.addAim(policy, "bytes across regions in all, part of the baseline's"+kind, "<= 1.000", bytes, bytes <= 1)
}

func (r *Report) addWasteAim(policy string) {
	if own := r.find(OpeningHour, policy); own != nil {
		wasted := 100 * ratio(own.Wasted, own.Busy)
		r.addAim(policy, "accelerator seconds of requests that miss, per cent", "< 2", wasted, wasted < 2)
	}
}

// addOutageAims compares the answers during the outage of a data centre with the rated
// throughput of the remaining targets, and the attainment after the return with that before
// the outage.
func (r *Report) addOutageAims(policy string, pools []Pool) {
	own := r.find(CentreOut, policy)
	if own == nil || len(own.Seconds) <= int(BackAt/time.Second) {
		return
	}
	out := own.between(OutAt, BackAt)
	capacity := min(float64(out.Sent), float64(own.Seeds)*Capacity(pools, OutRegion)*(BackAt-OutAt).Seconds())
	attained := 100 * ratio(float64(out.Answered), capacity)
	r.addAim(policy, "answers with a data centre out, per cent of the remaining capacity", ">= 97", attained, attained >= 97)
	before := own.between(5*time.Second, OutAt)
	after := own.between(BackAt+10*time.Second, BackAt+15*time.Second)
	level := 100 * (after.Attainment() - before.Attainment())
	r.addAim(policy, "attainment 10 s after the return against before, points", ">= -1", level, level >= -1)
	r.addAim(policy, "targets above their cold limit", "0", float64(own.ColdRestarts), own.ColdRestarts == 0)
}

// addAccountAims compares the attainment of small accounts while the large ones send too much
// with that while the large ones send little.
func (r *Report) addAccountAims(policy string) {
	quiet := r.find(OpeningQuiet, policy)
	if quiet == nil {
		return
	}
	for _, name := range []string{OpeningHour, OneLarge} {
		loaded := r.find(name, policy)
		if loaded == nil {
			continue
		}
		var worst float64
		for _, a := range accounts(1)[2:] {
			loss := 100 * (quiet.Accounts[a.Name].Attainment() - loaded.Accounts[a.Name].Attainment())
			worst = max(worst, loss)
		}
		r.addAim(policy, "points that large accounts cost a small one, "+name, "<= 2", worst, worst <= 2)
	}
}
