package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"chivepost/entry/internal/conf"
	"chivepost/entry/internal/front"
	"chivepost/entry/internal/memlog"
	"chivepost/share/apiv1"
	"chivepost/share/bundle"
	"chivepost/share/events"
	"chivepost/share/hosts"
	"chivepost/share/target"
	"chivepost/share/units"
)

// world is a whole deployment in one process: hosts joined by fakes at the
// interfaces, in the virtual time of a synctest bubble.
type world struct {
	cuts    *cuts
	net     *network
	log     *memlog.Service
	list    *hostList
	targets map[string]*fakeTarget
	byName  map[string]*fakeTarget
	doc     bundle.Doc

	mu        sync.Mutex
	buffer    bytes.Buffer
	record    *events.Log
	procs     map[string]*proc
	started   int
	publishes atomic.Uint64
	logDelay  atomic.Int64 // added to each call of the log, in nanoseconds
	version   int64
	wait      sync.WaitGroup
}

// proc is one process of an entry host.
type proc struct {
	self   hosts.Host
	gate   *gate
	node   *Node
	log    *memlog.Client
	router http.Handler
	admin  http.Handler
	ctx    context.Context
	cancel context.CancelFunc
	ended  sync.Once
}

var dataCentres = []string{"thies", "kaolack", "ziguinchor"}

// gatedRecord holds the Sending event back while the process is paused. It comes
// before the last checks of a send, so what was decided earlier is old by then.
type gatedRecord struct {
	gate *gate
	log  *events.Log
}

func (r gatedRecord) Add(e events.Event) {
	if e.Kind == events.Sending && r.gate.pass() != nil {
		return
	}
	select {
	case <-r.gate.killed:
	default:
		r.log.Add(e)
	}
}

func newWorld(hostsPerDC int) *world {
	w := &world{
		cuts: &cuts{}, log: memlog.New(), list: &hostList{},
		targets: map[string]*fakeTarget{}, byName: map[string]*fakeTarget{}, procs: map[string]*proc{},
	}
	w.net = &network{cuts: w.cuts, bus: map[string]*bus{}}
	w.record = events.New(&w.buffer)
	w.doc = worldDoc()
	var all []hosts.Host
	for _, t := range w.doc.Targets {
		pool := poolOf(w.doc, t.Pool)
		ft := &fakeTarget{doc: t, pool: pool, service: serviceTimes[t.Pool], state: target.StateWarm}
		ft.note()
		w.targets[t.Address], w.byName[t.Name] = ft, ft
		all = append(all, hosts.Host{
			Name: t.Name, Address: t.Address, DataCentre: t.DataCentre, Region: t.Region,
			Role: hosts.RoleTarget, State: hosts.StateLive,
		})
	}
	for _, dc := range dataCentres {
		for i := range hostsPerDC {
			name := fmt.Sprintf("%s-%d", dc, i+1)
			all = append(all, hosts.Host{
				Name: name, Address: name + ":1", PeerAddress: name + ":2", DataCentre: dc, Region: dc,
				Role: hosts.RoleEntry, State: hosts.StateLive,
			})
		}
	}
	w.list.change(func([]hosts.Host) []hosts.Host { return all })
	for _, h := range all {
		if h.Role == hosts.RoleEntry {
			w.start(h)
		}
	}
	return w
}

var serviceTimes = map[string]time.Duration{
	"encode": 20 * time.Millisecond, "language": 300 * time.Millisecond, "booking": 100 * time.Millisecond,
}

func worldDoc() bundle.Doc {
	doc := bundle.Doc{
		Pools: []bundle.PoolDoc{
			{Name: "encode", Kind: bundle.KindStage, Repeat: true, Limit: 16, ColdLimit: 2},
			{Name: "language", Kind: bundle.KindEngine, Repeat: true, Limit: 8, ColdLimit: 1},
			{Name: "booking", Kind: bundle.KindService, Repeat: false, Limit: 8, ColdLimit: 1},
		},
		Pipelines: []bundle.PipelineDoc{
			pipeline("letter", "encode", "language"), pipeline("booking", "encode", "language", "booking"),
		},
	}
	for _, a := range []string{"alpha", "beta", "gamma"} {
		doc.Accounts = append(doc.Accounts, bundle.AccountDoc{Name: a, Credential: bundle.HashCredential("secret-" + a), Share: 1})
	}
	for _, p := range doc.Pools {
		for _, dc := range dataCentres {
			for i := range 2 {
				name := fmt.Sprintf("%s-%s-%d", dc, p.Name, i+1)
				doc.Targets = append(doc.Targets, bundle.TargetDoc{
					Name: name, Pool: p.Name, DataCentre: dc, Region: dc, Address: fmt.Sprintf("127.0.0.1:%d", 10000+len(doc.Targets)),
				})
			}
		}
	}
	return doc
}

func pipeline(name string, pools ...string) bundle.PipelineDoc {
	p := bundle.PipelineDoc{Name: name, Deadline: units.Duration(5 * time.Second), Objective: 0.99}
	for _, pool := range pools {
		p.Stages = append(p.Stages, bundle.StageDoc{Name: pool, Pool: pool, Timeout: units.Duration(3 * time.Second)})
	}
	return p
}

func poolOf(doc bundle.Doc, name string) bundle.PoolDoc {
	for _, p := range doc.Pools {
		if p.Name == name {
			return p
		}
	}
	return bundle.PoolDoc{}
}

// start starts a process for the host, also after an earlier one was killed.
func (w *world) start(self hosts.Host) *proc {
	w.kill(self.Name) // Another fault may have started it again already.
	w.mu.Lock()
	w.started++
	inc := uint64(w.started)
	w.mu.Unlock()
	g := newGate()
	p := &proc{self: self, gate: g, log: w.log.NewClient()}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	settings := conf.Settings{
		Host: conf.Host{Name: self.Name, DataCentre: self.DataCentre, Region: self.Region, Address: self.Address, PeerAddress: self.PeerAddress},
		Timing: conf.Timing{
			Hold: 3 * time.Second, Spread: time.Second, Lease: 2 * time.Second, Margin: 250 * time.Millisecond,
			AttemptBound: 5 * time.Second, ListLag: 2 * time.Second, MaxViewAge: 3 * time.Second, MaxConfigAge: 3 * time.Second,
			PollInterval: 500 * time.Millisecond, HeartbeatInterval: 500 * time.Millisecond, Retention: time.Hour,
		},
		Limits:  conf.Limits{MaxBody: 1 << 20, MaxQueue: 1000},
		Routing: conf.Routing{Policy: "chivepost", Admission: true},
	}
	record := gatedRecord{gate: g, log: w.record}
	n, err := New(Deps{
		Settings: settings, Incarnation: inc, Seed: inc, Log: gatedLog{Client: p.log, gate: g, delay: &w.logDelay},
		HostList: listReader{list: w.list, lag: time.Duration(inc%5) * 500 * time.Millisecond, gate: g},
		Bus:      w.net.join(self, inc, g), Targets: targets{world: w, self: self, gate: g}, Recorder: record, Logger: logr.Discard(),
	})
	if err != nil {
		panic(err)
	}
	p.node = n
	p.router = front.NewCallerHandler(front.Options{Host: self.Name},
		n.Config(), n, n.Drain(), n.Burn(), n.Run).Router()
	p.admin = front.NewOperatorHandler(self.Name, n.Publisher(), n, 1<<20).Router()
	w.mu.Lock()
	w.procs[self.Name] = p
	w.mu.Unlock()
	return p
}

func (w *world) proc(name string) *proc {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.procs[name]
}

func (w *world) live() []*proc {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*proc
	for _, h := range w.entryNames() {
		if p := w.procs[h]; p != nil {
			out = append(out, p)
		}
	}
	return out
}

func (w *world) entryNames() []string {
	var names []string
	for _, dc := range dataCentres {
		for i := range 3 {
			names = append(names, fmt.Sprintf("%s-%d", dc, i+1))
		}
	}
	return names
}

// kill ends a process at once: nothing crosses its border any more.
func (w *world) kill(name string) {
	w.mu.Lock()
	p := w.procs[name]
	delete(w.procs, name)
	w.mu.Unlock()
	if p == nil {
		return
	}
	w.record.Add(events.Event{Kind: killed, Host: name})
	w.end(p)
}

// end stops what is left of a process.
func (w *world) end(p *proc) {
	p.ended.Do(func() {
		p.gate.kill()
		w.net.mu.Lock()
		if b := w.net.bus[p.self.Name]; b != nil && b.gate == p.gate {
			delete(w.net.bus, p.self.Name)
		}
		w.net.mu.Unlock()
		p.cancel()
		p.node.Close()
	})
}

// killed is the kind of event that ends a process at once; left the kind that ends
// it after a graceful shutdown.
const (
	killed events.Kind = "killed"
	left   events.Kind = "left"
)

// leave takes a process through a graceful shutdown and ends it.
func (w *world) leave(p *proc) {
	w.setListed(p.self.Name, hosts.StateLeaving)
	if err := p.node.Leave(p.ctx); err != nil {
		return // It was killed meanwhile.
	}
	w.mu.Lock()
	if w.procs[p.self.Name] == p {
		delete(w.procs, p.self.Name)
		w.record.Add(events.Event{Kind: left, Host: p.self.Name})
	}
	w.mu.Unlock()
	w.end(p)
}

// stop ends every process and waits for all goroutines of the world.
func (w *world) stop() {
	w.wait.Wait()
	for _, p := range w.live() {
		w.kill(p.self.Name)
	}
}

// publish sends a configuration to a host and records its acceptance.
func (w *world) publish(p *proc, author string, base int64, doc bundle.Doc) (apiv1.Published, int) {
	body, _ := json.Marshal(apiv1.Publish{Base: base, Author: author, PublishID: fmt.Sprintf("%s-%d", author, w.publishes.Add(1)), Doc: doc})
	ctx, cancel := context.WithTimeout(p.ctx, 8*time.Second)
	defer cancel()
	rec := httptest.NewRecorder()
	p.admin.ServeHTTP(rec, httptest.NewRequestWithContext(ctx, http.MethodPost, apiv1.PathPublish, bytes.NewReader(body)))
	var out apiv1.Published
	if rec.Code == http.StatusOK {
		_ = json.Unmarshal(rec.Body.Bytes(), &out)
	}
	return out, rec.Code
}

// sendOnce sends one request to a host and returns the outcome, or "" when the
// connection broke.
func (w *world) sendOnce(p *proc, account, pipelineName string, body apiv1.Request) (apiv1.Outcome, apiv1.Answer, apiv1.Problem) {
	data, _ := json.Marshal(body)
	if p.gate.pass() != nil {
		return "", apiv1.Answer{}, apiv1.Problem{}
	}
	ctx, cancel := context.WithTimeout(p.ctx, body.Deadline.Std()+time.Second)
	defer cancel()
	req := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/pipelines/"+pipelineName+"/requests", bytes.NewReader(data))
	req.Header.Set("Authorization", "Bearer secret-"+account)
	rec := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.router.ServeHTTP(rec, req)
	}()
	select {
	case <-done:
	case <-p.gate.killed:
		<-done
		return "", apiv1.Answer{}, apiv1.Problem{}
	case <-ctx.Done():
		<-done
	}
	if p.gate.pass() != nil {
		return "", apiv1.Answer{}, apiv1.Problem{}
	}
	if rec.Code == http.StatusOK {
		var a apiv1.Answer
		_ = json.Unmarshal(rec.Body.Bytes(), &a)
		return apiv1.Answered, a, apiv1.Problem{}
	}
	var problem apiv1.Problem
	_ = json.Unmarshal(rec.Body.Bytes(), &problem)
	return problem.Outcome, apiv1.Answer{}, problem
}

// expected computes the answer of a pipeline from its input alone.
func (w *world) expected(pipelineName, input string) string {
	for _, p := range w.doc.Pipelines {
		if p.Name != pipelineName {
			continue
		}
		for _, s := range p.Stages {
			pool := poolOf(w.doc, s.Pool)
			input = target.Expected(pool.Kind, pool.Name, input)
		}
	}
	return input
}

func (w *world) lines() []events.Event {
	var out []events.Event
	for line := range strings.Lines(w.buffer.String()) {
		var e events.Event
		if err := json.Unmarshal([]byte(line), &e); err != nil {
			panic(err)
		}
		out = append(out, e)
	}
	return out
}

// counter counts outcomes as callers see them.
type counter struct {
	mu sync.Mutex
	n  map[apiv1.Outcome]int
}

func newCounter() *counter { return &counter{n: map[apiv1.Outcome]int{}} }

func (c *counter) add(o apiv1.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n[o]++
}

func (c *counter) sums() map[apiv1.Outcome]int { return c.n }
