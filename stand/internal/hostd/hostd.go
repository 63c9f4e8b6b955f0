// Package hostd stands in for the platform's host list.
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

// Options set up a Service.
type Options struct {
	// Hosts is the list to start from.
	Hosts []hosts.Host
	// Lag bounds how long a change may stay unseen.
	Lag  time.Duration
	Seed uint64
}

// Faults are set from outside while the service runs.
type Faults struct {
	// Down answers 503 to readers; changes are still taken.
	Down bool `json:"down"`
	// Cut breaks the connections of readers in these data centres.
	Cut []string `json:"cut"`
	// Delay is waited before a read is served.
	Delay units.Duration `json:"delay"`
	// Lag replaces the bound for changes made from now on.
	Lag units.Duration `json:"lag"`
	// Uneven draws a lag for each read, so that versions can go backwards.
	Uneven bool `json:"uneven"`
}

// Service keeps the history of the list as far back as a read may see.
type Service struct {
	mu      sync.Mutex
	faults  Faults
	random  *rand.Rand
	history []edition // Oldest first; the last is the newest.
}

// edition is the list from a moment on: made when it was changed, seen when even
// readers see it.
type edition struct {
	made, seen time.Time
	list       hosts.List
}

// New returns a service whose first list is seen at once.
func New(opts Options) *Service {
	list := hosts.List{Version: 1, Hosts: slices.Clone(opts.Hosts)}
	return &Service{
		faults:  Faults{Lag: units.Duration(opts.Lag)},
		random:  rand.New(rand.NewPCG(opts.Seed, 2)),
		history: []edition{{list: list}},
	}
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/hosts", s.read).Methods(http.MethodGet)
	r.HandleFunc("/v1/hosts", s.add).Methods(http.MethodPost)
	r.HandleFunc("/v1/hosts/{name}", s.remove).Methods(http.MethodDelete)
	r.HandleFunc("/v1/hosts/{name}/state", s.setState).Methods(http.MethodPost)
	r.HandleFunc("/v1/faults", s.setFaults).Methods(http.MethodPost)
	r.HandleFunc("/v1/faults", s.showFaults).Methods(http.MethodGet)
	return r
}

func (s *Service) read(w http.ResponseWriter, r *http.Request) {
	faults := s.current()
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

// visible returns the newest list that a reader may see now.
func (s *Service) visible(now time.Time) hosts.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	lag := s.draw(s.faults.Lag.Std())
	for i := len(s.history) - 1; i > 0; i-- {
		e := s.history[i]
		if s.faults.Uneven && !now.Before(e.made.Add(lag)) || !s.faults.Uneven && !now.Before(e.seen) {
			return e.list
		}
	}
	return s.history[0].list
}

func (s *Service) draw(bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	return time.Duration(s.random.Int64N(int64(bound) + 1))
}

// change makes a new edition from the newest list. The change function returns
// false if there is nothing to change.
func (s *Service) change(change func([]hosts.Host) ([]hosts.Host, bool)) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.history[len(s.history)-1]
	list, ok := change(slices.Clone(last.list.Hosts))
	if !ok {
		return last.list.Version, false
	}
	slices.SortStableFunc(list, func(a, b hosts.Host) int { return cmp.Compare(a.Name, b.Name) })
	now := time.Now()
	next := edition{
		made: now,
		seen: now.Add(s.draw(s.faults.Lag.Std())),
		list: hosts.List{Version: last.list.Version + 1, Hosts: list},
	}
	s.history = append(s.history, next)
	const kept = 1000
	if len(s.history) > kept {
		s.history = s.history[len(s.history)-kept:]
	}
	return next.list.Version, true
}

func (s *Service) add(w http.ResponseWriter, r *http.Request) {
	var host hosts.Host
	if !serve.ReadJSON(w, r, &host) {
		return
	}
	if host.Name == "" || host.Address == "" || host.Role != hosts.RoleEntry && host.Role != hosts.RoleTarget {
		serve.WriteError(w, http.StatusBadRequest, "want name, address and role entry or target")
		return
	}
	if host.State == "" {
		host.State = hosts.StateLive
	}
	version, _ := s.change(func(list []hosts.Host) ([]hosts.Host, bool) {
		list = slices.DeleteFunc(list, func(h hosts.Host) bool { return h.Name == host.Name })
		return append(list, host), true
	})
	answer(w, version, true)
}

func (s *Service) remove(w http.ResponseWriter, r *http.Request) {
	name := mux.Vars(r)["name"]
	version, ok := s.change(func(list []hosts.Host) ([]hosts.Host, bool) {
		n := len(list)
		list = slices.DeleteFunc(list, func(h hosts.Host) bool { return h.Name == name })
		return list, len(list) < n
	})
	answer(w, version, ok)
}

func (s *Service) setState(w http.ResponseWriter, r *http.Request) {
	var body struct {
		State hosts.State `json:"state"`
	}
	if !serve.ReadJSON(w, r, &body) {
		return
	}
	if body.State != hosts.StateLive && body.State != hosts.StateLeaving {
		serve.WriteError(w, http.StatusBadRequest, "want state live or leaving")
		return
	}
	name := mux.Vars(r)["name"]
	version, ok := s.change(func(list []hosts.Host) ([]hosts.Host, bool) {
		i := slices.IndexFunc(list, func(h hosts.Host) bool { return h.Name == name })
		if i < 0 {
			return nil, false
		}
		list[i].State = body.State
		return list, true
	})
	answer(w, version, ok)
}

func answer(w http.ResponseWriter, version int64, found bool) {
	if !found {
		serve.WriteError(w, http.StatusNotFound, "no such host")
		return
	}
	serve.WriteJSON(w, http.StatusOK, struct {
		Version int64 `json:"version"`
	}{version})
}

func (s *Service) current() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// setFaults changes the faults that the body names and leaves the others.
func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	faults := s.current()
	if !serve.ReadJSON(w, r, &faults) {
		return
	}
	s.mu.Lock()
	s.faults = faults
	s.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, faults)
}

func (s *Service) showFaults(w http.ResponseWriter, _ *http.Request) {
	serve.WriteJSON(w, http.StatusOK, s.current())
}
