// Package check reads what callers, entry hosts, targets and service ledgers
// recorded and reports what must not have happened.
package check

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/samber/oops"

	"chivepost/share/events"
)

// EventFile is the events of one process, in the order in which they were written.
type EventFile struct {
	Name   string
	Events []events.Event
}

// ReadEvents reads events as JSON lines. A last line that was cut short, as a killed
// process leaves it, is left out.
func ReadEvents(name string, r io.Reader) (EventFile, error) {
	rec := EventFile{Name: name}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), 1<<20)
	var bad error
	for line := 1; scanner.Scan(); line++ {
		if bad != nil {
			return rec, bad
		}
		if len(scanner.Bytes()) == 0 {
			continue
		}
		var e events.Event
		if err := json.Unmarshal(scanner.Bytes(), &e); err != nil {
			bad = oops.With("file", name).Wrapf(err, "line %d of events", line)
			continue
		}
		rec.Events = append(rec.Events, e)
	}
	return rec, oops.With("file", name).Wrapf(scanner.Err(), "read events")
}
