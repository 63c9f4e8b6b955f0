package model

import (
	"time"
)

// Outcome counts how the requests of a load were served.
type Outcome struct {
	Requests, OnTime, Late, Refused, Failed int
	Cancelled                               int
	Moved                                   int // orders handed over to another home
	MaxCredit, Credit                       float64
	Calls, Pieces                           int
	Wasted                                  time.Duration      // target time for results that weren't used
	Busy                                    time.Duration      // target time
	NoSpace                                 int                // pieces that found no space for their result
	ReadBytes, CrossBytes                   int64              // bytes read by pieces and requests, and those of them from other data centres
	Fill                                    map[string]float64 // mean fill of calls in bursts, from 0 to 1, by service
	RefusedLate                             int                // orders without results after more than a quarter of their timeout
	ByKind                                  map[string]*KindOutcome
}

// KindOutcome is the outcome of one kind of request.
type KindOutcome struct {
	Requests, OnTime, Served int
	MaxCredit, Credit        float64
}

// CreditShare returns the share of the possible credit that was earned.
func (o Outcome) CreditShare() float64 { return o.Credit / o.MaxCredit }

// ServedShare returns the share of the requests that were answered, on time or late.
func (o Outcome) ServedShare() float64 { return float64(o.OnTime+o.Late) / float64(o.Requests) }

// PiecesPerCall returns the mean number of pieces in a call.
func (o Outcome) PiecesPerCall() float64 { return float64(o.Pieces) / float64(max(o.Calls, 1)) }

// add returns the sum of two outcomes, but the mean of their fills.
func (o Outcome) add(p Outcome) Outcome {
	p.Requests, p.OnTime, p.Late = o.Requests+p.Requests, o.OnTime+p.OnTime, o.Late+p.Late
	p.Refused, p.Failed, p.Cancelled = o.Refused+p.Refused, o.Failed+p.Failed, o.Cancelled+p.Cancelled
	p.Moved += o.Moved
	p.MaxCredit, p.Credit = o.MaxCredit+p.MaxCredit, o.Credit+p.Credit
	p.Calls, p.Pieces = o.Calls+p.Calls, o.Pieces+p.Pieces
	p.Wasted, p.Busy = o.Wasted+p.Wasted, o.Busy+p.Busy
	p.NoSpace, p.ReadBytes, p.CrossBytes, p.RefusedLate = o.NoSpace+p.NoSpace, o.ReadBytes+p.ReadBytes, o.CrossBytes+p.CrossBytes, o.RefusedLate+p.RefusedLate
	for k, v := range o.Fill {
		p.Fill[k] = (p.Fill[k] + v) / 2
	}
	for k, v := range o.ByKind {
		q := p.ByKind[k]
		q.Requests, q.OnTime, q.Served = q.Requests+v.Requests, q.OnTime+v.OnTime, q.Served+v.Served
		q.MaxCredit, q.Credit = q.MaxCredit+v.MaxCredit, q.Credit+v.Credit
	}
	return p
}
