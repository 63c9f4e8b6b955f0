package check_test

import (
	"chivepost/caller/internal/check"
	"chivepost/share/bundle"
	"chivepost/share/events"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// open is the record of an entry host's process that took a request and never ended it.
func open(record string) check.EventFile {
	return check.EventFile{Name: record, Events: []events.Event{
		{Kind: events.Accepted, Host: "thies-entry-1", Run: record + "-1"},
	}}
}

// Guards against a killed process that excuses requests left open by a later process
// of the same host.
var _ = DescribeTable("what a killed process may leave open",
	func(killed []string, lost int) {
		b, err := bundle.New(bundle.Doc{})
		Expect(err).NotTo(HaveOccurred())
		report := check.Run([]check.EventFile{open("entry.1.jsonl"), open("entry.2.jsonl")}, check.Options{Bundle: b, Killed: killed})
		Expect(report.Violations.Lost).To(Equal(lost))
	},
	Entry("nothing was killed", nil, 2),
	Entry("one process was killed", []string{"entry.1.jsonl"}, 1),
	Entry("the host was killed, with one record for all its processes", []string{"thies-entry-1"}, 0),
)
