// Package fleet runs the targets of one data centre in one process and gives them
// a common listener for faults, states and ledgers.
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

// Options set up a Fleet.
type Options struct {
	File      spec.File
	Seed      uint64
	StartWarm bool
	Events    *events.Log
	// WeightsURL, when not empty, is the weight store that cold starts load from.
	WeightsURL string
}

// Fleet is the targets of one process.
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
			StartWarm: opts.StartWarm, Events: opts.Events, LoadWeights: weights(opts.WeightsURL, t.Pool),
		}))
	}
	return f
}

// Close ends all targets.
func (f *Fleet) Close() {
	for _, t := range f.targets {
		t.Close()
	}
}

// Endpoints returns the listeners of all targets and the common one.
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

// Handler returns the common HTTP interface.
func (f *Fleet) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/targets", f.showTargets).Methods(http.MethodGet)
	r.HandleFunc("/v1/faults", f.setFaults).Methods(http.MethodPost)
	r.HandleFunc("/v1/ledger", f.showLedger).Methods(http.MethodGet)
	return r
}

func (f *Fleet) showTargets(w http.ResponseWriter, _ *http.Request) {
	f.answer(w, f.targets)
}

func (f *Fleet) answer(w http.ResponseWriter, targets []*server.Target) {
	out := []server.Status{}
	for _, t := range targets {
		out = append(out, t.Status())
	}
	serve.WriteJSON(w, http.StatusOK, struct {
		Targets []server.Status `json:"targets"`
	}{out})
}

// setFaults applies a change to the targets that the body selects: by patterns of
// names such as "thies-language-*", by pool, or all.
func (f *Fleet) setFaults(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Targets []string `json:"targets"`
		Pool    string   `json:"pool"`
		server.Change
	}
	if !serve.ReadJSON(w, r, &body) {
		return
	}
	var chosen []*server.Target
	for _, t := range f.targets {
		named := len(body.Targets) == 0 || slices.ContainsFunc(body.Targets, func(pattern string) bool {
			ok, err := path.Match(pattern, t.Name())
			return ok && err == nil
		})
		if named && (body.Pool == "" || body.Pool == t.Pool()) {
			chosen = append(chosen, t)
		}
	}
	if len(chosen) == 0 {
		serve.WriteError(w, http.StatusNotFound, "no target matches")
		return
	}
	for _, t := range chosen {
		t.Apply(body.Change)
	}
	f.answer(w, chosen)
}

// showLedger adds up the ledgers of all plain services, so that work executed by
// two targets of one pool counts twice.
func (f *Fleet) showLedger(w http.ResponseWriter, _ *http.Request) {
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
