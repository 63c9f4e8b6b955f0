package cmd

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"golang.org/x/net/netutil"

	"chivepost/entry/internal/conf"
	"chivepost/entry/internal/front"
	"chivepost/entry/internal/node"
	"chivepost/entry/internal/peers"
	"chivepost/share/events"
	"chivepost/share/hosts"
	"chivepost/share/logsvc"
	"chivepost/share/target"
)

type serveCmd struct {
	File string `arg:"" type:"existingfile" help:"Settings file."`
}

// Run serves until SIGTERM or SIGINT has taken the host through its shutdown.
// Further signals change nothing: a shutdown cuts off no request.
func (c *serveCmd) Run() error {
	settings, _, err := conf.Load(c.File)
	if err != nil {
		return err
	}
	// Before the start, so that a signal during it leads to a graceful shutdown too.
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	app := fx.New(
		fx.Supply(settings),
		fx.Provide(newLogger, newIncarnation, newRecord, newTransport, newTargets, newNode, newServers),
		fx.Invoke(func(*servers) {}),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTime), fx.StopTimeout(stopTime),
	)
	if err := app.Err(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTime)
	defer cancel()
	if err := app.Start(ctx); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	<-signals
	stop, cancelStop := context.WithTimeout(context.Background(), stopTime)
	defer cancelStop()
	return app.Stop(stop)
}

// startTime and stopTime bound the hooks. stopTime covers the hold of addresses
// and the longest deadline of a pipeline.
const (
	startTime = 10 * time.Second
	stopTime  = 10 * time.Minute
)

// newTransport makes the transport between entry hosts.
func newTransport(s conf.Settings, log logr.Logger, inc incarnation) (*peers.Transport, error) {
	key, err := s.Peers.Secret()
	if err != nil {
		return nil, err
	}
	return peers.New(peers.Options{
		Host: s.Host.Name, Incarnation: uint64(inc), Key: key,
		MaxFrame: int64(s.Limits.MaxFrame), RatePerSecond: s.Limits.PeerRate,
	}, log.WithName("peers")), nil
}

// incarnation tells processes of one host apart; 0 stands for none. A later process
// of the same machine gets a higher one, so that peers hear it at once; on another
// machine under the same name they hear it when the earlier one is silent.
type incarnation uint64

func newIncarnation() incarnation { return incarnation(time.Now().UnixNano()) }

func newTargets(s conf.Settings) target.Caller {
	return target.New(target.Options{DataCentre: s.Host.DataCentre})
}

// newRecord opens the event record, or returns nil when none is wanted.
func newRecord(s conf.Settings, lc fx.Lifecycle) (*events.Log, error) {
	if s.Output.Events == "" {
		return nil, nil
	}
	f, err := os.OpenFile(s.Output.Events, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open event record: %w", err)
	}
	lc.Append(fx.StopHook(f.Close))
	return events.New(f), nil
}

func newNode(s conf.Settings, inc incarnation, bus *peers.Transport, targets target.Caller, record *events.Log,
	log logr.Logger,
) (*node.Node, error) {
	platform := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}}
	return node.New(node.Deps{
		Settings: s, Incarnation: uint64(inc), Seed: rand.Uint64(),
		Log:      logsvc.New(s.Platform.LogURL, platform, logsvc.WithDataCentre(s.Host.DataCentre)),
		HostList: hosts.New(s.Platform.HostsURL, platform, hosts.WithDataCentre(s.Host.DataCentre)),
		Bus:      bus, Targets: targets, Recorder: record, Logger: log,
	})
}

// servers are the listeners of an entry host.
type servers struct {
	callers, peers, operators *http.Server
}

func newServers(s conf.Settings, n *node.Node, bus *peers.Transport, log logr.Logger,
	lc fx.Lifecycle,
) (*servers, error) {
	caller := front.NewCallerHandler(front.Options{
		Host: s.Host.Name, MaxBody: int64(s.Limits.MaxBody),
	}, n.Config(), n, n.Drain(), n.Burn(), n.Run)
	operator := front.NewOperatorHandler(s.Host.Name, n.Publisher(), n, int64(s.Limits.MaxFrame))
	out := &servers{
		callers:   newServer(s, caller.Router()),
		peers:     newServer(s, bus),
		operators: newServer(s, operator.Router()),
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return out.start(s, log) },
		OnStop: func(ctx context.Context) error {
			leaveErr := n.Leave(ctx)
			err := out.stop(ctx)
			n.Close()
			bus.Close()
			log.Info("stopped")
			return errors.Join(leaveErr, err)
		},
	})
	return out, nil
}

func newServer(s conf.Settings, h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: s.Limits.ReadTimeout,
		ReadTimeout:       s.Limits.ReadTimeout,
		IdleTimeout:       s.Limits.IdleTimeout,
		MaxHeaderBytes:    int(s.Limits.MaxHeader),
	}
}

// start opens every listener before any is served, so that a port in use is
// reported before a caller is connected.
func (v *servers) start(s conf.Settings, log logr.Logger) error {
	type pair struct {
		server  *http.Server
		address string
		limit   int
	}
	pairs := []pair{
		{v.callers, s.Host.Address, s.Limits.MaxConnections},
		{v.peers, s.Host.PeerAddress, s.Limits.MaxConnections},
		{v.operators, s.Host.OperatorAddress, s.Limits.MaxConnections},
	}
	var listeners []net.Listener
	for _, p := range pairs {
		l, err := net.Listen("tcp", p.address)
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return err
		}
		listeners = append(listeners, netutil.LimitListener(l, p.limit))
	}
	for i, p := range pairs {
		go func() {
			if err := p.server.Serve(listeners[i]); err != nil && !errors.Is(err, http.ErrServerClosed) {
				log.Error(err, "listener failed", "address", p.address)
			}
		}()
	}
	log.Info("listening", "callers", s.Host.Address, "peers", s.Host.PeerAddress, "operators", s.Host.OperatorAddress)
	return nil
}

// stop closes the callers' listener first; peers are served until the end, since
// requests in flight may still need slots.
func (v *servers) stop(ctx context.Context) error {
	err := v.callers.Shutdown(ctx)
	return errors.Join(err, v.operators.Shutdown(ctx), v.peers.Close())
}
