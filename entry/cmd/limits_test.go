package cmd

import (
	"time"

	"chivepost/platform/boot"
	"chivepost/share/fleet"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against connections that together take more descriptors or memory than a host has, on
// the smallest and the largest of the deployments.
var _ = DescribeTable("the limits on connections", func(memoryMB int64, files int) {
	s := boot.Settings{MemoryBytes: memoryMB << 20, MaxFiles: files}
	l := newConnLimits(s)
	Expect(l.callers + l.active + 4*l.others).To(BeNumerically("<=", files-reservedFiles))
	Expect(int64(l.callers) * connBytes).To(BeNumerically("<=", s.MemoryBytes/4))
	Expect(l.active).To(BeNumerically(">=", 700), "25 requests a second of up to 28 s each")
},
	Entry("mcroa, least", int64(144), 3075), Entry("mcroa, most", int64(536), 10250), Entry("Torchio, least", int64(184), 4100),
)

// Guards against timeouts other than those of the configuration.
var _ = It("takes the timeouts of callers from the configuration", func() {
	header, idle := callerTimeouts(nil)
	Expect(header).To(Equal(headerTimeout))
	Expect(idle).To(Equal(idleTimeout))
	header, idle = callerTimeouts(&fleet.Config{Limits: fleet.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}})
	Expect(header).To(Equal(3 * time.Second))
	Expect(idle).To(Equal(15 * time.Second))
})
