package graph

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"chivepost/entry/internal/batch"
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

	mu   sync.Mutex
	sent []string
}

func (b *fakeBus) Call(ctx context.Context, to hosts.Host, kind string, body, reply any) error {
	return b.call(ctx, to.Name, kind, body, reply.(*batch.Result))
}

func (b *fakeBus) Send(_ context.Context, to hosts.Host, kind string, body any) error {
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
