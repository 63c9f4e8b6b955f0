package slots_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"chivepost/entry/internal/member"
	"chivepost/entry/internal/slots"
	"chivepost/share/bundle"
	"chivepost/share/hosts"
	"chivepost/share/target"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	latency  = time.Millisecond
	callTime = 200 * time.Millisecond
	// gracePeriod is the time after the first sign of cold in which calls under
	// earlier grants may still start and end: lease, margin and attempt bound.
	gracePeriod = 2*time.Second + 250*time.Millisecond + 5*time.Second
)

var errDisconnected = errors.New("host is disconnected")

// fakeTarget stands in for a target and keeps its past states for load reports that lag.
type fakeTarget struct {
	doc        bundle.TargetDoc
	coldLimit  int
	state      target.State
	boot       string
	running    int
	maxRunning int
	coldSeen   time.Time // when a host first saw the target cold; zero: not yet
	history    []targetState
}

type targetState struct {
	at    time.Time
	state target.State
	boot  string
}

// listVersion is a host list and the time of its publication.
type listVersion struct {
	at   time.Time
	list hosts.List
}

// fleet runs entry hosts and fake targets in one process and injects faults.
type fleet struct {
	mu              sync.Mutex
	bundle          *bundle.Bundle
	targets         map[string]*fakeTarget
	nodes           map[string]*node
	disconnected    map[[2]string]bool
	versions        []listVersion
	listLag         map[string]time.Duration // lag of the host list, by reader
	listDown        bool
	loadLag         time.Duration
	messages        int
	addDelays       bool
	homesStay       bool          // no fault moves a home, so that limits hold at any moment
	gracePeriod     time.Duration // time after the first sign of cold before the cold limit is checked
	violations      []string
	completed       map[string]int
	lastEnd         map[string]time.Time // end of the last call, by host
	longestGap      time.Duration        // longest time between the ends of two calls of a host
	started         int
	lastIncarnation uint64
	wait            sync.WaitGroup
}

// newFleet makes a fleet of n entry hosts in one data centre and one target per
// limit; all targets are warm.
func newFleet(n, coldLimit int, limits ...int) *fleet {
	f := &fleet{
		targets: map[string]*fakeTarget{}, nodes: map[string]*node{}, disconnected: map[[2]string]bool{},
		listLag: map[string]time.Duration{}, completed: map[string]int{}, lastEnd: map[string]time.Time{}, loadLag: 200 * time.Millisecond, gracePeriod: gracePeriod,
	}
	doc := bundle.Doc{}
	for i, limit := range limits {
		pool := fmt.Sprintf("pool%d", i)
		doc.Pools = append(doc.Pools, bundle.PoolDoc{Name: pool, Limit: limit, ColdLimit: min(limit, coldLimit)})
		td := bundle.TargetDoc{Name: fmt.Sprintf("t%d", i), Pool: pool, DataCentre: "kolkata", Region: "east", Address: fmt.Sprintf("t%d:1", i)}
		doc.Targets = append(doc.Targets, td)
		f.targets[td.Address] = &fakeTarget{doc: td, coldLimit: min(limit, coldLimit)}
		f.targets[td.Address].setState(target.StateWarm, "boot0")
	}
	var err error
	f.bundle, err = bundle.New(doc)
	Expect(err).NotTo(HaveOccurred())
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("n%d", i))
	}
	f.setHosts(names...)
	for _, name := range names {
		f.startNode(name)
	}
	return f
}

func host(name string) hosts.Host {
	return hosts.Host{
		Name: name, PeerAddress: name, DataCentre: "kolkata", Region: "east",
		Role: hosts.RoleEntry, State: hosts.StateLive,
	}
}

func (f *fleet) setHosts(names ...string) {
	list := hosts.List{Version: int64(len(f.versions) + 1)}
	for _, name := range names {
		list.Hosts = append(list.Hosts, host(name))
	}
	f.versions = append(f.versions, listVersion{at: time.Now(), list: list})
}

// node is one incarnation of an entry host.
type node struct {
	f           *fleet
	name        string
	incarnation uint64
	member      *member.Controller
	slots       *slots.Controller
	ctx         context.Context
	cancel      context.CancelFunc
	paused      chan struct{}
	dead        bool
}

func (f *fleet) startNode(name string) *node {
	f.lastIncarnation++
	n := &node{f: f, name: name, incarnation: f.lastIncarnation}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.member = member.New(member.Options{Self: host(name), Incarnation: n.incarnation, Seed: n.incarnation},
		n, n, func() member.Heartbeat { return member.Heartbeat{State: member.StateServing} }, logr.Discard())
	n.slots = slots.New(slots.Options{Host: name, DataCentre: "kolkata", Region: "east", Incarnation: n.incarnation},
		n.member, n, n, f.currentBundle, logr.Discard())
	f.locked(func() { f.nodes[name] = n })
	return n
}

// kill stops a node at once; its calls continue at the targets.
func (f *fleet) kill(name string) {
	n := f.nodes[name]
	f.locked(func() { delete(f.nodes, name); n.dead = true })
	n.resume()
	n.cancel()
	n.slots.Close()
	n.member.Close()
}

func (f *fleet) close() {
	for _, name := range f.names() {
		f.kill(name)
	}
	f.wait.Wait()
}

// locked runs do with the lock held.
func (f *fleet) locked(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

// read returns the result of get, which runs with the lock held.
func read[T any](f *fleet, get func() T) T {
	f.mu.Lock()
	defer f.mu.Unlock()
	return get()
}

func (f *fleet) currentBundle() *bundle.Bundle {
	return read(f, func() *bundle.Bundle { return f.bundle })
}

// inFleet runs do on a fleet of warm targets that has been running for age.
func inFleet(n, coldLimit int, limits []int, age time.Duration, do func(f *fleet)) {
	GinkgoHelper()
	inVirtualTime(func() {
		f := newFleet(n, coldLimit, limits...)
		defer f.close()
		time.Sleep(age)
		do(f)
	})
}

func (f *fleet) names() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.nodes))
}

func (n *node) pause() {
	n.f.locked(func() {
		if n.paused == nil {
			n.paused = make(chan struct{})
		}
	})
}

func (n *node) resume() {
	n.f.locked(func() {
		if n.paused != nil {
			close(n.paused)
			n.paused = nil
		}
	})
}
