package agent_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"chivepost/caller/internal/agent"
	"chivepost/share/apiv1"
	"chivepost/share/units"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// hangingEntries is a pair of entry hosts. Whichever receives the first request never
// answers it; all later requests are answered.
type hangingEntries struct {
	mu      sync.Mutex
	servers []*httptest.Server
	ids     []string
	hosts   []string
}

func newHangingEntries() *hangingEntries {
	e := &hangingEntries{}
	for range 2 {
		e.servers = append(e.servers, httptest.NewServer(e))
	}
	return e
}

func (e *hangingEntries) addresses() []string {
	var out []string
	for _, s := range e.servers {
		out = append(out, strings.TrimPrefix(s.URL, "http://"))
	}
	return out
}

func (e *hangingEntries) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		_ = json.NewEncoder(w).Encode(apiv1.Address{Addresses: e.addresses(), ValidFor: units.Duration(time.Minute), ClaimsOffset: 7})
		return
	}
	var body apiv1.Request
	_ = json.NewDecoder(r.Body).Decode(&body)
	e.mu.Lock()
	e.ids, e.hosts = append(e.ids, body.ID), append(e.hosts, r.Host)
	first := len(e.ids) == 1
	e.mu.Unlock()
	if first {
		<-r.Context().Done()
		return
	}
	_ = json.NewEncoder(w).Encode(apiv1.Answer{ID: body.ID, Output: "out", Length: 3, Checksum: apiv1.Checksum("out")})
}

var _ = Describe("an attempt timeout", func() {
	// Guards against a retry under a new ID: two hosts could then both run a call that may
	// run only once, and no check would recognize them as the same request.
	It("retries the request at another host under the same id", func() {
		e := newHangingEntries()
		for _, s := range e.servers {
			DeferCleanup(s.Close)
		}
		a := agent.New(agent.Options{EntryHosts: e.addresses(), MaxAttempts: 4, Grace: time.Second, AttemptTimeout: 100 * time.Millisecond})
		DeferCleanup(a.Close)
		report := a.Do(context.Background(), agent.Job{
			WorkID: "w", Secret: "s", Pipeline: "p", Input: "in", Deadline: 5 * time.Second, AtMostOnce: true,
		})
		Expect(report.Outcome).To(Equal(apiv1.Answered))
		Expect(report.Attempts).To(Equal(2))
		Expect(e.ids).To(HaveLen(2))
		Expect(e.ids[0]).To(HavePrefix("7-"))
		Expect(e.ids[1]).To(Equal(e.ids[0]))
		Expect(e.hosts[1]).NotTo(Equal(e.hosts[0]))
	})
})
