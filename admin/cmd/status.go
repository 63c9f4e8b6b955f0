package cmd

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/samber/oops"

	"chivepost/admin/internal/exits"
	"chivepost/admin/internal/oper"
	"chivepost/admin/internal/output"
	"chivepost/share/apiv1"
)

type statusCmd struct{}

// statusResult is the result of status.
type statusResult struct {
	Hosts       []apiv1.Status `json:"hosts"`
	Unreachable []unreachable  `json:"unreachable"`
}

// unreachable is an operator address that did not answer, and the error.
type unreachable struct {
	Address string `json:"address"`
	Error   string `json:"error"`
}

// Run reads and prints the status from all operator addresses.
func (c *statusCmd) Run(e *env) error {
	answers, err := e.client.Status(e.ctx)
	if err != nil {
		return err
	}
	result := statusResult{Hosts: []apiv1.Status{}}
	result.Unreachable = splitAnswers(answers, func(s apiv1.Status) { result.Hosts = append(result.Hosts, s) })
	if err := e.print(result); err != nil {
		return oops.Wrapf(err, "print status")
	}
	return partialError(result.Unreachable)
}

// splitAnswers passes the values to add and returns the addresses that did not answer.
func splitAnswers[T any](answers []oper.Answer[T], add func(T)) []unreachable {
	failed := []unreachable{}
	for _, a := range answers {
		if a.Err != nil {
			failed = append(failed, unreachable{Address: a.Address, Error: a.Err.Error()})
			continue
		}
		add(a.Value)
	}
	return failed
}

// partialError returns an error with code Partial if some addresses did not answer.
func partialError(failed []unreachable) error {
	if len(failed) == 0 {
		return nil
	}
	texts := make([]string, len(failed))
	for i, s := range failed {
		texts[i] = s.Error
	}
	return oops.Code(exits.Partial).Errorf("%d of the operator addresses did not answer: %s", len(failed), strings.Join(texts, "; "))
}

// Text writes tables of hosts, of controllers that are not ready, and of targets.
func (s statusResult) Text(w io.Writer) error {
	hosts := [][]string{{"HOST", "DATA CENTRE", "STATE", "READY", "VERSION", "REASONS"}}
	unready := [][]string{{"HOST", "CONTROLLER", "REASON"}}
	for _, h := range s.Hosts {
		hosts = append(hosts, []string{h.Host, h.DataCentre, h.State, yesNo(h.Ready), fmt.Sprint(h.Version), strings.Join(h.Reasons, ", ")})
		for _, name := range slices.Sorted(maps.Keys(h.Controllers)) {
			if c := h.Controllers[name]; !c.Ready {
				unready = append(unready, []string{h.Host, name, c.Reason})
			}
		}
	}
	tables := [][][]string{hosts, unready, s.others(), s.targets()}
	for i, rows := range tables {
		if i > 0 && len(rows) < 2 {
			continue
		}
		if i > 0 {
			if _, err := fmt.Fprintln(w); err != nil {
				return err
			}
		}
		if err := output.Table(w, rows); err != nil {
			return err
		}
	}
	return nil
}

// others lists the hosts that did not answer themselves, each as reported by the first host
// that knows it.
func (s statusResult) others() [][]string {
	rows := [][]string{{"OTHER HOST", "DATA CENTRE", "STATE", "VERSION", "LAST SEEN", "BY"}}
	seen := map[string]bool{}
	for _, h := range s.Hosts {
		seen[h.Host] = true
	}
	for _, h := range s.Hosts {
		for _, o := range h.Hosts {
			if !seen[o.Name] {
				seen[o.Name] = true
				rows = append(rows, []string{o.Name, o.DataCentre, o.State, fmt.Sprint(o.Version), o.Age.String(), h.Host})
			}
		}
	}
	return rows
}

// targets adds up each target's granted and used slots over the hosts that answered. Hosts may
// briefly differ on a target's state and home, so all values are shown.
func (s statusResult) targets() [][]string {
	type summary struct {
		first         apiv1.TargetStatus
		states, homes []string
	}
	summaries := map[string]*summary{}
	for _, h := range s.Hosts {
		for _, t := range h.Targets {
			entry, ok := summaries[t.Name]
			if !ok {
				entry = &summary{first: t}
				summaries[t.Name] = entry
			} else {
				entry.first.Granted += t.Granted
				entry.first.InUse += t.InUse
				entry.first.Limit = min(entry.first.Limit, t.Limit)
			}
			entry.states = appendNew(entry.states, t.State)
			entry.homes = appendNew(entry.homes, t.Home)
		}
	}
	rows := [][]string{{"TARGET", "POOL", "DATA CENTRE", "STATE", "LIMIT", "GRANTED", "IN USE", "HOME"}}
	for _, name := range slices.Sorted(maps.Keys(summaries)) {
		t := summaries[name]
		rows = append(rows, []string{
			name, t.first.Pool, t.first.DataCentre, strings.Join(t.states, "/"), fmt.Sprint(t.first.Limit),
			fmt.Sprint(t.first.Granted), fmt.Sprint(t.first.InUse), strings.Join(t.homes, "/"),
		})
	}
	return rows
}

// appendNew appends item unless it is empty or in the list already.
func appendNew(list []string, item string) []string {
	if item == "" || slices.Contains(list, item) {
		return list
	}
	return append(list, item)
}
