// Package check reads the events of callers, entry hosts and targets and the ledgers of
// services, and reports violations of what the system guarantees.
package check

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/samber/oops"

	"chivepost/share/events"
)

// EventFile holds the events of one process, or of all processes of one host, in the order
// in which they were written.
type EventFile struct {
	Name   string
	Events []events.Event
}

// ReadEvents reads events as JSON lines. A truncated last line, as a killed process leaves
// it, is skipped.
func ReadEvents(name string, r io.Reader) (EventFile, error) {
	file := EventFile{Name: name}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), 1<<20)
	var lineErr error
	for line := 1; scanner.Scan(); line++ {
		if lineErr != nil {
			return file, lineErr
		}
		if len(scanner.Bytes()) == 0 {
			continue
		}
		var e events.Event
		if err := json.Unmarshal(scanner.Bytes(), &e); err != nil {
			lineErr = oops.With("file", name).Wrapf(err, "line %d of events", line)
			continue
		}
		file.Events = append(file.Events, e)
	}
	return file, oops.With("file", name).Wrapf(scanner.Err(), "read events")
}
