package model

import (
	"time"
)

// Outcome sums up how a load was served.
type Outcome struct {
	Asked, OnTime, Late, Refused, Failed int
	Left                                 int
	Moved                                int // orders handed over to another home
	Owed, Earned                         float64
	Calls, Pieces                        int
	Wasted                               time.Duration      // of targets, for results that nobody used
	Busy                                 time.Duration      // of targets
	NoRoom                               int                // pieces that found no space
	Read, Crossed                        int64              // bytes of results read by pieces and requests, and those from other data centres
	Fill                                 map[string]float64 // mean part of a full call in bursts, by service
	HeldLate                             int                // requests that were refused after more than a quarter of their deadline
	ByKind                               map[string]*KindOutcome
}

// KindOutcome is the outcome of one kind.
type KindOutcome struct {
	Asked, OnTime, Served int
	Owed, Earned          float64
}

// Share returns the part of the credit that was earned.
func (o Outcome) Share() float64 { return o.Earned / o.Owed }

// Served returns the part of the requests that were answered.
func (o Outcome) Served() float64 { return float64(o.OnTime+o.Late) / float64(o.Asked) }

// PerCall returns the mean number of pieces in a call.
func (o Outcome) PerCall() float64 { return float64(o.Pieces) / float64(max(o.Calls, 1)) }

// plus adds two outcomes up.
func (o Outcome) plus(p Outcome) Outcome {
	p.Asked, p.OnTime, p.Late = o.Asked+p.Asked, o.OnTime+p.OnTime, o.Late+p.Late
	p.Refused, p.Failed, p.Left = o.Refused+p.Refused, o.Failed+p.Failed, o.Left+p.Left
	p.Moved += o.Moved
	p.Owed, p.Earned = o.Owed+p.Owed, o.Earned+p.Earned
	p.Calls, p.Pieces = o.Calls+p.Calls, o.Pieces+p.Pieces
	p.Wasted, p.Busy = o.Wasted+p.Wasted, o.Busy+p.Busy
	p.NoRoom, p.Read, p.Crossed, p.HeldLate = o.NoRoom+p.NoRoom, o.Read+p.Read, o.Crossed+p.Crossed, o.HeldLate+p.HeldLate
	for k, v := range o.Fill {
		p.Fill[k] = (p.Fill[k] + v) / 2
	}
	for k, v := range o.ByKind {
		q := p.ByKind[k]
		q.Asked, q.OnTime, q.Served = q.Asked+v.Asked, q.OnTime+v.OnTime, q.Served+v.Served
		q.Owed, q.Earned = q.Owed+v.Owed, q.Earned+v.Earned
	}
	return p
}
