package server_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing/synctest"
	"time"

	"chivepost/share/bundle"
	"chivepost/share/events"
	"chivepost/share/target"
	"chivepost/share/units"
	"chivepost/stand/internal/server"
	"chivepost/stand/internal/spec"

	. "github.com/onsi/gomega"
)

// pipeListener is an in-memory listener, so that connections work in virtual time.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (p pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p pipeListener) Close() error {
	close(p.done)
	return nil
}

func (pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	a, b := net.Pipe()
	p.conns <- b
	return a, nil
}

// testEnv is a target with a client.
type testEnv struct {
	*server.Target
	client *target.Client
	kind   bundle.Kind
	log    *bytes.Buffer
	close  func()
}

const ms = units.Duration(time.Millisecond)

// start starts a target and connects a client to it.
func start(kind bundle.Kind, warm bool) *testEnv {
	log := &bytes.Buffer{}
	t := server.New(server.Options{
		Spec: spec.Target{
			Name: "t", Pool: "pool", Kind: kind, Limit: 4, ColdLimit: 2, ChecksFence: true,
			Pace: spec.Pace{
				FirstToken: 100 * ms, PromptToken: ms, PerToken: 10 * ms, Service: 100 * ms,
				ColdTime: 4000 * ms, ColdFactor: 2, FallTime: 3000 * ms, ReportLag: 500 * ms, CacheBlocks: 100,
			},
		},
		DataCentre: "here", Delays: map[string]units.Duration{"far": 20 * ms}, Seed: 1, StartWarm: warm,
		Events: events.New(log),
	})
	p := pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	s := &http.Server{Handler: t.Handler()}
	go func() { _ = s.Serve(p) }()
	client := target.New(target.Options{DataCentre: "near", Dial: p.dial})
	return &testEnv{Target: t, client: client, kind: kind, log: log, close: func() {
		client.Close()
		t.Close()
		_ = s.Close()
	}}
}

func (env *testEnv) run(ctx context.Context, id string) target.Result {
	return env.runInput(ctx, id, target.NewInput("prefix", id, "question"))
}

func (env *testEnv) runInput(ctx context.Context, id, input string) target.Result {
	return env.client.Run(ctx, target.Call{ID: id + "/stage/1", Kind: env.kind, Address: "t:1", Input: input}, nil)
}

// runTogether makes calls at the same time.
func (env *testEnv) runTogether(ids ...string) []target.Result {
	out := make([]target.Result, len(ids))
	done := make(chan struct{})
	for i, id := range ids {
		go func() {
			out[i] = env.run(context.Background(), id)
			done <- struct{}{}
		}()
		synctest.Wait()
	}
	for range ids {
		<-done
	}
	return out
}

func (env *testEnv) do(method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	env.Handler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

func (env *testEnv) post(path, body string) int { return env.do(http.MethodPost, path, body).Code }

func (env *testEnv) faults(body string) {
	Expect(env.post("/v1/faults", body)).To(Equal(http.StatusOK))
}

// reason returns the reason of a failed call, empty for any other result.
func reason(res target.Result) target.Reason {
	var callErr *target.CallError
	if !errors.As(res.Err, &callErr) {
		return ""
	}
	return callErr.Reason
}

func (env *testEnv) get(r *http.Request) { env.Handler().ServeHTTP(httptest.NewRecorder(), r) }
