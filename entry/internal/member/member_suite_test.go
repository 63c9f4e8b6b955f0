package member_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"chivepost/entry/internal/member"
	"chivepost/share/hosts"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var suite *testing.T

func TestMember(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "member")
}

var errDown = errors.New("down")

// world is a host list and a set of hosts that exchange heartbeats.
type world struct {
	mu           sync.Mutex
	list         hosts.List
	listDown     map[string]bool // readers that can't read the host list
	disconnected map[[2]string]bool
	nodes        map[string]*member.Controller
	sent         map[[2]string]int // heartbeats from one host to another
}

func entry(name, dataCentre, region string) hosts.Host {
	return hosts.Host{Name: name, DataCentre: dataCentre, Region: region, Role: hosts.RoleEntry, State: hosts.StateLive}
}

// inWorld runs f in virtual time with a host of each name in one data centre.
func inWorld(names []string, f func(w *world)) {
	GinkgoHelper()
	synctest.Test(suite, func(*testing.T) {
		defer GinkgoRecover()
		w := &world{listDown: map[string]bool{}, disconnected: map[[2]string]bool{}, nodes: map[string]*member.Controller{}, sent: map[[2]string]int{}}
		for _, name := range names {
			w.list.Hosts = append(w.list.Hosts, entry(name, "thies", "west"))
		}
		w.list.Version = 1
		for i, name := range names {
			w.start(name, uint64(i+1))
		}
		defer func() {
			for _, c := range w.nodes {
				c.Close()
			}
		}()
		time.Sleep(1500 * time.Millisecond)
		f(w)
	})
}

func (w *world) start(name string, incarnation uint64) {
	p := client{w, name}
	c := member.New(member.Options{Self: entry(name, "thies", "west"), Incarnation: incarnation, Seed: 1}, p, p,
		func() member.Heartbeat { return member.Heartbeat{State: member.StateServing} }, logr.Discard())
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[name] = c
}

// change publishes a changed copy of the host list under the next version.
func (w *world) change(f func(l *hosts.List)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := hosts.List{Version: w.list.Version + 1, Hosts: append([]hosts.Host(nil), w.list.Hosts...)}
	f(&l)
	w.list = l
}

func (w *world) setListDown(names ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range names {
		w.listDown[name] = true
	}
}

// disconnect stops heartbeats between two hosts in both directions.
func (w *world) disconnect(a, b string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disconnected[[2]string{a, b}], w.disconnected[[2]string{b, a}] = true, true
}

// client is one host's access to the host list and its peers.
type client struct {
	w    *world
	name string
}

func (p client) Hosts(context.Context) (hosts.List, error) {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	if p.w.listDown[p.name] {
		return hosts.List{}, errDown
	}
	return p.w.list, nil
}

func (p client) SendHeartbeat(_ context.Context, to hosts.Host, b member.Heartbeat) (member.Heartbeat, error) {
	p.w.mu.Lock()
	p.w.sent[[2]string{p.name, to.Name}]++
	peer, disconnected := p.w.nodes[to.Name], p.w.disconnected[[2]string{p.name, to.Name}]
	p.w.mu.Unlock()
	if disconnected || peer == nil {
		return member.Heartbeat{}, errDown
	}
	return peer.HandleHeartbeat(b), nil
}
