// Package logsrv implements a stand-in of the platform's log service.
package logsrv

import (
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"chivepost/share/logsvc"
	"chivepost/share/units"
	"chivepost/stand/internal/serve"
)

// Options configure a Service.
type Options struct {
	// AppendRate is the number of appends per second accepted over all streams.
	AppendRate float64
	// Retention is how long a record can be read.
	Retention time.Duration
	Seed      uint64
}

// Faults are the injected faults in force.
type Faults struct {
	// Down answers 503 to everything.
	Down bool `json:"down"`
	// Cut breaks the connections of callers in the listed data centres.
	Cut []string `json:"cut"`
	// Delay delays reads and the effect of appends, also if the caller disconnects.
	Delay units.Duration `json:"delay"`
	// AnswerDelay delays the answer after an append has taken effect.
	AnswerDelay units.Duration `json:"answer_delay"`
	// LoseAnswers is the share of appends whose answer is lost after they have taken effect.
	LoseAnswers float64 `json:"lose_answers"`
}

// Service is a log service with streams in memory.
type Service struct {
	opts    Options
	limiter *rate.Limiter

	mu      sync.Mutex
	streams map[string]*stream
	faults  Faults
	random  *rand.Rand
}

// New returns a log service without records.
func New(opts Options) *Service {
	burst := max(1, int(math.Ceil(opts.AppendRate/10)))
	return &Service{
		opts:    opts,
		limiter: rate.NewLimiter(rate.Limit(opts.AppendRate), burst),
		streams: map[string]*stream{},
		random:  rand.New(rand.NewPCG(opts.Seed, 1)),
	}
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/streams/{stream}/records", s.serveAppend).Methods(http.MethodPost)
	r.HandleFunc("/v1/streams/{stream}/records", s.serveRead).Methods(http.MethodGet)
	r.HandleFunc("/v1/faults", s.serveSetFaults).Methods(http.MethodPost)
	r.HandleFunc("/v1/faults", s.serveFaults).Methods(http.MethodGet)
	return r
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

func (s *Service) serveAppend(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Records [][]byte `json:"records"`
	}
	faults := s.currentFaults()
	if !faults.admit(w, r) {
		return
	}
	if !serve.ReadJSON(w, r, &body) {
		return
	}
	if len(body.Records) == 0 {
		serve.WriteError(w, http.StatusBadRequest, "no records")
		return
	}
	if !s.limiter.Allow() {
		serve.WriteError(w, http.StatusTooManyRequests, "append rate exceeded")
		return
	}
	time.Sleep(faults.Delay.Std())
	offset, lost := s.appendRecords(mux.Vars(r)["stream"], body.Records)
	time.Sleep(faults.AnswerDelay.Std())
	if lost {
		serve.Drop()
	}
	serve.WriteJSON(w, http.StatusOK, struct {
		Offset int64 `json:"offset"`
	}{offset})
}

// appendRecords appends records to a stream. lost reports whether the fault LoseAnswers
// applies.
func (s *Service) appendRecords(name string, records [][]byte) (offset int64, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost = s.faults.LoseAnswers > 0 && s.random.Float64() < s.faults.LoseAnswers
	return s.stream(name).add(records, time.Now()), lost
}

// stream returns a stream without its expired records and creates it on first use. The
// caller holds the lock.
func (s *Service) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = newStream()
		s.streams[name] = st
	}
	st.prune(time.Now().Add(-s.opts.Retention))
	return st
}

const (
	// defaultMax is the largest number of records of a read that doesn't give max.
	defaultMax = 1000
	// maxWait bounds how long a read waits for records.
	maxWait = 30 * time.Second
)

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, errFrom := strconv.ParseInt(q.Get("from"), 10, 64)
	limit, errMax := optionalInt(q.Get("max"), defaultMax)
	wait, errWait := optionalDuration(q.Get("wait"))
	if errFrom != nil || errMax != nil || errWait != nil || from < 1 || limit < 1 {
		serve.WriteError(w, http.StatusBadRequest, "from and max must be at least 1 and wait a duration such as 1s")
		return
	}
	faults := s.currentFaults()
	if !faults.admit(w, r) {
		return
	}
	time.Sleep(faults.Delay.Std())
	timeout := time.NewTimer(min(wait, maxWait))
	defer timeout.Stop()
	for {
		page, changed := s.page(mux.Vars(r)["stream"], from, limit)
		if len(page.Records) > 0 || wait <= 0 {
			serve.WriteJSON(w, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
		// An outage that began during the wait must not look like an empty stream.
		if !s.currentFaults().admit(w, r) {
			return
		}
	}
}

// admit reports whether a call may proceed. Otherwise it has answered that the service is
// down, or it drops the connection of a disconnected caller.
func (f Faults) admit(w http.ResponseWriter, r *http.Request) bool {
	if slices.Contains(f.Cut, r.Header.Get(logsvc.HeaderDataCentre)) {
		serve.Drop()
	}
	if f.Down {
		serve.WriteError(w, http.StatusServiceUnavailable, "down")
	}
	return !f.Down
}

func optionalInt(text string, fallback int) (int, error) {
	if text == "" {
		return fallback, nil
	}
	return strconv.Atoi(text)
}

func optionalDuration(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	return time.ParseDuration(text)
}
