package front

import (
	"io"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"chivepost/share/apiv1"
)

// BenchmarkToken measures the CPU time of sending one token to a caller over loopback,
// including that of the reader, which discards it.
func BenchmarkToken(b *testing.B) {
	const tokens = 10000
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		sse := &eventWriter{w: w, control: http.NewResponseController(w)}
		for i := range tokens {
			sse.write(apiv1.EventToken, apiv1.Token{Index: i, Text: " word"})
		}
	}))
	defer s.Close()
	cpuTime := func() time.Duration {
		var u syscall.Rusage
		_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
		return time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	n, before := 0, cpuTime()
	for b.Loop() {
		resp, err := http.Get(s.URL)
		if err != nil {
			b.Fatal(err)
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			b.Fatal(err)
		}
		n += tokens
	}
	b.ReportMetric(float64((cpuTime()-before).Nanoseconds())/float64(n), "cpu-ns/token")
}
