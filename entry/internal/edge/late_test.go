package edge

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"chivepost/entry/internal/drain"
	"chivepost/platform/wire"
)

// Guards against requests that come late in a planned stop, are passed on, and are cut without
// an answer when the process ends. Targets are sound and callers keep their connections.
func TestLateRequestsOfAStopAreAnswered(t *testing.T) {
	const grace, ttl = 1600 * time.Millisecond, 400 * time.Millisecond
	// A stream that was sent in the first three eighths of the grace period may break off at its
	// end.
	const mayBreakOff = grace * 3 / 8
	var mu sync.Mutex
	reached := map[string]bool{} // requests that reached a target
	random := rand.New(rand.NewPCG(7, 1))
	wait := func(most time.Duration) {
		mu.Lock()
		d := time.Duration(random.Int64N(int64(most)))
		mu.Unlock()
		time.Sleep(d)
	}
	serve := func(w net.Conn, r *http.Request) {
		mu.Lock()
		reached[r.Header.Get(wire.HeaderID)] = true
		mu.Unlock()
		wait(100 * time.Millisecond)
		if left, _ := strconv.Atoi(r.Header.Get(wire.HeaderTimeLeft)); left > 1200 {
			wait(time.Second)
		}
		if !strings.HasPrefix(r.URL.Path, "/st") {
			ok(w, r)
			return
		}
		streamHead(w, r)
		for n := range 4 {
			chunk(w, fmt.Sprintf("id: %d\ndata: x\n\n", n+1))
			wait(60 * time.Millisecond)
		}
		chunk(w, "")
	}
	h := startHost(t, slowStages{100 * time.Millisecond}, serve, serve, serve)
	for i := range h.view.Config.Routes {
		h.view.Config.Routes[i].Timeout = 5 * time.Second
	}
	var callers []*caller
	var running sync.WaitGroup
	start := time.Now()
	for i := range 24 {
		c := newCaller(fmt.Sprintf("late%d", i), []string{strings.TrimPrefix(h.url, "http://")}, rand.New(rand.NewPCG(7, uint64(i+2))))
		c.pause = 10 * time.Millisecond
		if i%3 > 0 { // the others don't say for how long they wait
			c.timeLeft = time.Duration(600+100*(i%3)) * time.Millisecond
		}
		callers = append(callers, c)
		running.Go(func() { c.run(start.Add(time.Second + grace)) })
	}
	time.Sleep(time.Second)
	stopAt := time.Now()
	if err := h.handler.Shutdown(drain.NewPlan(stopAt, grace, ttl), h.server); err != nil {
		t.Errorf("shutdown: %v", err)
	}
	time.Sleep(time.Until(stopAt.Add(grace)))
	_ = h.server.Close() // the process is killed
	running.Wait()
	mu.Lock()
	defer mu.Unlock()
	answered, late := 0, 0
	for _, c := range callers {
		for id, status := range c.answers {
			if status != http.StatusOK {
				continue
			}
			if answered++; c.sentAt[id].Sub(stopAt) > ttl {
				late++
			}
		}
		for id := range c.broken {
			if sent := c.sentAt[id].Sub(stopAt); reached[id] && (sent > mayBreakOff || !c.streams[id]) {
				t.Errorf("request %s, sent %s after the signal, reached a target and got no whole answer", id, sent)
			}
		}
	}
	if answered < 100 || late < 20 {
		t.Errorf("%d requests were answered, %d of them late, want at least 100 and 20", answered, late)
	}
}
