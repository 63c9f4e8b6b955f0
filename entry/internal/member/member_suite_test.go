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

// testEnv is a host list and a set of hosts that exchange heartbeats.
type testEnv struct {
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

// inTestEnv runs f in virtual time with a host of each name in one data centre.
func inTestEnv(names []string, f func(env *testEnv)) {
	GinkgoHelper()
	synctest.Test(suite, func(*testing.T) {
		defer GinkgoRecover()
		env := &testEnv{listDown: map[string]bool{}, disconnected: map[[2]string]bool{}, nodes: map[string]*member.Controller{}, sent: map[[2]string]int{}}
		for _, name := range names {
			env.list.Hosts = append(env.list.Hosts, entry(name, "thies", "west"))
		}
		env.list.Version = 1
		for i, name := range names {
			env.start(name, uint64(i+1))
		}
		defer func() {
			for _, c := range env.nodes {
				c.Close()
			}
		}()
		time.Sleep(1500 * time.Millisecond)
		f(env)
	})
}

func (env *testEnv) start(name string, incarnation uint64) {
	p := client{env, name}
	c := member.New(member.Options{Self: entry(name, "thies", "west"), Incarnation: incarnation, Seed: 1}, p, p,
		func() member.Heartbeat { return member.Heartbeat{State: member.StateServing} }, logr.Discard())
	env.mu.Lock()
	defer env.mu.Unlock()
	env.nodes[name] = c
}

// change publishes a changed copy of the host list under the next version.
func (env *testEnv) change(f func(l *hosts.List)) {
	env.mu.Lock()
	defer env.mu.Unlock()
	l := hosts.List{Version: env.list.Version + 1, Hosts: append([]hosts.Host(nil), env.list.Hosts...)}
	f(&l)
	env.list = l
}

func (env *testEnv) setListDown(names ...string) {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, name := range names {
		env.listDown[name] = true
	}
}

// disconnect stops heartbeats between two hosts in both directions.
func (env *testEnv) disconnect(a, b string) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.disconnected[[2]string{a, b}], env.disconnected[[2]string{b, a}] = true, true
}

// client is one host's access to the host list and its peers.
type client struct {
	env  *testEnv
	name string
}

func (p client) Hosts(context.Context) (hosts.List, error) {
	p.env.mu.Lock()
	defer p.env.mu.Unlock()
	if p.env.listDown[p.name] {
		return hosts.List{}, errDown
	}
	return p.env.list, nil
}

func (p client) SendHeartbeat(_ context.Context, to hosts.Host, b member.Heartbeat) (member.Heartbeat, error) {
	p.env.mu.Lock()
	p.env.sent[[2]string{p.name, to.Name}]++
	peer, disconnected := p.env.nodes[to.Name], p.env.disconnected[[2]string{p.name, to.Name}]
	p.env.mu.Unlock()
	if disconnected || peer == nil {
		return member.Heartbeat{}, errDown
	}
	return peer.HandleHeartbeat(b), nil
}
