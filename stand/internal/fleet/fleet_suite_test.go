package fleet_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"chivepost/share/bundle"
	"chivepost/share/target"
	"chivepost/stand/internal/fleet"
	"chivepost/stand/internal/server"
	"chivepost/stand/internal/spec"
	"chivepost/stand/internal/store"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fleet")
}

func start(weights string, warm bool) *fleet.Fleet {
	f := fleet.New(fleet.Options{
		File: spec.File{AdminAddress: "127.0.0.1:1", Targets: []spec.Target{
			{Name: "dc-book-01", Pool: "book", Kind: bundle.KindService, Limit: 4, ColdLimit: 1},
			{Name: "dc-book-02", Pool: "book", Kind: bundle.KindService, Limit: 4, ColdLimit: 1},
			{Name: "dc-lm-01", Pool: "lm", Kind: bundle.KindEngine, Limit: 4, ColdLimit: 1},
		}},
		Seed: 1, StartWarm: warm, WeightsURL: weights,
	})
	DeferCleanup(f.Close)
	return f
}

func call(h http.Handler, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

func states(f *fleet.Fleet) []target.State {
	var body struct {
		Targets []server.Status `json:"targets"`
	}
	Expect(json.Unmarshal(call(f.Handler(), http.MethodGet, "/v1/targets", "").Body.Bytes(), &body)).To(Succeed())
	var out []target.State
	for _, t := range body.Targets {
		out = append(out, t.State)
	}
	return out
}

// Guards against faults that affect other targets than the selected ones.
var _ = DescribeTable("sets faults on the targets that match",
	func(body string, code int, want ...target.State) {
		f := start("", true)
		Expect(call(f.Handler(), http.MethodPost, "/v1/faults", body).Code).To(Equal(code))
		Expect(states(f)).To(Equal(want))
	},
	Entry(nil, `{"leaving":true}`, 200, target.StateLeaving, target.StateLeaving, target.StateLeaving),
	Entry(nil, `{"leaving":true,"pool":"lm"}`, 200, target.StateWarm, target.StateWarm, target.StateLeaving),
	Entry(nil, `{"leaving":true,"targets":["*-02"]}`, 200, target.StateWarm, target.StateLeaving, target.StateWarm),
	Entry(nil, `{"leaving":true,"targets":["dc-book-*"],"pool":"lm"}`, 404, target.StateWarm, target.StateWarm, target.StateWarm),
	Entry(nil, `{"leafing":true}`, 400, target.StateWarm, target.StateWarm, target.StateWarm),
)

// Guards against a ledger that counts work of two targets of a pool once.
var _ = It("adds up the ledgers of all targets", func() {
	f := start("", true)
	for _, e := range f.Endpoints()[:2] {
		Expect(call(e.Handler, http.MethodPost, "/v1/run", `{"id":"r/s/1","input":"p|id=w|q"}`).Code).To(Equal(200))
	}
	Expect(call(f.Handler(), http.MethodGet, "/v1/ledger", "").Body.String()).
		To(MatchJSON(`{"entries":[{"id":"w","pool":"book","count":2}]}`))
})

// Guards against cold starts that don't wait for a slow weight store.
var _ = It("stays cold until the weights are loaded, within the store's fetch rate", func() {
	weights := httptest.NewServer(store.New(store.Options{FetchRate: 0.5, Size: 100, ByteRate: 1 << 20}).Handler())
	defer weights.Close()
	f := start(weights.URL, false)
	cold := func() int {
		n := 0
		for _, s := range states(f) {
			if s == target.StateCold {
				n++
			}
		}
		return n
	}
	Eventually(cold).Should(Equal(2))
	Consistently(cold, 300*time.Millisecond).Should(Equal(2))
	Eventually(cold, 5*time.Second).Should(BeNumerically("<", 2))
})
