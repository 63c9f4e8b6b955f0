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

// testEnv is a whole deployment in one process. Its entry hosts are real nodes, joined
// by fakes of the platform, the network and the targets, in the virtual time of a
// synctest bubble.
type testEnv struct {
	partitions       *partitions
	net              *network
	log              *memlog.Service
	list             *hostList
	targetsByAddress map[string]*fakeTarget
	targetsByName    map[string]*fakeTarget
	doc              bundle.Doc

	mu           sync.Mutex
	buffer       bytes.Buffer
	recorder     *events.Recorder
	processes    map[string]*process
	incarnations int
	publishes    atomic.Uint64
	logDelay     atomic.Int64 // added to each call of the log, in nanoseconds
	version      int64
	wg           sync.WaitGroup
}

// process is one process of an entry host.
type process struct {
	self       hosts.Host
	gate       *gate
	node       *Node
	log        *memlog.Client
	caller     http.Handler
	operator   http.Handler
	ctx        context.Context
	cancel     context.CancelFunc
	terminated sync.Once
}

var dataCentres = []string{"thies", "kaolack", "ziguinchor"}

// gatedRecorder blocks on the Sending event while the process is paused. The event is
// recorded before the last checks of a send, so that these must notice what changed
// during the pause.
type gatedRecorder struct {
	gate *gate
	log  *events.Recorder
}

func (r gatedRecorder) Add(e events.Event) {
	if e.Kind == events.Sending && r.gate.wait() != nil {
		return
	}
	select {
	case <-r.gate.killed:
	default:
		r.log.Add(e)
	}
}

func newTestEnv(hostsPerDC int) *testEnv {
	env := &testEnv{
		partitions: &partitions{}, log: memlog.New(), list: &hostList{},
		targetsByAddress: map[string]*fakeTarget{}, targetsByName: map[string]*fakeTarget{}, processes: map[string]*process{},
	}
	env.net = &network{partitions: env.partitions, buses: map[string]*bus{}}
	env.recorder = events.New(&env.buffer)
	env.doc = deploymentDoc()
	var listed []hosts.Host
	for _, t := range env.doc.Targets {
		pool := findPool(env.doc, t.Pool)
		ft := &fakeTarget{doc: t, pool: pool, serviceTime: serviceTimes[t.Pool], state: target.StateWarm}
		ft.recordLoad()
		env.targetsByAddress[t.Address], env.targetsByName[t.Name] = ft, ft
		listed = append(listed, hosts.Host{
			Name: t.Name, Address: t.Address, DataCentre: t.DataCentre, Region: t.Region,
			Role: hosts.RoleTarget, State: hosts.StateLive,
		})
	}
	for _, dc := range dataCentres {
		for i := range hostsPerDC {
			name := fmt.Sprintf("%s-%d", dc, i+1)
			listed = append(listed, hosts.Host{
				Name: name, Address: name + ":1", PeerAddress: name + ":2", DataCentre: dc, Region: dc,
				Role: hosts.RoleEntry, State: hosts.StateLive,
			})
		}
	}
	env.list.update(func([]hosts.Host) []hosts.Host { return listed })
	for _, h := range listed {
		if h.Role == hosts.RoleEntry {
			env.startProcess(h)
		}
	}
	return env
}

var serviceTimes = map[string]time.Duration{
	"encode": 20 * time.Millisecond, "language": 300 * time.Millisecond, "booking": 100 * time.Millisecond,
}

func deploymentDoc() bundle.Doc {
	doc := bundle.Doc{
		Pools: []bundle.PoolDoc{
			{Name: "encode", Kind: bundle.KindStage, Retryable: true, Limit: 16, ColdLimit: 2},
			{Name: "language", Kind: bundle.KindEngine, Retryable: true, Limit: 8, ColdLimit: 1},
			{Name: "booking", Kind: bundle.KindService, Retryable: false, Limit: 8, ColdLimit: 1},
		},
		Pipelines: []bundle.PipelineDoc{
			pipelineDoc("letter", "encode", "language"), pipelineDoc("booking", "encode", "language", "booking"),
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

func pipelineDoc(name string, pools ...string) bundle.PipelineDoc {
	p := bundle.PipelineDoc{Name: name, Deadline: units.Duration(5 * time.Second), Objective: 0.99}
	for _, pool := range pools {
		p.Stages = append(p.Stages, bundle.StageDoc{Name: pool, Pool: pool, Timeout: units.Duration(3 * time.Second)})
	}
	return p
}

func findPool(doc bundle.Doc, name string) bundle.PoolDoc {
	for _, p := range doc.Pools {
		if p.Name == name {
			return p
		}
	}
	return bundle.PoolDoc{}
}

// startProcess starts a process of the host, after it kills an earlier one.
func (env *testEnv) startProcess(self hosts.Host) *process {
	env.kill(self.Name) // Another fault may already have restarted the host.
	env.mu.Lock()
	env.incarnations++
	incarnation := uint64(env.incarnations)
	env.mu.Unlock()
	gate := newGate()
	p := &process{self: self, gate: gate, log: env.log.NewClient()}
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
	recorder := gatedRecorder{gate: gate, log: env.recorder}
	n, err := New(Deps{
		Settings: settings, Incarnation: incarnation, Seed: incarnation, Log: gatedLog{Client: p.log, gate: gate, delay: &env.logDelay},
		HostList: listReader{list: env.list, lag: time.Duration(incarnation%5) * 500 * time.Millisecond, gate: gate},
		Bus:      env.net.join(self, incarnation, gate), Targets: targetClient{env: env, self: self, gate: gate}, Recorder: recorder, Logger: logr.Discard(),
	})
	if err != nil {
		panic(err)
	}
	p.node = n
	p.caller = front.NewCallerHandler(front.Options{Host: self.Name},
		n.Config(), n, n.Drain(), n.Burn(), n.Run).Router()
	p.operator = front.NewOperatorHandler(self.Name, n.Publisher(), n, 1<<20).Router()
	env.mu.Lock()
	env.processes[self.Name] = p
	env.mu.Unlock()
	return p
}

func (env *testEnv) process(name string) *process {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.processes[name]
}

func (env *testEnv) live() []*process {
	env.mu.Lock()
	defer env.mu.Unlock()
	var out []*process
	for _, h := range env.entryNames() {
		if p := env.processes[h]; p != nil {
			out = append(out, p)
		}
	}
	return out
}

func (env *testEnv) entryNames() []string {
	var names []string
	for _, dc := range dataCentres {
		for i := range 3 {
			names = append(names, fmt.Sprintf("%s-%d", dc, i+1))
		}
	}
	return names
}

// kill ends the process of a host at once. It sends and receives nothing afterwards.
func (env *testEnv) kill(name string) {
	env.mu.Lock()
	p := env.processes[name]
	delete(env.processes, name)
	env.mu.Unlock()
	if p == nil {
		return
	}
	env.recorder.Add(events.Event{Kind: kindKilled, Host: name})
	env.terminate(p)
}

// terminate stops the node of a process and removes it from the network.
func (env *testEnv) terminate(p *process) {
	p.terminated.Do(func() {
		p.gate.kill()
		env.net.mu.Lock()
		if b := env.net.buses[p.self.Name]; b != nil && b.gate == p.gate {
			delete(env.net.buses, p.self.Name)
		}
		env.net.mu.Unlock()
		p.cancel()
		p.node.Close()
	})
}

// Kinds of events for the end of a process: at once, or after a graceful shutdown.
const (
	kindKilled events.Kind = "killed"
	kindLeft   events.Kind = "left"
)

// leave shuts a process down gracefully and terminates it.
func (env *testEnv) leave(p *process) {
	env.setHostState(p.self.Name, hosts.StateLeaving)
	if err := p.node.Leave(p.ctx); err != nil {
		return // The process was killed during the shutdown.
	}
	env.mu.Lock()
	if env.processes[p.self.Name] == p {
		delete(env.processes, p.self.Name)
		env.recorder.Add(events.Event{Kind: kindLeft, Host: p.self.Name})
	}
	env.mu.Unlock()
	env.terminate(p)
}

// stopAll waits for the goroutines of the test and ends every process.
func (env *testEnv) stopAll() {
	env.wg.Wait()
	for _, p := range env.live() {
		env.kill(p.self.Name)
	}
}

// publish publishes a configuration at a host and returns the response and its status.
func (env *testEnv) publish(p *process, author string, base int64, doc bundle.Doc) (apiv1.Published, int) {
	body, _ := json.Marshal(apiv1.Publish{Base: base, Author: author, PublishID: fmt.Sprintf("%s-%d", author, env.publishes.Add(1)), Doc: doc})
	ctx, cancel := context.WithTimeout(p.ctx, 8*time.Second)
	defer cancel()
	rec := httptest.NewRecorder()
	p.operator.ServeHTTP(rec, httptest.NewRequestWithContext(ctx, http.MethodPost, apiv1.PathPublish, bytes.NewReader(body)))
	var out apiv1.Published
	if rec.Code == http.StatusOK {
		_ = json.Unmarshal(rec.Body.Bytes(), &out)
	}
	return out, rec.Code
}

// sendOnce sends one request to a host and returns the outcome, or "" if the process
// was killed.
func (env *testEnv) sendOnce(p *process, account, pipelineName string, body apiv1.Request) (apiv1.Outcome, apiv1.Answer, apiv1.Problem) {
	data, _ := json.Marshal(body)
	if p.gate.wait() != nil {
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
		p.caller.ServeHTTP(rec, req)
	}()
	select {
	case <-done:
	case <-p.gate.killed:
		<-done
		return "", apiv1.Answer{}, apiv1.Problem{}
	case <-ctx.Done():
		<-done
	}
	if p.gate.wait() != nil {
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

// expectedOutput computes the output of a pipeline from its input alone.
func (env *testEnv) expectedOutput(pipelineName, input string) string {
	for _, p := range env.doc.Pipelines {
		if p.Name != pipelineName {
			continue
		}
		for _, s := range p.Stages {
			pool := findPool(env.doc, s.Pool)
			input = target.ExpectedOutput(pool.Kind, pool.Name, input)
		}
	}
	return input
}

func (env *testEnv) recordedEvents() []events.Event {
	var out []events.Event
	for line := range strings.Lines(env.buffer.String()) {
		var e events.Event
		if err := json.Unmarshal([]byte(line), &e); err != nil {
			panic(err)
		}
		out = append(out, e)
	}
	return out
}

// outcomeCounter counts the outcomes that callers receive.
type outcomeCounter struct {
	mu     sync.Mutex
	counts map[apiv1.Outcome]int
}

func newOutcomeCounter() *outcomeCounter { return &outcomeCounter{counts: map[apiv1.Outcome]int{}} }

func (c *outcomeCounter) add(o apiv1.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[o]++
}

func (c *outcomeCounter) totals() map[apiv1.Outcome]int { return c.counts }
