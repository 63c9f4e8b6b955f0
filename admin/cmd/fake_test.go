package cmd_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/gorilla/mux"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivepost/share/apiv1"
	"chivepost/share/bundle"
	"chivepost/share/burn"
	"chivepost/share/units"
)

// fakeHost implements an entry host's operator API. Like the log, it accepts a change only if
// its base is the current version. The zero value is a host without faults.
type fakeHost struct {
	name string
	// publish is the result of a publish call: "" (depends on the base), "log_down", "log_unknown",
	// "invalid", "cut" (no answer, not applied) or "cut_applied" (no answer, applied).
	publish string
	// confirmAfter is the number of confirmation reads before the peer confirms.
	confirmAfter int

	mu                sync.Mutex
	config            apiv1.Config
	publishCalls      int
	confirmationReads int
	address           string
}

// start serves f until the test ends. It sets a configuration if f has none.
func start(f *fakeHost) *fakeHost {
	GinkgoHelper()
	if f.name == "" {
		f.name = "entry-1"
	}
	if f.config.Version == 0 {
		doc, err := bundle.ParseDir("testdata/files")
		Expect(err).NotTo(HaveOccurred())
		doc.Pipelines[0].Objective = 0.99
		doc.Pipelines[0].Stages[0].Model = "planner-v2"
		doc.Targets = doc.Targets[:1]
		doc.Pools = append(doc.Pools, bundle.PoolDoc{Name: "rank", Kind: bundle.KindStage, Retryable: true, Limit: 2, ColdLimit: 1})
		doc.DataCentresOut = []string{"kaolack-1"}
		f.config = apiv1.Config{Version: 41, Author: "ada", PublishID: "x", Doc: doc}
	}
	r := mux.NewRouter()
	r.HandleFunc(apiv1.PathPublish, f.onPublish).Methods(http.MethodPost)
	r.HandleFunc(apiv1.PathConfig, func(w http.ResponseWriter, _ *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		respond(w, http.StatusOK, f.config)
	})
	r.HandleFunc(apiv1.PathConfirmations, f.onConfirmations)
	r.HandleFunc(apiv1.PathStatus, func(w http.ResponseWriter, _ *http.Request) { respond(w, http.StatusOK, f.status()) })
	r.HandleFunc(apiv1.PathBurn, func(w http.ResponseWriter, _ *http.Request) { respond(w, http.StatusOK, f.burn()) })
	server := httptest.NewServer(r)
	DeferCleanup(server.Close)
	f.address = server.Listener.Addr().String()
	return f
}

func respond(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (f *fakeHost) onPublish(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publishCalls++
	var p apiv1.Publish
	if err := json.NewDecoder(r.Body).Decode(&p); err != nil || p.PublishID == "" {
		respond(w, http.StatusBadRequest, apiv1.Problem{Title: "bad request", Outcome: apiv1.Refused})
		return
	}
	switch f.publish {
	case "log_down":
		respond(w, http.StatusServiceUnavailable, apiv1.Problem{Title: "log unavailable", Detail: "no append for 3s", Outcome: apiv1.Refused})
		return
	case "log_unknown":
		respond(w, http.StatusServiceUnavailable, apiv1.Problem{Title: "log unavailable", Outcome: apiv1.Unknown})
		return
	case "invalid":
		respond(w, http.StatusUnprocessableEntity, apiv1.Problem{Title: "invalid", Detail: "pool \"x\": unknown", Outcome: apiv1.Refused})
		return
	case "cut":
		panic(http.ErrAbortHandler)
	}
	if p.Base != f.config.Version {
		respond(w, http.StatusConflict, apiv1.PublishConflict{Current: f.config.Version, Author: f.config.Author, Reason: "the base is version 40"})
		return
	}
	f.config = apiv1.Config{Version: p.Base + 1, Author: p.Author, PublishID: p.PublishID, Doc: p.Doc}
	if f.publish == "cut_applied" {
		panic(http.ErrAbortHandler)
	}
	respond(w, http.StatusOK, apiv1.Published{
		Version: f.config.Version, Accepted: true,
		Confirmed: []apiv1.HostVersion{{Host: f.name, Version: f.config.Version}}, Unconfirmed: []string{"entry-9"},
	})
}

func (f *fakeHost) onConfirmations(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmationReads++
	v := f.config.Version
	peer := apiv1.Confirmation{Host: "entry-9", Version: v - 1, Age: units.Duration(2 * time.Second)}
	if f.confirmationReads > f.confirmAfter {
		peer = apiv1.Confirmation{Host: "entry-9", Version: v, Age: units.Duration(500 * time.Millisecond)}
	}
	respond(w, http.StatusOK, apiv1.Confirmations{Version: v, Hosts: []apiv1.Confirmation{{Host: f.name, Version: v}, peer}})
}

func (f *fakeHost) status() apiv1.Status {
	s := apiv1.Status{
		Host: f.name, DataCentre: "thies-1", State: "serving", Ready: true, Reasons: []string{}, Version: f.config.Version,
		Controllers: map[string]apiv1.ControllerStatus{"config": {Ready: true}, "claims": {Ready: true}},
		Targets: []apiv1.TargetStatus{
			{Name: "engine-1", Pool: "engine", DataCentre: "thies-1", State: "warm", Limit: 8, Granted: 3, InUse: 2, Home: "entry-1"},
		},
		Hosts: []apiv1.HostStatus{
			{Name: "entry-1", DataCentre: "thies-1", Region: "thies", State: "serving", Version: 41, Age: units.Duration(time.Second)},
			{Name: "entry-9", DataCentre: "ziguinchor-1", Region: "ziguinchor", State: "leaving", Version: 41, Age: units.Duration(time.Second)},
		},
	}
	if f.name == "entry-2" {
		s.Ready, s.Reasons = false, []string{"claims: no read of the log for 4s"}
		s.Controllers["claims"] = apiv1.ControllerStatus{Reason: "no read of the log for 4s"}
		s.Targets[0].State, s.Targets[0].Limit, s.Targets[0].Home = "cold", 1, "entry-2"
	}
	return s
}

func (f *fakeHost) burn() apiv1.Burn {
	at := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	c := burn.New(func() time.Time { return at })
	for i := range 50 {
		c.Add("union-lorry", "grand-marche", i%5 > 0)
	}
	return apiv1.Burn{Host: f.name, Snapshot: c.Snapshot()}
}
