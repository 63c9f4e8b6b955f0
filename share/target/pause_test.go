package target_test

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"chivepost/share/bundle"
	"chivepost/share/target"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against calls to a target that has asked for a pause, and against pauses that other
// answers or garbled values ask for.
var _ = DescribeTable("reads for how long a target wants no calls",
	func(status int, value string, want time.Duration) {
		res := call(bundle.KindStage, false, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(target.HeaderNotRun, "true")
			w.Header().Set(target.HeaderRequestID, id)
			w.Header().Set("Retry-After", value)
			w.Header().Set("Date", "Sat, 05 Dec 2026 10:00:00 GMT")
			w.WriteHeader(status)
			_, _ = fmt.Fprint(w, "")
		})
		Expect(res.Err).To(HaveOccurred())
		Expect(res.Pause).To(Equal(want))
	},
	Entry("seconds", 503, "5", 5*time.Second),
	Entry("a fraction", 503, "0.25", 250*time.Millisecond),
	Entry("none", 503, "", time.Duration(0)),
	Entry("another status", 500, "5", time.Duration(0)),
	Entry("negative", 503, "-5", time.Duration(0)),
	Entry("garbled", 503, "5 s", time.Duration(0)),
	Entry("a word", 503, "inf", time.Duration(0)),
	Entry("beyond all numbers", 503, strings.Repeat("9", 400), 24*time.Hour),
	Entry("a date", 503, "Sat, 05 Dec 2026 10:00:07 GMT", 7*time.Second),
)
