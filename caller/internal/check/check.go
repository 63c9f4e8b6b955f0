package check

import (
	"fmt"
	"slices"
	"time"

	"chivepost/share/bundle"
	"chivepost/share/target"
)

// Options set up a check.
type Options struct {
	Bundle *bundle.Bundle
	// Ledgers are those of the plain services, added up over their targets.
	Ledgers []target.LedgerEntry
	// HasLedgers says that the ledgers are there, even if they are empty.
	HasLedgers bool
	// Killed are the entry hosts that were killed, or the records of single processes
	// that were: what they left open is no fault.
	Killed []string
	// ColdNotice is the time after a warm target has turned cold without notice in
	// which calls above the cold limit are not counted: nobody can know yet.
	ColdNotice time.Duration
	// LeavingBound is the time after which a leaving target may get no new call.
	LeavingBound time.Duration
	// Strict forbids requests without an outcome, for runs in which nothing is killed.
	Strict bool
}

// Report is the result of a check.
type Report struct {
	// Requests by their final outcome, as their callers saw it.
	Sent      int `json:"sent"`
	Answered  int `json:"answered"`
	Refused   int `json:"refused"`
	Failed    int `json:"failed"`
	Unknown   int `json:"unknown"`
	NoOutcome int `json:"no_outcome"`
	Attempts  int `json:"attempts"`

	// Events of entry hosts and targets, to show what the check rests on.
	Accepted int `json:"accepted"`
	Ended    int `json:"ended"`
	Started  int `json:"started"`
	// ColdUnnoticed counts starts above the cold limit within the time of notice.
	ColdUnnoticed int `json:"cold_unnoticed"`

	// Violations counts what must not happen.
	Violations Violations `json:"forbidden"`
	// Examples names up to 20 of the forbidden cases.
	Examples []string `json:"examples,omitempty"`
}

// Violations counts what must not happen.
type Violations struct {
	// ExecutedTwice: work at a service that runs once, or one attempt, ran twice.
	ExecutedTwice int `json:"executed_twice"`
	// GivenToAnother: an answer was not the one to the request.
	GivenToAnother int `json:"given_to_another"`
	// Incomplete: an answer was not whole.
	Incomplete int `json:"incomplete"`
	// Lost: a request or attempt without an end, or an answer without its work done.
	Lost int `json:"lost"`
	// RefusedButRun: the caller was told that nothing was run, or that only
	// repeatable stages were, but a service that runs once did its work.
	RefusedButRun int `json:"refused_but_run"`
	// AboveColdLimit: a call was started above the cold limit of a cold target.
	AboveColdLimit int `json:"above_cold_limit"`
	// OnLeaving: a leaving target got a new call after the bound.
	OnLeaving int `json:"on_leaving"`
	// ConfigReverted: an entry host went back to an older configuration.
	ConfigReverted int `json:"config_reverted"`
	// NoOutcome: requests without an outcome, in a strict check only.
	NoOutcome int `json:"no_outcome"`
}

// Total returns the number of forbidden cases.
func (f Violations) Total() int {
	return f.ExecutedTwice + f.GivenToAnother + f.Incomplete + f.Lost + f.RefusedButRun +
		f.AboveColdLimit + f.OnLeaving + f.ConfigReverted + f.NoOutcome
}

// maxExamples bounds the cases that are named.
const maxExamples = 20

// checker is a check in progress.
type checker struct {
	opts Options
	Report
	// work holds requests by the name of their work.
	work map[string]*request
	// executed counts executions at services that run once, by pool and work.
	executed map[workKey]int
}

type workKey struct{ pool, work string }

// Run checks the records of all processes.
func Run(records []EventFile, opts Options) Report {
	c := &checker{opts: opts, work: map[string]*request{}, executed: map[workKey]int{}}
	for _, r := range records {
		c.callers(r)
		c.entries(r)
	}
	c.targets(records)
	c.ledgers()
	c.outcomes()
	return c.Report
}

// found counts a forbidden case and names it while there is room.
func (c *checker) found(counter *int, format string, args ...any) {
	*counter++
	if len(c.Examples) < maxExamples {
		c.Examples = append(c.Examples, fmt.Sprintf(format, args...))
	}
}

func (c *checker) wasKilled(host, record string) bool {
	return slices.Contains(c.opts.Killed, host) || slices.Contains(c.opts.Killed, record)
}

// runsOnce reports whether the pool's calls may run at most once.
func (c *checker) runsOnce(pool string) bool {
	p, ok := c.opts.Bundle.Pool(pool)
	return ok && !p.Repeat
}
