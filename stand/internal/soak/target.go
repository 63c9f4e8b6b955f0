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
)

// fakeTarget is a stand-in of a target: a plain service, a model or a stage target.
type fakeTarget struct {
	id, service, dataCentre string
	checker                 *checker
	store                   *fakeStore
	proxy                   *proxy
	server                  *http.Server
	startMillis             int64
	sequence                atomic.Int64
	leavingAt               atomic.Int64 // Unix nanoseconds, 0 if the target isn't leaving
	slow                    atomic.Bool
	stopped                 chan struct{}
	stopOnce                sync.Once

	mu          sync.Mutex
	handles     map[string]string // result handle to its request
	handleCount int
}

// startTarget starts a target with a new incarnation and begins to write its entry.
func startTarget(id, service, dataCentre string, c *checker, s *fakeStore) (*fakeTarget, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	link, err := newProxy(listener.Addr().String())
	if err != nil {
		return nil, err
	}
	t := &fakeTarget{
		id: id, service: service, dataCentre: dataCentre, checker: c, store: s, proxy: link, startMillis: time.Now().UnixMilli(),
		stopped: make(chan struct{}), handles: map[string]string{},
	}
	t.server = &http.Server{Handler: t}
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
	t.store.put(feed.TopicTargets, t.id, entry)
}

// announceLeave marks the target as draining in its entry.
func (t *fakeTarget) announceLeave() {
	t.leavingAt.Store(time.Now().UnixNano())
	t.writeEntry()
}

// stop ends the target. With crash it resets the connections and leaves the entry in the
// store; otherwise it removes the entry.
func (t *fakeTarget) stop(crash bool) {
	t.stopOnce.Do(func() { close(t.stopped) })
	if crash {
		t.proxy.setFault(linkReset)
	} else {
		t.store.put(feed.TopicTargets, t.id, nil)
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
	t.simulateWork(stageCallTime + time.Duration(len(call.Items))*stageItemTime)
	results := make([]wire.Result, len(call.Items))
	t.mu.Lock()
	for i, item := range call.Items {
		for _, h := range item.Inputs {
			if !strings.Contains(h, "!"+item.ID+"!") {
				t.checker.report("piece of request %s has input %s of another request", item.ID, h)
			}
		}
		if item.Stage > 0 && len(item.Inputs) == 0 || item.Stage == 0 && item.Key != "key-"+item.ID {
			t.checker.report("piece of stage %d of request %s has inputs %v and key %q", item.Stage, item.ID, item.Inputs, item.Key)
		}
		t.handleCount++
		results[i].Handle = fmt.Sprintf("%s/%d!%s!%d.%d", t.proxy.address(), t.handleCount, item.ID, item.Stage, item.Segment)
	}
	t.mu.Unlock()
	t.checker.count("stage calls")
	_ = json.NewEncoder(w).Encode(map[string]any{"Items": results}) // the sender may have disconnected
}

// serveCall answers a caller's request, with a stream below /stream/.
func (t *fakeTarget) serveCall(w http.ResponseWriter, r *http.Request, body string) {
	id := r.Header.Get(wire.HeaderID)
	if r.URL.Path == "/healthz" {
		return
	}
	if inputs := r.Header.Get(wire.HeaderInputs); strings.HasPrefix(r.URL.Path, "/stream/") {
		want := 2 // pieces of the last stage
		if got := strings.Count(inputs, "!"+id+"!1."); got != want || strings.Count(inputs, ",") != want-1 {
			t.checker.report("request %s has inputs %q", id, inputs)
		}
	}
	t.checker.recordRun(id, t.id, r.Header.Get(wire.HeaderAccount), r.Header.Get("Authorization"), t.leavingSince())
	w.Header().Set(wire.HeaderID, id)
	w.Header().Set(wire.HeaderReceipt, "receipt-"+t.id+"-"+id)
	if !strings.HasPrefix(r.URL.Path, "/stream/") {
		t.simulateWork(plainCallTime)
		text := responseBody(id, body)
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(w, text) // the sender may have disconnected
		return
	}
	lastEvent, _ := strconv.Atoi(r.Header.Get(wire.HeaderLastEvent)) // absent: from the start
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for n := lastEvent + 1; n <= streamEvents; n++ {
		t.simulateWork(eventInterval)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n); err != nil || flush.Flush() != nil {
			return
		}
	}
}

// responseBody returns the body of the answer to a plain request.
func responseBody(id, body string) string {
	return "answer to " + id + ": " + body + strings.Repeat(".", 300)
}
