// Package fleet runs the targets of a data centre in one process, with an admin listener for
// their faults, states and ledgers.
package fleet

import (
	"cmp"
	"net/http"
	"path"
	"slices"

	"github.com/gorilla/mux"

	"chivepost/share/events"
	"chivepost/share/target"
	"chivepost/stand/internal/serve"
	"chivepost/stand/internal/server"
	"chivepost/stand/internal/spec"
)

// Options configure a Fleet.
type Options struct {
	File      spec.File
	Seed      uint64
	StartWarm bool
	Events    *events.Recorder
	// WeightsURL, if not empty, is the weight store from which cold starts load.
	WeightsURL string
}

// Fleet holds the targets of a process.
type Fleet struct {
	opts    Options
	targets []*server.Target
}

// New starts all targets of the file.
func New(opts Options) *Fleet {
	f := &Fleet{opts: opts}
	for _, t := range opts.File.Targets {
		f.targets = append(f.targets, server.New(server.Options{
			Spec: t, DataCentre: opts.File.DataCentre, Delays: opts.File.Delays, Seed: opts.Seed,
			StartWarm: opts.StartWarm, Events: opts.Events, LoadWeights: weightLoader(opts.WeightsURL, t.Pool),
		}))
	}
	return f
}

// Close closes all targets.
func (f *Fleet) Close() {
	for _, t := range f.targets {
		t.Close()
	}
}

// Endpoints returns the endpoints of all targets and, if it has an address, the admin one.
func (f *Fleet) Endpoints() []serve.Endpoint {
	var out []serve.Endpoint
	for _, t := range f.targets {
		out = append(out, serve.Endpoint{Name: t.Name(), Address: t.Address(), Handler: t.Handler()})
	}
	if f.opts.File.AdminAddress != "" {
		out = append(out, serve.Endpoint{Name: "admin", Address: f.opts.File.AdminAddress, Handler: f.Handler()})
	}
	return out
}

// Handler returns the HTTP interface of the admin listener.
func (f *Fleet) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/targets", f.serveTargets).Methods(http.MethodGet)
	r.HandleFunc("/v1/faults", f.serveSetFaults).Methods(http.MethodPost)
	r.HandleFunc("/v1/ledger", f.serveLedger).Methods(http.MethodGet)
	return r
}

func (f *Fleet) serveTargets(w http.ResponseWriter, _ *http.Request) {
	f.writeStatuses(w, f.targets)
}

// writeStatuses answers with the status of each target.
func (f *Fleet) writeStatuses(w http.ResponseWriter, targets []*server.Target) {
	out := []server.Status{}
	for _, t := range targets {
		out = append(out, t.Status())
	}
	serve.WriteJSON(w, http.StatusOK, struct {
		Targets []server.Status `json:"targets"`
	}{out})
}

// serveSetFaults applies a change to the targets that the body selects: by name patterns such
// as "thies-language-*", by pool, or all.
func (f *Fleet) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Targets []string `json:"targets"`
		Pool    string   `json:"pool"`
		server.Change
	}
	if !serve.ReadJSON(w, r, &body) {
		return
	}
	var selected []*server.Target
	for _, t := range f.targets {
		nameMatches := len(body.Targets) == 0 || slices.ContainsFunc(body.Targets, func(pattern string) bool {
			ok, err := path.Match(pattern, t.Name())
			return ok && err == nil
		})
		if nameMatches && (body.Pool == "" || body.Pool == t.Pool()) {
			selected = append(selected, t)
		}
	}
	if len(selected) == 0 {
		serve.WriteError(w, http.StatusNotFound, "no target matches")
		return
	}
	for _, t := range selected {
		t.Apply(body.Change)
	}
	f.writeStatuses(w, selected)
}

// serveLedger returns the sum of the ledgers of all plain services, so that work executed by
// two targets of a pool counts twice.
func (f *Fleet) serveLedger(w http.ResponseWriter, _ *http.Request) {
	type key struct{ pool, id string }
	sums := map[key]int{}
	for _, t := range f.targets {
		for _, e := range t.Ledger().Entries {
			sums[key{e.Pool, e.ID}] += e.Count
		}
	}
	out := target.Ledger{Entries: []target.LedgerEntry{}}
	for k, n := range sums {
		out.Entries = append(out.Entries, target.LedgerEntry{ID: k.id, Pool: k.pool, Count: n})
	}
	slices.SortFunc(out.Entries, func(a, b target.LedgerEntry) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.ID, b.ID))
	})
	serve.WriteJSON(w, http.StatusOK, out)
}
