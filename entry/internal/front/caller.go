// Package front serves the HTTP API of an entry host: one handler for callers and
// one for operators, each on its own listener.
package front

import (
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"math"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"chivepost/entry/internal/chain"
	"chivepost/entry/internal/invar"
	"chivepost/entry/internal/memory"
	"chivepost/share/apiv1"
	"chivepost/share/bundle"
	"chivepost/share/units"
)

// Config returns the configuration in force and its version; the configuration is
// nil until the first one has been read.
type Config interface {
	Current() (*bundle.Bundle, int64)
}

// Resolver returns the entry host addresses for the callers of a client account.
type Resolver interface {
	Addresses(account string) apiv1.Address
}

// LeaveStatus reports whether the host is leaving. If it is, each connection is closed
// after its response.
type LeaveStatus interface {
	IsLeaving() bool
}

// OutcomeCounter counts good and bad outcomes for the error budget.
type OutcomeCounter interface {
	Add(pipeline, account string, good bool)
}

// Options holds the name of the host and the limits on requests.
type Options struct {
	Host    string
	MaxBody int64 // in bytes; 1 MiB if zero
	// Memory accounts for the bodies of requests; nil means that nothing bounds their sum.
	Memory *memory.Account
}

// CallerHandler serves the HTTP API for callers.
type CallerHandler struct {
	opts        Options
	config      Config
	resolver    Resolver
	leaveStatus LeaveStatus
	budget      OutcomeCounter
	run         chain.Next
	runIDs      runIDs
	counts      *requestCounts
}

// NewCallerHandler returns the handler for callers. It calls run for each valid request.
func NewCallerHandler(opts Options, config Config, resolver Resolver, leaveStatus LeaveStatus, budget OutcomeCounter, run chain.Next) *CallerHandler {
	if opts.MaxBody == 0 {
		opts.MaxBody = 1 << 20
	}
	if opts.Memory == nil {
		opts.Memory = memory.New(math.MaxInt64)
	}
	return &CallerHandler{
		opts: opts, config: config, resolver: resolver, leaveStatus: leaveStatus, budget: budget, run: run,
		runIDs: newRunIDs(opts.Host), counts: newRequestCounts(),
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
	return c.closeWhenLeaving(r)
}

// closeWhenLeaving adds "Connection: close" to responses while the host is leaving,
// so that no idle connection remains when the listener closes.
func (c *CallerHandler) closeWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.leaveStatus.IsLeaving() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (c *CallerHandler) address(w http.ResponseWriter, r *http.Request) {
	cfg, _ := c.config.Current()
	account := ""
	if cfg != nil {
		if a, ok := cfg.AccountBySecret(bearerToken(r)); ok {
			account = a.Name
		}
	}
	writeJSON(w, http.StatusOK, c.resolver.Addresses(account))
}

func (c *CallerHandler) request(w http.ResponseWriter, r *http.Request) {
	var reserved *memory.Reservation
	defer func() {
		if reserved != nil {
			reserved.Close()
		}
	}()
	req, out := c.parse(w, r, &reserved)
	if req == nil {
		writeProblem(w, out.Problem)
		return
	}
	c.counts.accept()
	// Without a deadline, a caller that stops reading would hold the connection and its
	// buffers forever.
	_ = http.NewResponseController(w).SetWriteDeadline(req.Arrived.Add(req.Pipeline.Deadline() + writeGrace))
	if req.Body.Stream {
		c.stream(w, r, req)
		return
	}
	out = c.run(r.Context(), req)
	c.recordOutcome(req, out)
	if out.Kind == apiv1.Answered {
		writeJSON(w, http.StatusOK, out.Answer)
		return
	}
	writeProblem(w, out.Problem)
}

// memoryRetryAfter is the Retry-After of a request for which there is no memory: a whole
// second, the shortest time that can be told.
const memoryRetryAfter = time.Second

// parse reads and validates a request. It returns nil and the refusal if the request
// is invalid. It sets reserved to the memory that the request holds until it ends.
func (c *CallerHandler) parse(w http.ResponseWriter, r *http.Request, reserved **memory.Reservation) (*chain.Request, chain.Outcome) {
	arrived := time.Now()
	cfg, version := c.config.Current()
	if cfg == nil {
		return nil, chain.Refused("", apiv1.ProblemUnready, http.StatusServiceUnavailable, "no configuration yet")
	}
	account, ok := cfg.AccountBySecret(bearerToken(r))
	if !ok {
		return nil, chain.Refused("", apiv1.ProblemUnauthorized, http.StatusUnauthorized, "")
	}
	if r.ContentLength > c.opts.MaxBody {
		return nil, c.tooLarge(w)
	}
	*reserved = c.opts.Memory.Open(account.Name)
	if err := (*reserved).Check(r.ContentLength); err != nil {
		return nil, noMemory(w, err)
	}
	body, err := (*reserved).ReadBody(r.Body, r.ContentLength, c.opts.MaxBody, nil)
	switch {
	case errors.Is(err, memory.ErrTooLarge):
		return nil, c.tooLarge(w)
	case errors.Is(err, memory.ErrAccount), errors.Is(err, memory.ErrClient):
		return nil, noMemory(w, err)
	}
	if err != nil {
		return nil, chain.Refused("", apiv1.ProblemBadRequest, http.StatusBadRequest, "the request body is incomplete")
	}
	req := &chain.Request{Account: account, Config: cfg, Version: version, Arrived: arrived, Run: c.runIDs.next()}
	if err := json.Unmarshal(body, &req.Body); err != nil {
		return nil, chain.Refused("", apiv1.ProblemBadRequest, http.StatusBadRequest, err.Error())
	}
	if req.Body.ID == "" || len(req.Body.ID) > maxIDBytes {
		return nil, chain.Refused("", apiv1.ProblemBadRequest, http.StatusBadRequest,
			fmt.Sprintf("id: must have 1 to %d bytes", maxIDBytes))
	}
	name := mux.Vars(r)["name"]
	req.Pipeline, ok = cfg.Pipeline(name)
	if !ok {
		return nil, chain.Refused(req.Body.ID, apiv1.ProblemNotFound, http.StatusNotFound, "unknown pipeline "+name)
	}
	return req, chain.Outcome{}
}

// tooLarge refuses a body above the limit and closes the connection, on which the rest of it
// may come.
func (c *CallerHandler) tooLarge(w http.ResponseWriter) chain.Outcome {
	w.Header().Set("Connection", "close")
	return chain.Refused("", apiv1.ProblemTooLarge, http.StatusRequestEntityTooLarge, fmt.Sprintf("at most %d bytes are accepted", c.opts.MaxBody))
}

// noMemory refuses a body for which there is no memory. The error names the limit.
func noMemory(w http.ResponseWriter, err error) chain.Outcome {
	w.Header().Set("Connection", "close")
	out := chain.Refused("", apiv1.ProblemOverload, http.StatusServiceUnavailable, err.Error())
	out.Problem.RetryAfter = units.Duration(memoryRetryAfter)
	return out
}

// writeGrace is how long after the deadline a caller may still read its answer.
const writeGrace = 2 * time.Second

// maxIDBytes limits the length of request IDs, which are kept in memory and in the log.
const maxIDBytes = 128

// recordOutcome counts the outcome and charges it to the error budget. Refusals
// caused by the caller or by a host that is leaving are not charged; an answer after
// the deadline counts as bad.
func (c *CallerHandler) recordOutcome(req *chain.Request, out chain.Outcome) {
	c.counts.end(out.Kind)
	late := !req.Deadline.IsZero() && time.Now().After(req.Deadline)
	switch out.Problem.Type {
	case apiv1.ProblemIDConflict, apiv1.ProblemBadRequest, apiv1.ProblemMoved, apiv1.ProblemUnready, apiv1.ProblemIDReleased:
	default:
		c.budget.Add(req.Pipeline.Name(), req.Account.Name, out.Kind == apiv1.Answered && !late)
	}
}

// stream answers with server-sent events. Status 200 is sent with the first event, so
// a later failure is reported as an error event.
func (c *CallerHandler) stream(w http.ResponseWriter, r *http.Request, req *chain.Request) {
	sse := &eventWriter{w: w, control: http.NewResponseController(w)}
	var text strings.Builder
	req.OnToken = func(index int, piece string) {
		text.WriteString(piece)
		sse.write(apiv1.EventToken, apiv1.Token{Index: index, Text: piece})
	}
	out := c.run(r.Context(), req)
	c.recordOutcome(req, out)
	if out.Kind != apiv1.Answered {
		if !sse.started {
			writeProblem(w, out.Problem)
			return
		}
		sse.write(apiv1.EventError, out.Problem)
		return
	}
	sse.write(apiv1.EventEnd, apiv1.End{ID: req.Body.ID, Count: sse.tokenCount(), Checksum: apiv1.Checksum(text.String())})
}

// eventWriter writes server-sent events. It is safe for concurrent use.
type eventWriter struct {
	mu      sync.Mutex
	w       http.ResponseWriter
	control *http.ResponseController
	started bool
	tokens  int
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
		e.tokens++
	}
	data, err := json.Marshal(body)
	invar.Check(err == nil, "encode event %s: %v", event, err)
	_, _ = fmt.Fprintf(e.w, "event: %s\ndata: %s\n\n", event, data)
	_ = e.control.Flush()
}

func (e *eventWriter) tokenCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tokens
}

func bearerToken(r *http.Request) string {
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

// requestCounts counts requests and checks that each accepted one ends exactly once.
type requestCounts struct {
	mu       sync.Mutex
	accepted int64
	ended    map[apiv1.Outcome]int64
	inFlight int64
}

var requestsVar = expvar.NewMap("requests_count")

func newRequestCounts() *requestCounts { return &requestCounts{ended: map[apiv1.Outcome]int64{}} }

func (c *requestCounts) accept() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accepted++
	c.inFlight++
	requestsVar.Add("accepted", 1)
}

func (c *requestCounts) end(kind apiv1.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	c.ended[kind]++
	requestsVar.Add(string(kind), 1)
	var sum int64
	for _, n := range c.ended {
		sum += n
	}
	invar.Check(c.accepted == sum+c.inFlight && c.inFlight >= 0,
		"requests: accepted %d, ended %d, in flight %d", c.accepted, sum, c.inFlight)
}
