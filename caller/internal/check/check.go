package check

import (
	"fmt"
	"slices"
	"time"

	"chivepost/share/bundle"
	"chivepost/share/target"
)

// Options configures a check.
type Options struct {
	Bundle *bundle.Bundle
	// Ledgers holds the ledger entries of all targets of plain services; several entries for
	// the same work add up.
	Ledgers []target.LedgerEntry
	// HasLedgers is set if ledgers were given. They may be empty.
	HasLedgers bool
	// Killed names the entry hosts that were killed, or the event files of killed processes.
	// Requests and attempts that they left without an end are no violation.
	Killed []string
	// ColdNotice is the time after an unannounced cold start of a warm target in which calls
	// above the cold limit are no violation: no entry host can know of the cold start yet.
	ColdNotice time.Duration
	// LeavingBound is the time after which a leaving target may receive no new call.
	LeavingBound time.Duration
	// Strict makes a request without an outcome a violation, for runs in which nothing is killed.
	Strict bool
}

// Report is the result of a check.
type Report struct {
	// Requests by their final outcome, as their callers recorded it.
	Sent      int `json:"sent"`
	Answered  int `json:"answered"`
	Refused   int `json:"refused"`
	Failed    int `json:"failed"`
	Unknown   int `json:"unknown"`
	NoOutcome int `json:"no_outcome"`
	Attempts  int `json:"attempts"`

	// Numbers of events of entry hosts and targets, which show how much was checked.
	Accepted int `json:"accepted"`
	Ended    int `json:"ended"`
	Started  int `json:"started"`
	// ColdUnnoticed counts calls started above the cold limit within Options.ColdNotice.
	ColdUnnoticed int `json:"cold_unnoticed"`

	// Violations counts what must not happen, by kind.
	Violations Violations `json:"forbidden"`
	// Examples describes the first 20 violations.
	Examples []string `json:"examples,omitempty"`
}

// Violations counts what must not happen, by kind.
type Violations struct {
	// ExecutedTwice counts work that ran more than once at a service that runs it at most
	// once, and attempts that were started twice.
	ExecutedTwice int `json:"executed_twice"`
	// GivenToAnother counts answers that belong to another request.
	GivenToAnother int `json:"given_to_another"`
	// Incomplete counts answers that were not complete.
	Incomplete int `json:"incomplete"`
	// Lost counts requests and attempts without exactly one end, and answers without an
	// execution.
	Lost int `json:"lost"`
	// RefusedButRun counts requests whose outcome says that nothing ran, or only stages that
	// may be retried, although a service that runs work at most once ran it.
	RefusedButRun int `json:"refused_but_run"`
	// AboveColdLimit counts calls started above the cold limit of a cold target.
	AboveColdLimit int `json:"above_cold_limit"`
	// OnLeaving counts calls started at a leaving target after Options.LeavingBound.
	OnLeaving int `json:"on_leaving"`
	// ConfigReverted counts changes of an entry host back to an older configuration.
	ConfigReverted int `json:"config_reverted"`
	// NoOutcome counts requests without an outcome, in a strict check only.
	NoOutcome int `json:"no_outcome"`
}

// Total returns the number of violations of all kinds.
func (v Violations) Total() int {
	return v.ExecutedTwice + v.GivenToAnother + v.Incomplete + v.Lost + v.RefusedButRun +
		v.AboveColdLimit + v.OnLeaving + v.ConfigReverted + v.NoOutcome
}

// maxExamples limits Report.Examples.
const maxExamples = 20

// checker is the state of one check.
type checker struct {
	opts Options
	Report
	// requests holds what callers recorded, by work ID.
	requests map[string]*request
	// executed counts executions in pools that run work at most once.
	executed map[workKey]int
}

// workKey identifies a piece of work at a pool.
type workKey struct{ pool, work string }

// Run checks the event files of all processes together.
func Run(files []EventFile, opts Options) Report {
	c := &checker{opts: opts, requests: map[string]*request{}, executed: map[workKey]int{}}
	for _, f := range files {
		c.checkCallerEvents(f)
		c.checkEntryEvents(f)
	}
	c.checkTargetEvents(files)
	c.checkLedgers()
	c.checkOutcomes()
	return c.Report
}

// addViolation counts a violation and adds it to the examples until there are maxExamples.
func (c *checker) addViolation(counter *int, format string, args ...any) {
	*counter++
	if len(c.Examples) < maxExamples {
		c.Examples = append(c.Examples, fmt.Sprintf(format, args...))
	}
}

func (c *checker) wasKilled(host, file string) bool {
	return slices.Contains(c.opts.Killed, host) || slices.Contains(c.opts.Killed, file)
}

// atMostOnce reports whether the pool's calls may run at most once.
func (c *checker) atMostOnce(pool string) bool {
	p, ok := c.opts.Bundle.Pool(pool)
	return ok && !p.Retryable
}
