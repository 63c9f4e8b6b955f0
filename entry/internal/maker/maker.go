// Package maker calls the targets of stages for the home and lists the targets that the
// home may use.
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
	// maxConnections bounds the connections of a home to one stage target. There is room for
	// a running call, a waiting call and one that frees results.
	maxConnections = 8
	// maxAnswer bounds the bytes that are read of an answer, which has a line for each piece.
	maxAnswer = 1 << 20
)

// Dialer sends requests to targets.
type Dialer interface {
	Do(ctx context.Context, target, address string, limit int, req dialer.Request) (*dialer.Answer, error)
}

// Client calls stage targets over HTTP. It implements batch.TargetClient.
type Client struct{ dialer Dialer }

// New returns a client that sends over d.
func New(d Dialer) *Client { return &Client{dialer: d} }

var faultsByReason = map[string]batch.Fault{
	wire.ReasonLate: batch.FaultLate, wire.ReasonGone: batch.FaultGone, wire.ReasonNoSpace: batch.FaultNoSpace, wire.ReasonError: batch.FaultError,
}

// Run sends the pieces of a call to its target and returns the outcome of each. If the call
// as a whole fails, it returns the kind of failure and an error instead.
func (c *Client) Run(ctx context.Context, call *batch.Call) ([]batch.Outcome, batch.Failure, error) {
	pieces := make([]wire.Piece, len(call.Pieces))
	for i, p := range call.Pieces {
		pieces[i] = wire.Piece{Request: p.Request, Stage: p.Stage, Number: p.Number, TimeLeft: p.TimeLeft, Key: p.Key, Inputs: p.Inputs}
	}
	body, err := wire.EncodePieces(pieces)
	if err != nil {
		return nil, batch.FailureBroken, err
	}
	status, header, answer, err := c.post(ctx, call.Target, call.Address, wire.PathStageRun, body)
	switch {
	case err != nil:
		return nil, failureOf(ctx, err), err
	case status == http.StatusMisdirectedRequest:
		return nil, batch.FailureUnreachable, errors.New("another target uses the address")
	case wire.DecodeAnswer(status, header).NotRun:
		return nil, batch.FailureRefused, fmt.Errorf("the target refused with status %d", status)
	case status != http.StatusOK:
		return nil, batch.FailureBroken, fmt.Errorf("the target answered with status %d", status)
	}
	results, err := wire.DecodeResults(answer, len(pieces))
	if err != nil {
		return nil, batch.FailureBroken, err
	}
	out := make([]batch.Outcome, len(results))
	for i, r := range results {
		if out[i].Handle = r.Handle; r.Handle == "" {
			out[i].Fault = batch.FaultError
			if f, ok := faultsByReason[r.Reason]; ok {
				out[i].Fault = f
			}
		}
	}
	return out, batch.FailureNone, nil
}

// failureOf returns the kind of failure for an error of a send. It is FailureUnreachable
// only if nothing was sent.
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

// Free frees stage results at a target.
func (c *Client) Free(ctx context.Context, target, address string, handles []string) error {
	body, err := wire.EncodeFree(handles)
	if err != nil {
		return err
	}
	status, _, _, err := c.post(ctx, target, address, wire.PathStageFree, body)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("free results: the target answered with status %d", status)
	}
	return err
}

// post sends a request to a target and reads the answer, but a body only if its status is
// 200. Errors are of type *dialer.SendError.
func (c *Client) post(ctx context.Context, target, address, path string, body []byte) (int, http.Header, []byte, error) {
	a, err := c.dialer.Do(ctx, target, address, maxConnections, dialer.Request{
		Method: http.MethodPost, URI: path, Host: address, Header: wire.StageHeader(target), Body: body,
		KeepAlive: wire.KeepAlive,
	})
	if err != nil {
		return 0, nil, nil, err
	}
	defer a.Close()
	if a.Status != http.StatusOK {
		a.Discard()
		return a.Status, a.Header, nil, nil
	}
	data, err := io.ReadAll(io.LimitReader(a, maxAnswer+1))
	if err == nil && len(data) > maxAnswer {
		err = fmt.Errorf("the answer is longer than %d bytes", maxAnswer)
	}
	if err != nil {
		return 0, nil, nil, &dialer.SendError{Sent: true, Err: err}
	}
	return a.Status, a.Header, data, nil
}

// Tables provides the current view of the deployment.
type Tables interface {
	View() *table.View
}

// Catalog lists stage services and their targets from the tables. It implements
// batch.Catalog.
type Catalog struct {
	tables  Tables
	regions map[string]string // data centre to region
}

// NewCatalog returns a catalog. regions maps each data centre to its region.
func NewCatalog(tables Tables, regions map[string]string) *Catalog {
	return &Catalog{tables: tables, regions: regions}
}

// Stage returns the batching parameters of a stage service and its available targets in a
// region, or in all regions if region is empty. It returns false if there is no such
// service.
func (c *Catalog) Stage(service, region string) (fleet.Batching, []batch.Target, bool) {
	v := c.tables.View()
	if v.Config == nil || v.Config.Services[service].Stage == nil {
		return fleet.Batching{}, nil, false
	}
	var out []batch.Target
	for _, t := range v.Targets[service] {
		if r := c.regions[t.DataCentre]; region == "" || r == region {
			out = append(out, batch.Target{ID: t.ID, Address: t.Address, DataCentre: t.DataCentre, Region: r})
		}
	}
	return *v.Config.Services[service].Stage, out, true
}

// minTargetsPerRegion is the average number of targets per region from which on each region
// has its own home: enough to fill calls and to lose a target.
const minTargetsPerRegion = 3

// IsSplit reports whether each region has its own home for the stages: there must be more
// than one region, and every stage's service needs enough targets.
func (c *Catalog) IsSplit(stages []fleet.Stage) bool {
	regions := map[string]bool{}
	for _, r := range c.regions {
		regions[r] = true
	}
	v := c.tables.View()
	for _, st := range stages {
		if len(v.Targets[st.Service]) < minTargetsPerRegion*len(regions) {
			return false
		}
	}
	return len(regions) > 1
}

// Region returns the region of a data centre.
func (c *Catalog) Region(dataCentre string) string { return c.regions[dataCentre] }

// Regions returns the sorted names of all regions.
func (c *Catalog) Regions() []string {
	out := slices.Sorted(maps.Values(c.regions))
	return slices.Compact(out)
}
