// Package hostd implements a stand-in of the platform's host list.
package hostd

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"chivepost/share/hosts"
	"chivepost/share/units"
	"chivepost/stand/internal/serve"
)

// Options configure a Service.
type Options struct {
	// Hosts is the initial list.
	Hosts []hosts.Host
	// Lag bounds the time until readers see a change.
	Lag  time.Duration
	Seed uint64
}

// Faults are the injected faults in force.
type Faults struct {
	// Down answers 503 to readers; changes are still accepted.
	Down bool `json:"down"`
	// Cut breaks the connections of readers in the listed data centres.
	Cut []string `json:"cut"`
	// Delay delays reads.
	Delay units.Duration `json:"delay"`
	// Lag replaces the bound for later changes.
	Lag units.Duration `json:"lag"`
	// Uneven draws a lag for each read instead of each change, so that versions can go backwards.
	Uneven bool `json:"uneven"`
}

// Service holds the list and its earlier revisions that a read may return.
type Service struct {
	mu      sync.Mutex
	faults  Faults
	random  *rand.Rand
	history []revision // Oldest first.
}

// revision is a version of the list, which is visible from visibleAt on unless the fault
// Uneven is in force.
type revision struct {
	changedAt, visibleAt time.Time
	list                 hosts.List
}

// New returns a service whose initial list is visible at once.
func New(opts Options) *Service {
	list := hosts.List{Version: 1, Hosts: slices.Clone(opts.Hosts)}
	return &Service{
		faults:  Faults{Lag: units.Duration(opts.Lag)},
		random:  rand.New(rand.NewPCG(opts.Seed, 2)),
		history: []revision{{list: list}},
	}
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/hosts", s.serveRead).Methods(http.MethodGet)
	r.HandleFunc("/v1/hosts", s.serveAdd).Methods(http.MethodPost)
	r.HandleFunc("/v1/hosts/{name}", s.serveRemove).Methods(http.MethodDelete)
	r.HandleFunc("/v1/hosts/{name}/state", s.serveSetState).Methods(http.MethodPost)
	r.HandleFunc("/v1/faults", s.serveSetFaults).Methods(http.MethodPost)
	r.HandleFunc("/v1/faults", s.serveFaults).Methods(http.MethodGet)
	return r
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	faults := s.currentFaults()
	if slices.Contains(faults.Cut, r.Header.Get(hosts.HeaderDataCentre)) {
		serve.Drop()
	}
	if faults.Down {
		serve.WriteError(w, http.StatusServiceUnavailable, "down")
		return
	}
	time.Sleep(faults.Delay.Std())
	list := s.visible(time.Now())
	etag := fmt.Sprintf("%q", strconv.FormatInt(list.Version, 10))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	serve.WriteJSON(w, http.StatusOK, list)
}

// visible returns the newest list that a read at the given time returns.
func (s *Service) visible(now time.Time) hosts.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	lag := s.randomLag(s.faults.Lag.Std())
	for i := len(s.history) - 1; i > 0; i-- {
		r := s.history[i]
		if s.faults.Uneven && !now.Before(r.changedAt.Add(lag)) || !s.faults.Uneven && !now.Before(r.visibleAt) {
			return r.list
		}
	}
	return s.history[0].list
}

// randomLag returns a random duration up to the bound. The caller holds the lock.
func (s *Service) randomLag(bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	return time.Duration(s.random.Int64N(int64(bound) + 1))
}

// update appends a revision that the function change makes from the newest list. change
// returns false if there is nothing to change.
func (s *Service) update(change func([]hosts.Host) ([]hosts.Host, bool)) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.history[len(s.history)-1]
	list, ok := change(slices.Clone(last.list.Hosts))
	if !ok {
		return last.list.Version, false
	}
	slices.SortStableFunc(list, func(a, b hosts.Host) int { return cmp.Compare(a.Name, b.Name) })
	now := time.Now()
	next := revision{
		changedAt: now,
		visibleAt: now.Add(s.randomLag(s.faults.Lag.Std())),
		list:      hosts.List{Version: last.list.Version + 1, Hosts: list},
	}
	s.history = append(s.history, next)
	const maxHistory = 1000
	if len(s.history) > maxHistory {
		s.history = s.history[len(s.history)-maxHistory:]
	}
	return next.list.Version, true
}

func (s *Service) serveAdd(w http.ResponseWriter, r *http.Request) {
	var host hosts.Host
	if !serve.ReadJSON(w, r, &host) {
		return
	}
	if host.Name == "" || host.Address == "" || host.Role != hosts.RoleEntry && host.Role != hosts.RoleTarget {
		serve.WriteError(w, http.StatusBadRequest, "name and address are required and role must be entry or target")
		return
	}
	if host.State == "" {
		host.State = hosts.StateLive
	}
	version, _ := s.update(func(list []hosts.Host) ([]hosts.Host, bool) {
		list = slices.DeleteFunc(list, func(h hosts.Host) bool { return h.Name == host.Name })
		return append(list, host), true
	})
	writeVersion(w, version, true)
}

func (s *Service) serveRemove(w http.ResponseWriter, r *http.Request) {
	name := mux.Vars(r)["name"]
	version, ok := s.update(func(list []hosts.Host) ([]hosts.Host, bool) {
		n := len(list)
		list = slices.DeleteFunc(list, func(h hosts.Host) bool { return h.Name == name })
		return list, len(list) < n
	})
	writeVersion(w, version, ok)
}

func (s *Service) serveSetState(w http.ResponseWriter, r *http.Request) {
	var body struct {
		State hosts.State `json:"state"`
	}
	if !serve.ReadJSON(w, r, &body) {
		return
	}
	if body.State != hosts.StateLive && body.State != hosts.StateLeaving {
		serve.WriteError(w, http.StatusBadRequest, "state must be live or leaving")
		return
	}
	name := mux.Vars(r)["name"]
	version, ok := s.update(func(list []hosts.Host) ([]hosts.Host, bool) {
		i := slices.IndexFunc(list, func(h hosts.Host) bool { return h.Name == name })
		if i < 0 {
			return nil, false
		}
		list[i].State = body.State
		return list, true
	})
	writeVersion(w, version, ok)
}

// writeVersion answers a change with the version of the list, or 404 if the host isn't in it.
func writeVersion(w http.ResponseWriter, version int64, found bool) {
	if !found {
		serve.WriteError(w, http.StatusNotFound, "no host with this name")
		return
	}
	serve.WriteJSON(w, http.StatusOK, struct {
		Version int64 `json:"version"`
	}{version})
}

func (s *Service) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// serveSetFaults sets the faults in the body and keeps the others.
func (s *Service) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	faults := s.currentFaults()
	if !serve.ReadJSON(w, r, &faults) {
		return
	}
	s.mu.Lock()
	s.faults = faults
	s.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, faults)
}

func (s *Service) serveFaults(w http.ResponseWriter, _ *http.Request) {
	serve.WriteJSON(w, http.StatusOK, s.currentFaults())
}
