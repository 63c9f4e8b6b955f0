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
	// heartbeat is the time between two entries of a target in the store.
	heartbeat = 400 * time.Millisecond
	// streamEvents and eventEvery shape the streams of model targets.
	streamEvents = 8
	eventEvery   = 15 * time.Millisecond
	// workTime is what a plain call takes, stageCall and stageItem a stage call.
	workTime  = 10 * time.Millisecond
	stageCall = 40 * time.Millisecond
	stageItem = 2 * time.Millisecond
)

// engine stands in for a target: a plain service, a model or a stage target.
type engine struct {
	id, service, place string
	ledger             *ledger
	store              *metaStore
	link               *proxy
	server             *http.Server
	born               int64
	sequence           atomic.Int64
	leaving            atomic.Int64 // Unix nanoseconds; 0: it isn't
	slow               atomic.Bool
	stop               chan struct{}
	once               sync.Once

	mu      sync.Mutex
	handles map[string]string // result to the request that it belongs to
	made    int
}

// start begins an engine with a new incarnation and shows it in the store.
func startEngine(id, service, place string, l *ledger, s *metaStore) (*engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	link, err := newProxy(listener.Addr().String())
	if err != nil {
		return nil, err
	}
	e := &engine{
		id: id, service: service, place: place, ledger: l, store: s, link: link, born: time.Now().UnixMilli(),
		stop: make(chan struct{}), handles: map[string]string{},
	}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(listener) }()
	go e.beat()
	return e, nil
}

func (e *engine) beat() {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		e.show()
		select {
		case <-tick.C:
		case <-e.stop:
			return
		}
	}
}

// show writes the engine's entry.
func (e *engine) show() {
	state := "ready"
	if e.leaving.Load() != 0 {
		state = "draining"
	}
	entry, _ := json.Marshal(map[string]any{ // plain values don't fail
		"Service": e.service, "Address": e.link.address(), "Zone": e.place, "Version": "v1", "Slots": 8, "State": state,
		"ColdRemainingMs": 0, "Sequence": e.sequence.Add(1), "born": e.born,
	})
	e.store.put(feed.TopicTargets, e.id, entry)
}

// leave announces that the engine goes.
func (e *engine) leave() {
	e.leaving.Store(time.Now().UnixNano())
	e.show()
}

// end stops the engine; with crash it breaks its connections off and says nothing.
func (e *engine) end(crash bool) {
	e.once.Do(func() { close(e.stop) })
	if crash {
		e.link.set(linkReset)
	} else {
		e.store.put(feed.TopicTargets, e.id, nil)
	}
	_ = e.server.Close()
	e.link.close()
}

func (e *engine) leavingSince() time.Time {
	if n := e.leaving.Load(); n != 0 {
		return time.Unix(0, n)
	}
	return time.Time{}
}

// ServeHTTP answers as a target does.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get(wire.HeaderTarget); want != "" && want != e.id {
		w.Header().Set(wire.HeaderTargetID, e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // its sender is gone
	}
	switch r.URL.Path {
	case wire.PathStageRun:
		e.runStage(w, body)
	case wire.PathStageFree:
		w.WriteHeader(http.StatusOK)
	default:
		e.run(w, r, string(body))
	}
}

func (e *engine) work(d time.Duration) {
	if e.slow.Load() {
		d *= 5
	}
	time.Sleep(d)
}

func (e *engine) runStage(w http.ResponseWriter, body []byte) {
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
	e.work(stageCall + time.Duration(len(call.Items))*stageItem)
	results := make([]wire.Result, len(call.Items))
	e.mu.Lock()
	for i, item := range call.Items {
		for _, h := range item.Inputs {
			if !strings.Contains(h, "!"+item.ID+"!") {
				e.ledger.wrong("piece of request %s is made from %s, which is another's", item.ID, h)
			}
		}
		if item.Stage > 0 && len(item.Inputs) == 0 || item.Stage == 0 && item.Key != "key-"+item.ID {
			e.ledger.wrong("piece of stage %d of request %s has inputs %v and key %q", item.Stage, item.ID, item.Inputs, item.Key)
		}
		e.made++
		results[i].Handle = fmt.Sprintf("%s/%d!%s!%d.%d", e.link.address(), e.made, item.ID, item.Stage, item.Segment)
	}
	e.mu.Unlock()
	e.ledger.count("stage calls")
	_ = json.NewEncoder(w).Encode(map[string]any{"Items": results}) // its sender may be gone
}

// run answers a caller's request, as a stream where its path says so.
func (e *engine) run(w http.ResponseWriter, r *http.Request, body string) {
	id := r.Header.Get(wire.HeaderID)
	if r.URL.Path == "/healthz" {
		return
	}
	if inputs := r.Header.Get(wire.HeaderInputs); strings.HasPrefix(r.URL.Path, "/stream/") {
		want := 2 // pieces of the last stage
		if got := strings.Count(inputs, "!"+id+"!1."); got != want || strings.Count(inputs, ",") != want-1 {
			e.ledger.wrong("request %s comes with inputs %q", id, inputs)
		}
	}
	e.ledger.ran(id, e.id, r.Header.Get(wire.HeaderAccount), r.Header.Get("Authorization"), e.leavingSince())
	w.Header().Set(wire.HeaderID, id)
	w.Header().Set(wire.HeaderReceipt, "receipt-"+e.id+"-"+id)
	if !strings.HasPrefix(r.URL.Path, "/stream/") {
		e.work(workTime)
		text := answerText(id, body)
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(w, text) // its sender may be gone
		return
	}
	first, _ := strconv.Atoi(r.Header.Get(wire.HeaderLastEvent)) // not given: from the start
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for n := first + 1; n <= streamEvents; n++ {
		e.work(eventEvery)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n); err != nil || flush.Flush() != nil {
			return
		}
	}
}

// answerText is the answer to a plain request.
func answerText(id, body string) string {
	return "answer to " + id + ": " + body + strings.Repeat(".", 300)
}
