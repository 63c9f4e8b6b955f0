package cmd

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"chivepost/entry/internal/conf"
	"chivepost/entry/internal/drain"
	"chivepost/entry/internal/front"
	"chivepost/entry/internal/hedge"
	"chivepost/entry/internal/kernel"
	"chivepost/entry/internal/memory"
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

// Run serves until SIGTERM or SIGINT and then shuts the host down gracefully. It ignores
// further signals, so that the shutdown interrupts no request. On SIGHUP it reads the
// settings again, only to log whether they are valid.
func (c *serveCmd) Run() error {
	settings, _, err := conf.Load(c.File)
	if err != nil {
		return err
	}
	// Register first, so that a signal during the start also leads to a graceful shutdown.
	signals := notifySignals()
	var log logr.Logger
	app := fx.New(
		fx.Supply(settings),
		fx.Provide(newLogger, newIncarnation, newRecorder, newTransport, newTargets, newNode, newServers),
		fx.Invoke(func(*servers) {}), fx.Populate(&log),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout), fx.StopTimeout(settings.Timing.Grace),
	)
	if err := app.Err(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := app.Start(ctx); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	stopAt := signals.awaitStop(func() {
		_, _, err := conf.Load(c.File)
		log.Info("settings read again", "err", fmt.Sprint(err))
	})
	stop, cancelStop := context.WithDeadline(context.Background(), drain.End(stopAt, settings.Timing.Grace))
	defer cancelStop()
	return app.Stop(stop)
}

// startTimeout limits the start hooks.
const startTimeout = 10 * time.Second

// newTransport returns the transport for messages between entry hosts.
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

// incarnation distinguishes the processes of one host; 0 means none. A later process on
// the same machine has a higher one, so that peers accept it at once. If it runs on
// another machine under the same name, they accept it once the earlier one is silent.
type incarnation uint64

func newIncarnation() incarnation { return incarnation(time.Now().UnixNano()) }

func newTargets(s conf.Settings) target.Caller {
	dialer := net.Dialer{Timeout: time.Second, Control: platformBuffers.Control}
	return target.New(target.Options{DataCentre: s.Host.DataCentre, Dial: dialer.DialContext})
}

// newRecorder opens the event record. It returns nil if the settings name no file for it.
func newRecorder(s conf.Settings, lc fx.Lifecycle) (*events.Recorder, error) {
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

// framesPerPage is the number of largest messages that a page of the log may be as long as:
// it holds up to 4 configurations in base64.
const framesPerPage = 8

// newPlatformClient returns the HTTP client for a service of the platform.
func newPlatformClient(maxResponseBytes int64) *http.Client {
	return &http.Client{Transport: hedge.New(hedge.Options{
		MaxResponseBytes: maxResponseBytes,
		NewPool: func() *http.Transport {
			return &http.Transport{
				DialContext:         (&net.Dialer{Control: platformBuffers.Control}).DialContext,
				MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxHeaderBytes,
			}
		},
	})}
}

func newNode(s conf.Settings, inc incarnation, bus *peers.Transport, targets target.Caller, recorder *events.Recorder,
	log logr.Logger,
) (*node.Node, error) {
	maxPage := max(logsvc.DefaultMaxPageBytes, framesPerPage*int64(s.Limits.MaxFrame))
	return node.New(node.Deps{
		Settings: s, Incarnation: uint64(inc), Seed: rand.Uint64(),
		Log:      logsvc.New(s.Platform.LogURL, newPlatformClient(maxPage), logsvc.WithDataCentre(s.Host.DataCentre), logsvc.WithMaxPageBytes(maxPage)),
		HostList: hosts.New(s.Platform.HostsURL, newPlatformClient(logsvc.DefaultMaxPageBytes), hosts.WithDataCentre(s.Host.DataCentre)),
		Bus:      bus, Targets: targets, Recorder: recorder, Logger: log,
	})
}

// servers holds the HTTP servers of an entry host.
type servers struct {
	callers, operators, peers *drain.Server
}

func newServers(s conf.Settings, n *node.Node, bus *peers.Transport, log logr.Logger,
	lc fx.Lifecycle,
) (*servers, error) {
	caller := front.NewCallerHandler(front.Options{
		Host: s.Host.Name, MaxBody: int64(s.Limits.MaxBody), Memory: memory.New(int64(s.Limits.BodyMemory)),
	}, n.Config(), n, n.Drain(), n.Burn(), n.Run)
	operator := front.NewOperatorHandler(s.Host.Name, n.Publisher(), n, int64(s.Limits.MaxFrame))
	srv := &servers{
		callers:   newServer(s, caller.Router()),
		peers:     newServer(s, bus),
		operators: newServer(s, operator.Router()),
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return srv.start(s, log) },
		OnStop: func(ctx context.Context) error {
			srv.callers.Leave()
			leaveErr := n.Leave(ctx)
			err := srv.stop(ctx)
			n.Close()
			bus.Close()
			log.Info("stopped")
			return errors.Join(leaveErr, err)
		},
	})
	return srv, nil
}

// newServer returns a server with the limits of the settings. Requests to pipelines and connections
// of peers set write deadlines of their own.
func newServer(s conf.Settings, h http.Handler) *drain.Server {
	out := drain.NewServer(&http.Server{
		Handler:           h,
		ReadHeaderTimeout: s.Limits.ReadTimeout,
		ReadTimeout:       s.Limits.ReadTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       s.Limits.IdleTimeout,
		MaxHeaderBytes:    int(s.Limits.MaxHeader),
	})
	out.SetLimits(drain.Limits{MaxConns: s.Limits.MaxConnections})
	return out
}

// start opens all listeners before it serves any, so that a port in use is reported
// before a caller connects.
func (srv *servers) start(s conf.Settings, log logr.Logger) error {
	type endpoint struct {
		server  interface{ Serve(l net.Listener) error }
		address string
		buffers kernel.Buffers
	}
	endpoints := []endpoint{
		{srv.callers, s.Host.Address, callerBuffers},
		{srv.peers, s.Host.PeerAddress, platformBuffers},
		{srv.operators, s.Host.OperatorAddress, platformBuffers},
	}
	var listeners []net.Listener
	for _, e := range endpoints {
		l, err := e.buffers.Listen(e.address, maxBacklog)
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return err
		}
		listeners = append(listeners, l)
	}
	for i, e := range endpoints {
		go func() {
			if err := e.server.Serve(listeners[i]); err != nil && !errors.Is(err, http.ErrServerClosed) {
				log.Error(err, "listener failed", "address", e.address)
			}
		}()
	}
	log.Info("listening", "callers", s.Host.Address, "peers", s.Host.PeerAddress, "operators", s.Host.OperatorAddress)
	return nil
}

// stop shuts down the server for callers first and the one for peers last, since
// requests in flight may still need slots.
func (srv *servers) stop(ctx context.Context) error {
	err := srv.callers.Shutdown(ctx)
	return errors.Join(err, srv.operators.Shutdown(ctx), srv.peers.Close())
}
