// Package maker makes the calls to stage targets.
package maker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"

	"chivepost/entry/internal/batch"
	"chivepost/entry/internal/dialer"
	"chivepost/entry/internal/table"
	"chivepost/platform/wire"
	"chivepost/share/fleet"
)

const (
	// channels bounds the connections of a home to one stage target: a call at work,
	// one that waits, and one that gives up results.
	channels = 8
	// maxAnswer bounds the answer to a call: a line for each piece.
	maxAnswer = 1 << 20
)

// Dialer sends requests to targets.
type Dialer interface {
	Do(ctx context.Context, target, address string, limit int, req dialer.Request) (*dialer.Answer, error)
}

// Client implements batch.TargetClient.
type Client struct{ dialer Dialer }

// New returns a maker that sends over d.
func New(d Dialer) *Client { return &Client{dialer: d} }

var faults = map[string]batch.Fault{
	wire.ReasonLate: batch.FaultLate, wire.ReasonGone: batch.FaultGone, wire.ReasonRoom: batch.FaultNoSpace, wire.ReasonError: batch.FaultError,
}

// Run makes one call and returns what became of each piece.
func (m *Client) Run(ctx context.Context, c *batch.Call) ([]batch.Outcome, batch.Failure, error) {
	pieces := make([]wire.Piece, len(c.Pieces))
	for i, p := range c.Pieces {
		pieces[i] = wire.Piece{Request: p.Request, Stage: p.Stage, Number: p.Number, TimeLeft: p.TimeLeft, Key: p.Key, Inputs: p.Inputs}
	}
	body, err := wire.EncodePieces(pieces)
	if err != nil {
		return nil, batch.FailureBroken, err
	}
	status, header, answer, err := m.post(ctx, c.Target, c.Address, wire.PathStageRun, body)
	switch {
	case err != nil:
		return nil, failureOf(ctx, err), err
	case status == http.StatusMisdirectedRequest:
		return nil, batch.FailureUnreachable, errors.New("another target has the address")
	case wire.DecodeAnswer(status, header).NotRun:
		return nil, batch.FailureRefused, fmt.Errorf("refused with status %d", status)
	case status != http.StatusOK:
		return nil, batch.FailureBroken, fmt.Errorf("status %d", status)
	}
	results, err := wire.DecodeResults(answer, len(pieces))
	if err != nil {
		return nil, batch.FailureBroken, err
	}
	out := make([]batch.Outcome, len(results))
	for i, r := range results {
		if out[i].Handle = r.Handle; r.Handle == "" {
			out[i].Fault = batch.FaultError
			if f, ok := faults[r.Reason]; ok {
				out[i].Fault = f
			}
		}
	}
	return out, batch.FailureNone, nil
}

func failureOf(ctx context.Context, err error) batch.Failure {
	var send *dialer.SendError
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return batch.FailureTimeout
	case errors.As(err, &send) && !send.Sent:
		return batch.FailureUnreachable
	}
	return batch.FailureBroken
}

// Free gives up results.
func (m *Client) Free(ctx context.Context, target, address string, handles []string) error {
	body, err := wire.EncodeFree(handles)
	if err != nil {
		return err
	}
	status, _, _, err := m.post(ctx, target, address, wire.PathStageFree, body)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	return err
}

func (m *Client) post(ctx context.Context, target, address, path string, body []byte) (int, http.Header, []byte, error) {
	a, err := m.dialer.Do(ctx, target, address, channels, dialer.Request{
		Method: http.MethodPost, URI: path, Host: address, Header: wire.StageHeader(target), Body: body,
		KeepAlive: wire.KeepAlive,
	})
	if err != nil {
		return 0, nil, nil, err
	}
	defer a.Close()
	data, err := io.ReadAll(io.LimitReader(a, maxAnswer))
	if err != nil {
		return 0, nil, nil, &dialer.SendError{Sent: true, Err: err}
	}
	return a.Status, a.Header, data, nil
}

// Tables tells what is known of the deployment.
type Tables interface {
	View() *table.View
}

// Catalog implements batch.Catalog from the tables.
type Catalog struct {
	tables  Tables
	regions map[string]string // data centre to region
}

// NewCatalog returns a stock; regions maps data centres.
func NewCatalog(tables Tables, regions map[string]string) *Catalog {
	return &Catalog{tables: tables, regions: regions}
}

// Stage returns the figures of a stage service and its targets that may get work,
// in a region or in all.
func (s *Catalog) Stage(service, region string) (fleet.Batching, []batch.Target, bool) {
	v := s.tables.View()
	if v.Config == nil || v.Config.Services[service].Stage == nil {
		return fleet.Batching{}, nil, false
	}
	var out []batch.Target
	for _, t := range v.Targets[service] {
		if r := s.regions[t.DataCentre]; region == "" || r == region {
			out = append(out, batch.Target{ID: t.ID, Address: t.Address, DataCentre: t.DataCentre, Region: r})
		}
	}
	return *v.Config.Services[service].Stage, out, true
}

// splitFrom is the number of targets a region from which on each region has a
// home of its own: enough for calls to be filled, and for the loss of one.
const splitFrom = 3

// IsSplit reports whether the stages' services have enough targets for a home in
// each region.
func (s *Catalog) IsSplit(stages []fleet.Stage) bool {
	regions := map[string]bool{}
	for _, r := range s.regions {
		regions[r] = true
	}
	v := s.tables.View()
	for _, st := range stages {
		if len(v.Targets[st.Service]) < splitFrom*len(regions) {
			return false
		}
	}
	return len(regions) > 1
}

// Region returns the region of a data centre.
func (s *Catalog) Region(dataCentre string) string { return s.regions[dataCentre] }

// Regions returns the names of all regions.
func (s *Catalog) Regions() []string {
	out := slices.Sorted(maps.Values(s.regions))
	return slices.Compact(out)
}
