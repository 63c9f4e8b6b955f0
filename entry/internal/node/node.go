// Package node builds an entry host from its controllers and its filter chain. It
// reaches everything outside through interfaces, so that many hosts can run in one
// process.
package node

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"chivepost/entry/internal/admit"
	"chivepost/entry/internal/chain"
	"chivepost/entry/internal/claims"
	"chivepost/entry/internal/conf"
	"chivepost/entry/internal/config"
	"chivepost/entry/internal/ctrl"
	"chivepost/entry/internal/drain"
	"chivepost/entry/internal/front"
	"chivepost/entry/internal/member"
	"chivepost/entry/internal/pipe"
	"chivepost/entry/internal/queue"
	"chivepost/entry/internal/retry"
	"chivepost/entry/internal/route"
	"chivepost/entry/internal/slots"
	"chivepost/entry/internal/stage"
	"chivepost/share/bundle"
	"chivepost/share/burn"
	"chivepost/share/events"
	"chivepost/share/hosts"
	"chivepost/share/logsvc"
	"chivepost/share/target"
)

// maxLogAge is the age of the last read above which the log counts as down. A read
// waits up to 1 s for new records, so the age stays below that plus the time of a call
// while the log is healthy.
const maxLogAge = 2 * time.Second

// Log is the platform's log service.
type Log interface {
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (logsvc.Page, error)
}

// Lister reads the platform's host list.
type Lister interface {
	Hosts(ctx context.Context) (hosts.List, error)
}

// Bus carries messages between entry hosts.
type Bus interface {
	Call(ctx context.Context, to hosts.Host, kind string, body, reply any) error
	Handle(kind string, h func(ctx context.Context, from string, incarnation uint64, body []byte) (any, error))
}

// Deps holds the settings of a node and everything outside that it uses.
type Deps struct {
	Settings    conf.Settings
	Incarnation uint64
	Seed        uint64
	Log         Log
	HostList    Lister
	Bus         Bus
	Targets     target.Caller
	Recorder    stage.Recorder
	Logger      logr.Logger
}

// Node is one entry host.
type Node struct {
	deps Deps
	self hosts.Host

	drain     *drain.Controller
	members   *member.Controller
	config    *config.Controller
	claims    *claims.Controller
	slots     *slots.Controller
	queue     *queue.Queue
	estimator *admit.Estimator
	burn      *burn.Counter
	run       chain.Next

	// controllers are in order of creation and are closed in reverse.
	controllers []ctrl.Controller
	ctx         context.Context
	cancel      context.CancelFunc
	done        chan struct{}
}

// New builds and starts a node. It takes requests once it has a configuration.
func New(deps Deps) (*Node, error) {
	s := deps.Settings
	n := &Node{deps: deps, self: s.Host.Self(), burn: burn.New(time.Now), done: make(chan struct{})}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	log := deps.Logger.WithValues("host", s.Host.Name)

	n.drain = drain.New(drain.Options{Hold: s.Timing.Hold, Spread: s.Timing.Spread}, log.WithName("drain"))
	n.members = member.New(member.Options{
		Self: n.self, Incarnation: deps.Incarnation, ListLag: s.Timing.ListLag, MaxViewAge: s.Timing.MaxViewAge,
		PollInterval: s.Timing.PollInterval, HeartbeatInterval: s.Timing.HeartbeatInterval, Seed: deps.Seed,
	}, deps.HostList, heartbeatSender{deps.Bus}, n.heartbeat, log.WithName("member"))
	n.config = config.New(config.Options{
		Host: s.Host.Name, MaxAge: s.Timing.MaxConfigAge, Retention: s.Timing.Retention, Seed: deps.Seed,
	}, deps.Log, configPuller{bus: deps.Bus, members: n.members}, n.members, log)
	n.claims = claims.New(claims.Options{Host: s.Host.Name, Incarnation: deps.Incarnation}, deps.Log, log)
	n.slots = slots.New(slots.Options{
		Host: s.Host.Name, DataCentre: s.Host.DataCentre, Region: s.Host.Region, Incarnation: deps.Incarnation,
		Lease: s.Timing.Lease, Margin: s.Timing.Margin, AttemptBound: s.Timing.AttemptBound,
		ListLag: s.Timing.ListLag, MaxViewAge: s.Timing.MaxViewAge,
	}, n.members, slotPeers{bus: deps.Bus, members: n.members}, deps.Targets, n.currentConfig, log.WithName("slots"))
	n.controllers = []ctrl.Controller{n.drain, n.members, n.config, n.claims, n.slots}

	if err := n.buildChain(log); err != nil {
		n.closeControllers()
		return nil, err
	}
	n.members.OnHeartbeat(n.observeHeartbeat)
	n.registerHandlers()
	go func() {
		defer close(n.done)
		n.serveOnceConfigured()
		n.recordVersions()
	}()
	return n, nil
}

// buildChain builds the filter chain. A request passes the filters in the listed order.
func (n *Node) buildChain(log logr.Logger) error {
	s := n.deps.Settings
	policy, err := route.New(s.Routing.Policy, route.Options{})
	if err != nil {
		return err
	}
	baseline := s.Routing.Policy != route.Chivepost
	n.estimator = admit.NewEstimator()
	n.queue = queue.New(queue.Options{
		DataCentre: s.Host.DataCentre, Region: s.Host.Region, MaxPool: s.Limits.MaxQueue, FIFO: baseline,
	}, queueSlots{n.slots}, policy, log)
	budgets := retry.New(retry.Options{})
	attempts := stage.New(s.Host.Name, n.queue, n.deps.Targets, n.estimator, budgets, n.deps.Recorder)
	runner := pipe.New(attempts, n.estimator, n.claims, budgets)
	filters := []chain.Filter{
		front.NewReadyFilter(n.drain, n.config, n.config, n),
		front.NewRecordFilter(s.Host.Name, s.Host.DataCentre, n.deps.Recorder),
		front.NewDeadlineFilter(),
		front.NewConflictFilter(),
		front.NewLogFilter(n.config.LogAge, maxLogAge),
	}
	if s.Routing.Admission && !baseline {
		filters = append(filters, admit.NewFilter(admit.Options{}, n.estimator, n.queue, log))
	}
	n.run = chain.New(filters, runner.Run)
	return nil
}

// serveOnceConfigured sets the node to serving once there is a configuration.
func (n *Node) serveOnceConfigured() {
	for {
		changed := n.config.Changed()
		if b, _ := n.config.Current(); b != nil {
			n.drain.SetServing()
			return
		}
		select {
		case <-changed:
		case <-n.ctx.Done():
			return
		}
	}
}

// recordVersions records an event for each configuration version that comes into
// force on this host.
func (n *Node) recordVersions() {
	for last := int64(0); ; {
		changed := n.config.Changed()
		if _, version := n.config.Current(); version != last {
			last = version
			n.deps.Recorder.Add(events.Event{
				Kind: events.ConfigApplied, Host: n.self.Name, DataCentre: n.self.DataCentre, Version: version,
			})
		}
		select {
		case <-changed:
		case <-n.ctx.Done():
			return
		}
	}
}

// Run passes a request through the filter chain and returns its outcome.
func (n *Node) Run(ctx context.Context, req *chain.Request) chain.Outcome { return n.run(ctx, req) }

// Config returns the configuration controller.
func (n *Node) Config() *config.Controller { return n.config }

// Burn returns the counter of good and bad outcomes.
func (n *Node) Burn() *burn.Counter { return n.burn }

// Drain returns the controller of this node's own state, such as starting or leaving.
func (n *Node) Drain() *drain.Controller { return n.drain }

// Leave shuts the node down gracefully. It returns when no request is in flight or ctx
// ends, and Close must be called after it.
func (n *Node) Leave(ctx context.Context) error {
	n.members.SetLeaving()
	n.slots.Leave(ctx)
	return n.drain.Leave(ctx)
}

// Close stops the node without waiting for requests.
func (n *Node) Close() {
	n.cancel()
	n.queue.Close()
	n.closeControllers()
	<-n.done
}

func (n *Node) closeControllers() {
	for i := len(n.controllers) - 1; i >= 0; i-- {
		n.controllers[i].Close()
	}
}

func (n *Node) currentConfig() *bundle.Bundle {
	if n.config == nil {
		return nil
	}
	b, _ := n.config.Current()
	return b
}
