package peers

import (
	"context"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"chivepost/share/hosts"
	"chivepost/share/silent"
)

// A host that gets its table from a peer, or has its stages run there, waited on a silent
// connection until the call timed out, and all further calls did so for 3 s.
func TestSilentConnectionIsReplaced(t *testing.T) {
	server := New(Options{Host: "b", Key: "k"}, logr.Discard())
	defer server.Close()
	var handled atomic.Int32
	for _, kind := range []string{"repeatable", "once"} {
		server.Handle(kind, func(context.Context, string, uint64, []byte) (any, error) { handled.Add(1); return kind, nil })
	}
	listener := httptest.NewUnstartedServer(server)
	l := &silent.Listener{Listener: listener.Listener}
	listener.Listener = l
	listener.Start()
	defer listener.Close()
	client := New(Options{Host: "a", Key: "k", Repeatable: []string{"repeatable"}}, logr.Discard())
	defer client.Close()
	to := hosts.Host{Name: "b", PeerAddress: l.Addr().String()}
	call := func(kind string) error {
		ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond) // less than SilenceTimeout
		defer cancel()
		return client.Call(ctx, to, kind, nil, nil)
	}
	if err := call("repeatable"); err != nil {
		t.Fatal(err)
	}
	l.Silence()
	if err := call("repeatable"); err != nil || handled.Load() != 2 {
		t.Errorf("%v after %d calls, want none after 2", err, handled.Load())
	}
	l.Silence()
	if err := call("once"); err == nil || handled.Load() != 2 {
		t.Errorf("%v after %d calls, want an error for one that mustn't be repeated", err, handled.Load())
	}
	if err := call("once"); err != nil {
		t.Errorf("the next call: %v", err)
	}
}

// A call that takes long leaves its connection alone, since the peer answers probes.
func TestSlowCallKeepsItsConnection(t *testing.T) {
	server := New(Options{Host: "b", Key: "k"}, logr.Discard())
	defer server.Close()
	server.Handle("slow", func(ctx context.Context, _ string, _ uint64, _ []byte) (any, error) {
		select {
		case <-ctx.Done():
		case <-time.After(1500 * time.Millisecond):
		}
		return nil, ctx.Err()
	})
	listener := httptest.NewServer(server)
	defer listener.Close()
	client := New(Options{Host: "a", Key: "k"}, logr.Discard())
	defer client.Close()
	if err := client.Call(context.Background(), hosts.Host{Name: "b", PeerAddress: listener.Listener.Addr().String()}, "slow", nil, nil); err != nil {
		t.Error(err)
	}
}
