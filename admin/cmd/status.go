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

// shownStatus is what status prints.
type shownStatus struct {
	Hosts       []apiv1.Status `json:"hosts"`
	Unreachable []unreachable  `json:"unreachable"`
}

// unreachable is an operator address that did not answer.
type unreachable struct {
	Address string `json:"address"`
	Error   string `json:"error"`
}

// Run asks all operator addresses.
func (c *statusCmd) Run(r *run) error {
	answers, err := r.client.Status(r.ctx)
	if err != nil {
		return err
	}
	result := shownStatus{Hosts: []apiv1.Status{}}
	result.Unreachable = split(answers, func(s apiv1.Status) { result.Hosts = append(result.Hosts, s) })
	if err := r.print(result); err != nil {
		return oops.Wrapf(err, "print status")
	}
	return partial(result.Unreachable)
}

// split passes the answers to take and returns the addresses without one.
func split[T any](answers []oper.Answer[T], take func(T)) []unreachable {
	none := []unreachable{}
	for _, a := range answers {
		if a.Err != nil {
			none = append(none, unreachable{Address: a.Address, Error: a.Err.Error()})
			continue
		}
		take(a.Value)
	}
	return none
}

func partial(none []unreachable) error {
	if len(none) == 0 {
		return nil
	}
	texts := make([]string, len(none))
	for i, s := range none {
		texts[i] = s.Error
	}
	return oops.Code(exits.Partial).Errorf("%d of the operator addresses did not answer: %s", len(none), strings.Join(texts, "; "))
}

// Text writes tables of hosts, of controllers that are not ready, and of targets.
func (s shownStatus) Text(w io.Writer) error {
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

// others lists the hosts that were not asked, as the first host that knows them sees them.
func (s shownStatus) others() [][]string {
	rows := [][]string{{"OTHER HOST", "DATA CENTRE", "STATE", "VERSION", "LAST HEARD", "BY"}}
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

// targets adds up the slots of the hosts that were asked. Hosts may differ on a target's
// state and home for a moment; all values are shown.
func (s shownStatus) targets() [][]string {
	type sum struct {
		first         apiv1.TargetStatus
		states, homes []string
	}
	sums := map[string]*sum{}
	for _, h := range s.Hosts {
		for _, t := range h.Targets {
			at, ok := sums[t.Name]
			if !ok {
				at = &sum{first: t}
				sums[t.Name] = at
			} else {
				at.first.Granted += t.Granted
				at.first.InUse += t.InUse
				at.first.Limit = min(at.first.Limit, t.Limit)
			}
			at.states = appendNew(at.states, t.State)
			at.homes = appendNew(at.homes, t.Home)
		}
	}
	rows := [][]string{{"TARGET", "POOL", "DATA CENTRE", "STATE", "LIMIT", "GRANTED", "IN USE", "HOME"}}
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		t := sums[name]
		rows = append(rows, []string{
			name, t.first.Pool, t.first.DataCentre, strings.Join(t.states, "/"), fmt.Sprint(t.first.Limit),
			fmt.Sprint(t.first.Granted), fmt.Sprint(t.first.InUse), strings.Join(t.homes, "/"),
		})
	}
	return rows
}

func appendNew(list []string, item string) []string {
	if item == "" || slices.Contains(list, item) {
		return list
	}
	return append(list, item)
}
