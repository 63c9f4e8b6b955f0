package cmd

import (
	"io"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivepost/admin/internal/refdoc"
	"chivepost/share/golden"
)

var _ = DescribeTable("the reference is current",
	// Guards against a page that does not match the command line, settings or service files in the
	// code. The flag -update rewrites the pages.
	func(page string, write func() (string, error)) {
		text, err := write()
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(golden.Match("../../docs/reference/" + page))
	},
	Entry("chivectl", "chivectl.md", func() (string, error) {
		parser, err := newParser(&cli{}, io.Discard, io.Discard, func(int) {})
		if err != nil {
			return "", err
		}
		return refdoc.Commands(parser.Model)
	}),
	Entry("settings", "settings.md", refdoc.Settings),
	Entry("service files", "service-files.md", refdoc.ServiceFiles),
)
