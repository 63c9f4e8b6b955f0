// Package front is the HTTP side of an entry host: one listener for callers, one
// for operators.
package front

import (
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"chivepost/entry/internal/chain"
	"chivepost/entry/internal/invar"
	"chivepost/share/apiv1"
	"chivepost/share/bundle"
)

// Config gives the configuration in force; nil before there is one.
type Config interface {
	Current() (*bundle.Bundle, int64)
}

// Resolver answers which addresses a caller should use.
type Resolver interface {
	Addresses(account string) apiv1.Address
}

// LeaveStatus says whether connections are to be closed after their answer.
type LeaveStatus interface {
	IsLeaving() bool
}

// OutcomeCounter counts good and bad outcomes.
type OutcomeCounter interface {
	Add(pipeline, account string, good bool)
}

// Options bounds what callers may send.
type Options struct {
	Host    string
	MaxBody int64
}

// CallerHandler serves callers.
type CallerHandler struct {
	opts   Options
	config Config
	naming Resolver
	leaver LeaveStatus
	burner OutcomeCounter
	handle chain.Next
	runs   runIDs
	counts *counts
}

// NewCallerHandler returns the handler for callers. handle runs a request.
func NewCallerHandler(opts Options, config Config, naming Resolver, leaver LeaveStatus, burner OutcomeCounter, handle chain.Next) *CallerHandler {
	if opts.MaxBody == 0 {
		opts.MaxBody = 1 << 20
	}
	return &CallerHandler{
		opts: opts, config: config, naming: naming, leaver: leaver, burner: burner, handle: handle,
		runs: newRunIDs(opts.Host), counts: newCounts(),
	}
}

// Router returns the routes for callers.
func (c *CallerHandler) Router() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/address", c.address).Methods(http.MethodGet)
	r.HandleFunc("/v1/pipelines/{name}/requests", c.request).Methods(http.MethodPost)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeProblem(w, chain.Refused("", apiv1.ProblemNotFound, http.StatusNotFound, "no such path").Problem)
	})
	return c.closing(r)
}

// closing tells callers to close their connection while the host is leaving, so
// that no idle connection is left when the listener closes.
func (c *CallerHandler) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.leaver.IsLeaving() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (c *CallerHandler) address(w http.ResponseWriter, r *http.Request) {
	cfg, _ := c.config.Current()
	account := ""
	if cfg != nil {
		if a, ok := cfg.AccountOf(bearer(r)); ok {
			account = a.Name
		}
	}
	writeJSON(w, http.StatusOK, c.naming.Addresses(account))
}

func (c *CallerHandler) request(w http.ResponseWriter, r *http.Request) {
	req, out := c.parse(w, r)
	if req == nil {
		writeProblem(w, out.Problem)
		return
	}
	c.counts.accept()
	// A caller that reads nothing must not hold the connection and its buffers for good.
	_ = http.NewResponseController(w).SetWriteDeadline(req.Arrived.Add(req.Pipeline.Deadline() + writeGrace))
	if req.Body.Stream {
		c.stream(w, r, req)
		return
	}
	out = c.handle(r.Context(), req)
	c.end(req, out)
	if out.Kind == apiv1.Answered {
		writeJSON(w, http.StatusOK, out.Answer)
		return
	}
	writeProblem(w, out.Problem)
}

// parse reads and checks a request. The request is nil if it was refused.
func (c *CallerHandler) parse(w http.ResponseWriter, r *http.Request) (*chain.Request, chain.Outcome) {
	arrived := time.Now()
	cfg, version := c.config.Current()
	if cfg == nil {
		return nil, chain.Refused("", apiv1.ProblemUnready, http.StatusServiceUnavailable, "no configuration yet")
	}
	account, ok := cfg.AccountOf(bearer(r))
	if !ok {
		return nil, chain.Refused("", apiv1.ProblemUnauthorized, http.StatusUnauthorized, "")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, c.opts.MaxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, chain.Refused("", apiv1.ProblemTooLarge, http.StatusRequestEntityTooLarge,
			fmt.Sprintf("at most %d bytes are accepted", tooLarge.Limit))
	}
	if err != nil {
		return nil, chain.Refused("", apiv1.ProblemBadRequest, http.StatusBadRequest, "the body was cut off")
	}
	req := &chain.Request{Account: account, Config: cfg, Version: version, Arrived: arrived, Run: c.runs.next()}
	if err := json.Unmarshal(body, &req.Body); err != nil {
		return nil, chain.Refused("", apiv1.ProblemBadRequest, http.StatusBadRequest, err.Error())
	}
	if req.Body.ID == "" || len(req.Body.ID) > maxID {
		return nil, chain.Refused("", apiv1.ProblemBadRequest, http.StatusBadRequest,
			fmt.Sprintf("id: want 1 to %d bytes", maxID))
	}
	name := mux.Vars(r)["name"]
	req.Pipeline, ok = cfg.Pipeline(name)
	if !ok {
		return nil, chain.Refused(req.Body.ID, apiv1.ProblemNotFound, http.StatusNotFound, "pipeline "+name)
	}
	return req, chain.Outcome{}
}

// writeGrace is the time that a caller has for reading its answer after the deadline.
const writeGrace = 2 * time.Second

// maxID bounds request ids, in bytes: they are kept in memory and in the log.
const maxID = 128

// end accounts for the outcome. A refusal for what the caller did wrong or for a
// host that is leaving spends no error budget; an answer after the deadline does.
func (c *CallerHandler) end(req *chain.Request, out chain.Outcome) {
	c.counts.end(out.Kind)
	late := !req.Deadline.IsZero() && time.Now().After(req.Deadline)
	switch out.Problem.Type {
	case apiv1.ProblemConflict, apiv1.ProblemBadRequest, apiv1.ProblemMoved, apiv1.ProblemUnready, apiv1.ProblemReleased:
	default:
		c.burner.Add(req.Pipeline.Name(), req.Account.Name, out.Kind == apiv1.Answered && !late)
	}
}

// stream answers with server-sent events. The status is 200 as soon as the first
// event is written; a failure after that is an error event.
func (c *CallerHandler) stream(w http.ResponseWriter, r *http.Request, req *chain.Request) {
	sse := &eventWriter{w: w, control: http.NewResponseController(w)}
	var text strings.Builder
	req.OnToken = func(index int, piece string) {
		text.WriteString(piece)
		sse.write(apiv1.EventToken, apiv1.Token{Index: index, Text: piece})
	}
	out := c.handle(r.Context(), req)
	c.end(req, out)
	if out.Kind != apiv1.Answered {
		if !sse.started {
			writeProblem(w, out.Problem)
			return
		}
		sse.write(apiv1.EventError, out.Problem)
		return
	}
	sse.write(apiv1.EventEnd, apiv1.End{ID: req.Body.ID, Count: sse.tokens(), Checksum: apiv1.Checksum(text.String())})
}

// eventWriter writes server-sent events. It is safe for concurrent use.
type eventWriter struct {
	mu      sync.Mutex
	w       http.ResponseWriter
	control *http.ResponseController
	started bool
	count   int
}

func (e *eventWriter) write(event string, body any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.started {
		e.started = true
		e.w.Header().Set("Content-Type", "text/event-stream")
		e.w.Header().Set("Cache-Control", "no-store")
		e.w.WriteHeader(http.StatusOK)
	}
	if event == apiv1.EventToken {
		e.count++
	}
	data, err := json.Marshal(body)
	invar.Check(err == nil, "encode event %s: %v", event, err)
	_, _ = fmt.Fprintf(e.w, "event: %s\ndata: %s\n\n", event, data)
	_ = e.control.Flush()
}

func (e *eventWriter) tokens() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.count
}

func bearer(r *http.Request) string {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return token
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeProblem(w http.ResponseWriter, p apiv1.Problem) {
	w.Header().Set("Content-Type", apiv1.ProblemType)
	if p.RetryAfter > 0 {
		seconds := int64((p.RetryAfter.Std() + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", fmt.Sprint(seconds))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// counts checks that every accepted request ends once.
type counts struct {
	mu       sync.Mutex
	accepted int64
	ended    map[apiv1.Outcome]int64
	inFlight int64
}

var outcomes = expvar.NewMap("requests_count")

func newCounts() *counts { return &counts{ended: map[apiv1.Outcome]int64{}} }

func (c *counts) accept() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accepted++
	c.inFlight++
	outcomes.Add("accepted", 1)
}

func (c *counts) end(kind apiv1.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	c.ended[kind]++
	outcomes.Add(string(kind), 1)
	var sum int64
	for _, n := range c.ended {
		sum += n
	}
	invar.Check(c.accepted == sum+c.inFlight && c.inFlight >= 0,
		"requests: accepted %d, ended %d, in flight %d", c.accepted, sum, c.inFlight)
}
