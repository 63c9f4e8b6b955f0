package check_test

import (
	"chivepost/caller/internal/check"
	"chivepost/share/bundle"
	"chivepost/share/events"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// unfinished returns the events of an entry host's process that accepted a request and never
// ended it.
func unfinished(file string) check.EventFile {
	return check.EventFile{Name: file, Events: []events.Event{
		{Kind: events.Accepted, Host: "thies-entry-1", Run: file + "-1"},
	}}
}

// Guards against a killed process that also excuses requests left unfinished by a later
// process of the same host.
var _ = DescribeTable("requests that a killed process may leave unfinished",
	func(killed []string, lost int) {
		b, err := bundle.New(bundle.Doc{})
		Expect(err).NotTo(HaveOccurred())
		report := check.Run([]check.EventFile{unfinished("entry.1.jsonl"), unfinished("entry.2.jsonl")}, check.Options{Bundle: b, Killed: killed})
		Expect(report.Violations.Lost).To(Equal(lost))
	},
	Entry("nothing was killed", nil, 2),
	Entry("one process was killed", []string{"entry.1.jsonl"}, 1),
	Entry("the host was killed, with one event file for all its processes", []string{"thies-entry-1"}, 0),
)
