package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"chivepost/platform/feed"
	"chivepost/platform/wire"
)

const (
	// heartbeatInterval is the time between two writes of a target's entry to the store.
	heartbeatInterval = 400 * time.Millisecond
	// streamEvents and eventInterval are the length and pace of the streams of model targets.
	streamEvents  = 8
	eventInterval = 15 * time.Millisecond
	// plainCallTime is the duration of a plain call. A stage call takes stageCallTime and
	// stageItemTime for each item.
	plainCallTime = 10 * time.Millisecond
	stageCallTime = 40 * time.Millisecond
	stageItemTime = 2 * time.Millisecond
	// Long streams pass slower stages and have more time between their events.
	longEventInterval = 200 * time.Millisecond
	longStageCallTime = 1100 * time.Millisecond
	// tokensPerEvent is the number of output tokens in one event.
	tokensPerEvent = 5
)

// stagePieces are the numbers of pieces of a request at each stage of its route.
type stagePieces []int

// header returns the numbers as requests carry them.
func (p stagePieces) header() string {
	out := make([]string, len(p))
	for i, n := range p {
		out[i] = strconv.Itoa(n)
	}
	return strings.Join(out, ",")
}

// pieces are the pieces of requests by kind.
var pieces = map[string]stagePieces{kindStream: {1, 2}, kindLong: {3, 2, 1}}

// fakeTarget is a stand-in of a target: a plain service, a model or a stage target.
type fakeTarget struct {
	id, service, dataCentre string
	run                     *runner
	proxy                   *proxy
	server                  *http.Server
	startMillis             int64
	sequence                atomic.Int64
	leavingAt               atomic.Int64 // Unix nanoseconds, 0 if the target isn't leaving
	slow                    atomic.Bool
	saysLeaving             atomic.Bool  // in its answers
	busySeconds             atomic.Int64 // for which it wants no requests, by its refusals; 0: it takes them
	answersTwice            atomic.Bool
	breaksStreams           atomic.Bool
	failsResumes            atomic.Bool
	resumes, events         atomic.Int64 // of streams, counted to select the ones that fail
	stopped                 chan struct{}
	stopOnce                sync.Once

	mu          sync.Mutex
	handles     map[string]string // result handle to its request
	handleCount int
}

// startTarget starts a target with a new incarnation and begins to write its entry.
func startTarget(id, service, dataCentre string, r *runner) (*fakeTarget, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	link, err := newProxy(listener.Addr().String())
	if err != nil {
		return nil, err
	}
	t := &fakeTarget{
		id: id, service: service, dataCentre: dataCentre, run: r, proxy: link, startMillis: time.Now().UnixMilli(),
		stopped: make(chan struct{}), handles: map[string]string{},
	}
	t.server = &http.Server{Handler: t, ConnContext: withConnState}
	go func() { _ = t.server.Serve(listener) }()
	go t.sendHeartbeats()
	return t, nil
}

// sendHeartbeats writes the entry at each interval until the target stops.
func (t *fakeTarget) sendHeartbeats() {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		t.writeEntry()
		select {
		case <-tick.C:
		case <-t.stopped:
			return
		}
	}
}

// writeEntry writes the target's entry to the store.
func (t *fakeTarget) writeEntry() {
	state := "ready"
	if t.leavingAt.Load() != 0 {
		state = "draining"
	}
	entry, _ := json.Marshal(map[string]any{ // plain values don't fail
		"Service": t.service, "Address": t.proxy.address(), "Zone": t.dataCentre, "Version": "v1", "Slots": 8, "State": state,
		"ColdRemainingMs": 0, "Sequence": t.sequence.Add(1), "born": t.startMillis,
	})
	t.run.store.put(feed.TopicTargets, t.id, entry)
}

// announceLeave marks the target as draining in its entry.
func (t *fakeTarget) announceLeave() {
	t.leavingAt.Store(time.Now().UnixNano())
	t.writeEntry()
}

// stop ends the target. With crash it resets the connections and leaves the entry in the
// store; otherwise it removes the entry.
func (t *fakeTarget) stop(crash bool) {
	t.run.trace.recordOutage(t.id)
	t.stopOnce.Do(func() { close(t.stopped) })
	if crash {
		t.proxy.setFault(linkReset)
	} else {
		t.run.store.put(feed.TopicTargets, t.id, nil)
	}
	_ = t.server.Close()
	t.proxy.close()
}

// leavingSince returns when the target announced that it leaves, or zero.
func (t *fakeTarget) leavingSince() time.Time {
	if n := t.leavingAt.Load(); n != 0 {
		return time.Unix(0, n)
	}
	return time.Time{}
}

// ServeHTTP implements the protocol of targets.
func (t *fakeTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get(wire.HeaderTarget); want != "" && want != t.id {
		w.Header().Set(wire.HeaderTargetID, t.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if t.saysLeaving.Load() {
		w.Header().Set(wire.HeaderLeaving, "1")
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the sender has disconnected
	}
	switch r.URL.Path {
	case wire.PathStageRun:
		t.serveStage(w, body)
	case wire.PathStageFree:
		w.WriteHeader(http.StatusOK)
	default:
		t.serveCall(w, r, string(body))
	}
}

// simulateWork sleeps for the duration, or five times as long while the target is slow.
func (t *fakeTarget) simulateWork(d time.Duration) {
	if t.slow.Load() {
		d *= 5
	}
	time.Sleep(d)
}

// serveStage runs the items of a stage call. It reports inputs of another request and
// missing or wrong inputs and keys.
func (t *fakeTarget) serveStage(w http.ResponseWriter, body []byte) {
	var call struct {
		Items []struct {
			ID      string `json:"Id"`
			Key     string
			Stage   int
			Segment int
			Inputs  []string
		}
	}
	if json.Unmarshal(body, &call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	callTime := stageCallTime
	if t.service == serviceLongStages {
		callTime = longStageCallTime
	}
	t.simulateWork(callTime + time.Duration(len(call.Items))*stageItemTime)
	results := make([]wire.Result, len(call.Items))
	t.mu.Lock()
	for i, item := range call.Items {
		for _, h := range item.Inputs {
			if !strings.Contains(h, "!"+item.ID+"!") {
				t.run.checker.report("piece of request %s has input %s of another request", item.ID, h)
			}
		}
		if item.Stage > 0 && len(item.Inputs) == 0 || item.Stage == 0 && item.Key != "key-"+item.ID {
			t.run.checker.report("piece of stage %d of request %s has inputs %v and key %q", item.Stage, item.ID, item.Inputs, item.Key)
		}
		t.handleCount++
		results[i].Handle = fmt.Sprintf("%s/%d!%s!%d.%d", t.proxy.address(), t.handleCount, item.ID, item.Stage, item.Segment)
	}
	t.mu.Unlock()
	t.run.checker.count("stage calls")
	_ = json.NewEncoder(w).Encode(map[string]any{"Items": results}) // the sender may have disconnected
}

// serveCall answers a caller's request, with a stream if it has stages.
func (t *fakeTarget) serveCall(w http.ResponseWriter, r *http.Request, body string) {
	if r.URL.Path == "/healthz" {
		return
	}
	id := r.Header.Get(wire.HeaderID)
	kind, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if kind == kindCrowd {
		size, _ := strconv.Atoi(rest) // crowds send numbers
		w.Header().Set(wire.HeaderID, id)
		w.Header().Set(wire.HeaderReceipt, "receipt-"+t.id+"-"+id)
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = io.CopyN(w, zeros{}, int64(size)) // the sender may have disconnected
		return
	}
	t.run.trace.recordContact(contact{id: id, target: t.id, at: time.Now(), saysLeave: t.saysLeaving.Load(), busy: time.Duration(t.busySeconds.Load()) * time.Second})
	if t.refuse(w, r, id) {
		return
	}
	if stages := pieces[kind]; len(stages) > 0 {
		last := len(stages) - 1
		want := stages[last] // all pieces of the last stage
		inputs := r.Header.Get(wire.HeaderInputs)
		if got := strings.Count(inputs, fmt.Sprintf("!%s!%d.", id, last)); got != want || strings.Count(inputs, ",") != want-1 {
			t.run.checker.report("request %s has inputs %q, want %d pieces of stage %d", id, inputs, want, last)
		}
	}
	isTainted := t.run.taint.isIn(r.Header.Get(wire.HeaderPrefix))
	defer t.run.trace.recordRun(id, t.id, isTainted)()
	t.run.checker.recordRun(id, t.id, r.Header.Get(wire.HeaderAccount), r.Header.Get("Authorization"), t.leavingSince())
	w.Header().Set(wire.HeaderID, id)
	w.Header().Set(wire.HeaderReceipt, "receipt-"+t.id+"-"+id)
	if len(pieces[kind]) == 0 {
		text := responseBody(id, body)
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		if t.answerAfterCopy(w, r, text) {
			return
		}
		t.keepAnswer(r, http.StatusOK, w.Header(), text)
		t.simulateWork(plainCallTime)
		_, _ = io.WriteString(w, text) // the sender may have disconnected
		return
	}
	t.serveStream(w, r, id, kind, isTainted)
}

// serveStream answers with a stream that goes on after the last event that the caller has.
func (t *fakeTarget) serveStream(w http.ResponseWriter, r *http.Request, id, kind string, isTainted bool) {
	events, interval := streamEvents, eventInterval
	if kind == kindLong {
		_, output, _ := strings.Cut(r.Header.Get(wire.HeaderTokens), ",")
		tokens, _ := strconv.Atoi(output) // the stream is empty without them
		events, interval = tokens/tokensPerEvent, longEventInterval
	}
	lastEvent, _ := strconv.Atoi(r.Header.Get(wire.HeaderLastEvent)) // absent: from the start
	if t.failResume(w, lastEvent) {
		return
	}
	w.Header().Set("Content-Type", eventStream)
	flush := http.NewResponseController(w)
	for n := lastEvent + 1; n <= events; n++ {
		t.simulateWork(interval)
		if t.breaksOff() {
			panic(http.ErrAbortHandler) // closes the connection
		}
		if isTainted {
			if t.sequence.Load()%2 == 0 {
				_ = flush.Flush() // the head alone arrives
			}
			t.run.crash(t)
			<-r.Context().Done()
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n); err != nil || flush.Flush() != nil {
			return
		}
	}
}

// responseBody returns the body of the answer to a plain request.
func responseBody(id, body string) string {
	return "answer to " + id + ": " + body + strings.Repeat(".", 300)
}
