package graph

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"chivepost/entry/internal/batch"
	"chivepost/entry/internal/place"
	"chivepost/entry/internal/roster"
	"chivepost/share/fleet"
	"chivepost/share/hosts"
)

// fakeHomes has homes of which those that are avoided are skipped.
type fakeHomes struct {
	names   []string
	avoided map[string]bool
}

func (f *fakeHomes) Home(string) (roster.Host, bool) {
	i := slices.IndexFunc(f.names, func(n string) bool { return !f.avoided[n] })
	return roster.Host{Name: f.names[i]}, true
}
func (f *fakeHomes) Avoid(name string)   { f.avoided[name] = true }
func (*fakeHomes) IsDiscoveryDone() bool { return true }

type oneRegion struct{}

func (oneRegion) IsSplit([]fleet.Stage) bool { return false }
func (oneRegion) Region(string) string       { return "r" }
func (oneRegion) Regions() []string          { return []string{"r"} }

// fakeBus passes calls to the homes by name, and records the messages without an answer.
type fakeBus struct {
	call func(ctx context.Context, home, kind string, body any, reply *batch.Result) error

	onSend func(body any) // unless nil

	mu   sync.Mutex
	sent []string
}

func (b *fakeBus) Call(ctx context.Context, to hosts.Host, kind string, body, reply any) error {
	return b.call(ctx, to.Name, kind, body, reply.(*batch.Result))
}

func (b *fakeBus) Send(_ context.Context, to hosts.Host, kind string, body any) error {
	if b.onSend != nil {
		b.onSend(body)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent = append(b.sent, to.Name+" "+kind+" "+body.(orderRef).ID)
	return nil
}

// A home that answers too late is replaced, and goes on with the order unless it is told:
// two homes then made the same pieces at the same targets, at the time of the highest load.
func TestHomeThatIsReplacedIsToldToEndTheOrder(t *testing.T) {
	for name, fail := range map[string]func(ctx context.Context) error{
		"too late": func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() },
		"broken":   func(context.Context) error { return errors.New("connection reset") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				progress := []batch.StageProgress{{IsDone: true, Handles: []string{"a"}}}
				var first, second string
				var resumed []batch.StageProgress
				bus := &fakeBus{}
				bus.call = func(ctx context.Context, home, kind string, body any, reply *batch.Result) error {
					switch {
					case home == "h1" && kind == KindRun:
						first = body.(batch.Order).ID
						*reply = batch.Result{Progress: progress}
						return nil
					case home == "h1":
						return fail(ctx)
					}
					order := body.(batch.Order)
					second, resumed = order.ID, order.Progress
					*reply = batch.Result{IsDone: true, Handles: []string{"b"}}
					return nil
				}
				homes := &fakeHomes{names: []string{"h1", "h2"}, avoided: map[string]bool{}}
				local := batch.New(nil, nil, logr.Discard())
				defer local.Close()
				r := New("self", "r", homes, bus, local, oneRegion{})
				now := time.Now()
				res, err := r.Run(t.Context(), batch.Order{Stages: []fleet.Stage{{Service: "s"}}}, now.Add(time.Second), now.Add(5*time.Second))
				synctest.Wait()
				if err != nil || len(res.Handles) != 1 || len(resumed) != 1 || first == second {
					t.Fatalf("got %+v, %v; the second home got progress %+v and order %q after %q", res, err, resumed, second, first)
				}
				bus.mu.Lock()
				defer bus.mu.Unlock()
				if want := []string{"h1 " + KindRelease + " " + first}; !slices.Equal(bus.sent, want) {
					t.Errorf("messages %q, want %q", bus.sent, want)
				}
			})
		})
	}
}

// recordingHandlers is a bus that keeps the handlers of messages.
type recordingHandlers map[string]func(ctx context.Context, from string, incarnation uint64, body []byte) (any, error)

func (h recordingHandlers) Handle(kind string, f func(ctx context.Context, from string, incarnation uint64, body []byte) (any, error)) {
	h[kind] = f
}

// madeResults is a client whose target makes a result for each piece, and records what is freed.
type madeResults struct{ freed chan []string }

func (madeResults) Run(_ context.Context, c *batch.Call) ([]batch.Outcome, batch.Failure, error) {
	out := make([]batch.Outcome, len(c.Pieces))
	for i := range out {
		out[i].Handle = fmt.Sprintf("a/%d", i)
	}
	return out, batch.FailureNone, nil
}

func (c madeResults) Free(_ context.Context, _ batch.Target, handles []string) error {
	c.freed <- handles
	return nil
}

type oneTarget struct{}

func (oneTarget) Stage(string, string) (fleet.Batching, []batch.Target, bool) {
	return fleet.Batching{Slots: 1, BatchSize: 2, CallOverhead: time.Millisecond, ResultTTL: time.Second}, []batch.Target{{ID: "t", Address: "a", StartMillis: 7}}, true
}

func (oneTarget) Models(string, string) []place.Target { return nil }

// A result that is passed to another host, and to another home to be freed, is that of the start
// that made it. Hosts of an earlier version get the handles that they know.
func TestStartsOfResultsArePassedOn(t *testing.T) {
	home := batch.New(madeResults{make(chan []string, 1)}, oneTarget{}, logr.Discard())
	defer home.Close()
	handlers := recordingHandlers{}
	RegisterHandlers(handlers, home)
	freed := make(chan orderRef, 2)
	bus := &fakeBus{call: func(ctx context.Context, _, kind string, body any, reply *batch.Result) error {
		data, err := cbor.Marshal(body)
		if err != nil {
			return err
		}
		out, err := handlers[kind](ctx, "h", 1, data)
		if err == nil {
			*reply = out.(batch.Result)
			if slices.ContainsFunc(reply.Handles, func(h string) bool { return h != "a/0" && h != "a/1" }) {
				t.Errorf("handles on the wire: %q, want plain ones", reply.Handles)
			}
		}
		return err
	}, onSend: func(body any) { freed <- body.(orderRef) }}
	homes := &fakeHomes{names: []string{"h1", "h2"}, avoided: map[string]bool{}}
	r := New("self", "r", homes, bus, nil, oneRegion{})
	now := time.Now()
	res, err := r.Run(context.Background(), batch.Order{Stages: []fleet.Stage{{Service: "s"}}, Pieces: []int{2}}, now.Add(2*time.Second), now.Add(2*time.Second))
	if err != nil || !slices.Equal(res.Handles, []string{batch.BindHandle("a/0", 7), batch.BindHandle("a/1", 7)}) {
		t.Fatalf("results %+v, %v, want bound handles", res, err)
	}
	homes.Avoid("h1")
	res.Free(batch.SessionTarget{})
	for range 2 { // at the home that ran it, which knows the handles, and at its successor
		if ref := <-freed; len(ref.Handles) > 0 && !slices.Equal(batch.UnpackHandles(ref.Handles, ref.Starts), res.Handles) {
			t.Errorf("to be freed: %+v, want %q", ref, res.Handles)
		}
	}
}
