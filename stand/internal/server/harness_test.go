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

// pipes is a listener in memory, so that connections work in virtual time.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
}

func (p pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p pipes) Close() error {
	close(p.done)
	return nil
}

func (pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p pipes) dial(context.Context, string, string) (net.Conn, error) {
	a, b := net.Pipe()
	p.conns <- b
	return a, nil
}

// bench is one target with a client.
type bench struct {
	*server.Target
	client *target.Client
	kind   bundle.Kind
	log    *bytes.Buffer
	close  func()
}

const ms = units.Duration(time.Millisecond)

func start(kind bundle.Kind, warm bool) *bench {
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
	p := pipes{conns: make(chan net.Conn), done: make(chan struct{})}
	s := &http.Server{Handler: t.Handler()}
	go func() { _ = s.Serve(p) }()
	client := target.New(target.Options{DataCentre: "near", Dial: p.dial})
	return &bench{Target: t, client: client, kind: kind, log: log, close: func() {
		client.Close()
		t.Close()
		_ = s.Close()
	}}
}

func (b *bench) run(ctx context.Context, id string) target.Result {
	return b.runInput(ctx, id, target.NewInput("prefix", id, "question"))
}

func (b *bench) runInput(ctx context.Context, id, input string) target.Result {
	return b.client.Run(ctx, target.Call{ID: id + "/stage/1", Kind: b.kind, Address: "t:1", Input: input}, nil)
}

// together makes calls at the same time.
func (b *bench) together(ids ...string) []target.Result {
	out := make([]target.Result, len(ids))
	done := make(chan struct{})
	for i, id := range ids {
		go func() {
			out[i] = b.run(context.Background(), id)
			done <- struct{}{}
		}()
		synctest.Wait()
	}
	for range ids {
		<-done
	}
	return out
}

func (b *bench) do(method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	b.Handler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

func (b *bench) post(path, body string) int { return b.do(http.MethodPost, path, body).Code }

func (b *bench) faults(body string) {
	Expect(b.post("/v1/faults", body)).To(Equal(http.StatusOK))
}

func reason(res target.Result) target.Reason {
	var callErr *target.CallError
	if !errors.As(res.Err, &callErr) {
		return ""
	}
	return callErr.Reason
}

func (b *bench) get(r *http.Request) { b.Handler().ServeHTTP(httptest.NewRecorder(), r) }
