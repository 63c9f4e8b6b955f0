package cmd

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/samber/oops"

	"chivepost/admin/internal/exits"
	"chivepost/admin/internal/output"
	"chivepost/share/apiv1"
)

// maxExplanation bounds the answer of a host: some hundred bytes for each target.
const maxExplanation = 4 << 20

type explainCmd struct {
	Metrics string `name:"metrics" required:"" placeholder:"ADDR" help:"Metrics address (ip:port) of an entry host on the platform."`
	Host    string `arg:"" help:"Host name of the request."`
	Path    string `arg:"" help:"Path of the request."`
	Account string `name:"account" help:"Name of the client account."`
	Prefix  string `name:"prefix" placeholder:"ID:TOKENS,..." help:"Parts of the prompt, in order."`
}

// explainResult is the result of explain.
type explainResult struct{ apiv1.Explanation }

// Run asks a host where it would send a request now. The request isn't sent.
func (c *explainCmd) Run(e *env) error {
	q := url.Values{apiv1.ParamHost: {c.Host}, apiv1.ParamPath: {c.Path}}
	if c.Account != "" {
		q.Set(apiv1.ParamAccount, c.Account)
	}
	if c.Prefix != "" {
		q.Set(apiv1.ParamPrefix, c.Prefix)
	}
	client := &http.Client{Timeout: e.prefs.Operator.Timeout}
	address := url.URL{Scheme: "http", Host: c.Metrics, Path: apiv1.PathExplain, RawQuery: q.Encode()}
	req, err := http.NewRequestWithContext(e.ctx, http.MethodGet, address.String(), nil)
	if err != nil {
		return oops.Code(exits.Usage).Wrapf(err, "metrics address %s", c.Metrics)
	}
	resp, err := client.Do(req)
	if err != nil {
		return oops.Code(exits.Unreachable).Wrapf(err, "ask %s", c.Metrics)
	}
	defer func() { _ = resp.Body.Close() }() // read to its end, or not usable anyway
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxExplanation))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.New(strings.TrimSpace(string(body)))
	}
	var out explainResult
	if err == nil {
		err = json.Unmarshal(body, &out)
	}
	if err != nil {
		return oops.Wrapf(err, "ask %s (status %d)", c.Metrics, resp.StatusCode)
	}
	return oops.Wrapf(e.print(out), "print explanation")
}

// Text writes the route, and a table of targets for each of its services.
func (r explainResult) Text(w io.Writer) error {
	_, err := fmt.Fprintf(w, "host %s, configuration %d, route %s, objective %d ms, timeout %d ms\n", r.Host, r.ConfigVersion, r.Route, r.ObjectiveMS, r.TimeoutMS)
	if err == nil && r.StageHome != "" {
		_, err = fmt.Fprintf(w, "stages are queued at %s, which may name a target by the prompts of its region\n", r.StageHome)
	}
	for _, s := range r.Services {
		verdict := "goes to " + s.Chosen
		if s.Chosen == "" {
			verdict = "is refused: " + s.Refusal
		}
		if err == nil {
			_, err = fmt.Fprintf(w, "\nservice %s (weight %d): the request %s\n", s.Service, s.Weight, verdict)
		}
		rows := [][]string{{"TARGET", "DATA CENTRE", "DISTANCE", "IN FLIGHT", "LOAD", "RANK", "PREFIX", "STATE"}}
		for _, t := range s.Targets {
			rows = append(rows, []string{
				t.Target, t.DataCentre, fmt.Sprint(t.Distance), fmt.Sprint(t.InFlight), fmt.Sprintf("%.2f", t.Load), fmt.Sprintf("%.2f", t.Rank), fmt.Sprint(t.Prefix), t.State,
			})
		}
		if err == nil {
			err = output.Table(w, rows)
		}
	}
	return err
}
