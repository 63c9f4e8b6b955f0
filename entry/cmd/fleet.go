package cmd

import (
	"context"
	"expvar"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"github.com/gorilla/mux"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"chivepost/entry/internal/batch"
	"chivepost/entry/internal/dialer"
	"chivepost/entry/internal/edge"
	"chivepost/entry/internal/graph"
	"chivepost/entry/internal/lines"
	"chivepost/entry/internal/maker"
	"chivepost/entry/internal/peers"
	"chivepost/entry/internal/pick"
	"chivepost/entry/internal/roster"
	"chivepost/entry/internal/table"
	"chivepost/platform/boot"
	"chivepost/platform/feed"
	"chivepost/platform/store"
	"chivepost/platform/wire"
)

type fleetCmd struct {
	LogLevel    string `default:"info" enum:"debug,info,error" help:"Least level of log lines: ${enum}."`
	MetricsPort int    `default:"9464" help:"Port of the metrics on the host's own address; 0 for none."`
	PeerKey     string `default:"fleet" help:"Secret that the hosts of a deployment share."`
}

const (
	// memoryPart of the host's memory is where the garbage collector works harder.
	memoryPart = 0.6
	// holdFactor is the number of directory lifetimes for which callers may still
	// come to a host that leaves.
	holdFactor = 3
	// directoryTTL is the lifetime of an answer of the directory.
	directoryTTL = 2 * time.Second
	// holdPart bounds the hold by a part of the time until the process is killed.
	holdPart = 0.55
	// stopMargin is kept free before the process is killed.
	stopMargin = 500 * time.Millisecond
	// linesFirst and linesEach bound log lines of one kind in a second: the first ones
	// are all written, then one in so many.
	linesFirst = 400
	linesEach  = 25
	// maxHead bounds the head of a request.
	maxHead = 64 << 10
	// headTime bounds the time that a caller takes for a head.
	headTime = 10 * time.Second
	// idleTime closes callers' connections that nobody uses.
	idleTime = 90 * time.Second
)

// Run serves on the platform until SIGTERM has taken the host through its shutdown.
func (c *fleetCmd) Run() error {
	settings, err := boot.Load()
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	debug.SetMemoryLimit(int64(memoryPart * float64(settings.MemoryBytes)))
	out := lines.New(os.Stdout)
	defer out.Close()
	log := newFleetLogger(c.LogLevel, out).WithValues("host", settings.HostName)
	app := fx.New(
		fx.Supply(settings, c),
		fx.Provide(
			func() logr.Logger { return log },
			newStore, newBus, newRoster, newTables, newStages, newFront, newFleetServers,
			newBook,
			newFleetState, dialer.New,
		),
		fx.Invoke(func(*fleetServers) {}),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTime), fx.StopTimeout(settings.GracePeriod),
	)
	if err := app.Err(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTime)
	defer cancel()
	if err := app.Start(ctx); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	for s := range signals {
		if s != syscall.SIGHUP {
			break
		}
		_, err := boot.Load()
		log.Info("settings read again", "err", fmt.Sprint(err))
	}
	stop, cancelStop := context.WithTimeout(context.Background(), settings.GracePeriod-stopMargin)
	defer cancelStop()
	return app.Stop(stop)
}

func newFleetLogger(level string, out *lines.Writer) logr.Logger {
	at := map[string]zapcore.Level{"debug": zap.DebugLevel, "info": zap.InfoLevel, "error": zap.ErrorLevel}[level]
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(enc), out, at)
	return zapr.NewLogger(zap.New(zapcore.NewSamplerWithOptions(core, time.Second, linesFirst, linesEach)))
}

// fleetState ties together what is made one after the other: the roster tells the
// tables' offset, and the tables ask the roster for peers.
type fleetState struct {
	roster *roster.Controller
	tables *table.Controller
	front  *edge.Handler
}

func newFleetState() *fleetState { return &fleetState{} }

// Count and Rank implement pick.Hosts.
func (f *fleetState) Count() int { return f.roster.HostCount() }

// Rank returns the place of this host for a key.
func (f *fleetState) Rank(key string) int { return f.roster.Rank(key) }

func (f *fleetState) offset() int64 {
	if f.tables == nil {
		return -1
	}
	return f.tables.OperatorOffset()
}

func (f *fleetState) active() int {
	if f.front == nil {
		return 0
	}
	return f.front.Active()
}

// netDialer opens connections to the store and to peers.
func netDialer() *net.Dialer {
	return &net.Dialer{Timeout: time.Second, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}}
}

func newStore(s boot.Settings) *store.Client {
	return store.New(s.StoreAddress, &http.Client{Transport: &http.Transport{
		DialContext: netDialer().DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: 20 * time.Second, DisableCompression: true,
	}})
}

func newBus(s boot.Settings, c *fleetCmd, log logr.Logger) *peers.Transport {
	return peers.New(peers.Options{
		Host: s.HostName, Incarnation: uint64(time.Now().UnixNano()), Key: c.PeerKey, MaxHandlers: 1024, RatePerSecond: 5000,
		Client: &http.Client{Transport: &http.Transport{DialContext: netDialer().DialContext}},
	}, log.WithName("peers"))
}

func newRoster(s boot.Settings, f *fleetState, client *store.Client, log logr.Logger) (*roster.Controller, error) {
	gossip := net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort))
	var seeds []string
	for _, seed := range s.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil && host != s.IP {
			seeds = append(seeds, net.JoinHostPort(host, strconv.Itoa(s.FirstPort)))
		}
	}
	self := roster.Host{
		Name: s.HostName, Address: s.CallerAddress, PeerAddress: s.PeerAddress, GossipAddress: gossip,
		DataCentre: s.DataCentre, Region: s.Region, Incarnation: time.Now().UnixMilli(),
		MilliCPU: int(1000 * s.Cores),
	}
	r, err := roster.New(roster.Options{Self: self, Seeds: seeds}, feed.Hosts(client),
		func(ctx context.Context, value []byte) error { return feed.PutHost(ctx, client, s.HostName, value) },
		f.offset, f.active, log.WithName("roster"))
	f.roster = r
	return r, err
}

// Kinds of messages between hosts.
const (
	kindTable = "table"
	kindSync  = "table_sync"
)

// peerTables asks peers for their tables.
type peerTables struct {
	roster *roster.Controller
	bus    *peers.Transport
}

// peerTime bounds the fetching of a table.
const peerTime = time.Second

// NewestOffset returns the highest operators' offset that a peer has told.
func (p peerTables) NewestOffset() int64 {
	out := int64(-1)
	for _, h := range p.roster.Alive() {
		out = max(out, h.Offset)
	}
	return out
}

// Fetch returns the table of a peer that knows at least as much.
func (p peerTables) Fetch(ctx context.Context, offset, version int64) (table.Snapshot, bool) {
	var fit []roster.Peer
	for _, h := range p.roster.Alive() {
		if h.Offset >= offset && !h.IsAvoided {
			fit = append(fit, h)
		}
	}
	if len(fit) == 0 {
		return table.Snapshot{}, false
	}
	h := fit[rand.IntN(len(fit))]
	ctx, cancel := context.WithTimeout(ctx, peerTime)
	defer cancel()
	var out table.Snapshot
	if err := p.bus.Call(ctx, graph.PeerHost(h.Host), kindTable, table.SnapshotRequest{Version: version}, &out); err != nil {
		p.roster.Avoid(h.Name)
		return table.Snapshot{}, false
	}
	return out, true
}

// Sync asks the peer that reads the store for this host.
func (p peerTables) Sync(ctx context.Context, ask table.SnapshotRequest) (table.Snapshot, bool) {
	h, ok := p.roster.StoreReader()
	if !ok {
		return table.Snapshot{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, syncTime)
	defer cancel()
	var out table.Snapshot
	if err := p.bus.Call(ctx, graph.PeerHost(h), kindSync, ask, &out); err != nil {
		p.roster.Avoid(h.Name)
		return table.Snapshot{}, false
	}
	return out, true
}

// syncTime bounds a call to a peer that keeps the caller waiting for a second.
const syncTime = 1500 * time.Millisecond

func newTables(f *fleetState, r *roster.Controller, bus *peers.Transport, client *store.Client, log logr.Logger) *table.Controller {
	t := table.New(feed.Operator(client), feed.Targets(client), peerTables{roster: r, bus: bus}, log.WithName("table"))
	bus.Handle(kindTable, func(_ context.Context, _ string, _ uint64, body []byte) (any, error) {
		var ask table.SnapshotRequest
		if err := peers.Decode(body, &ask); err != nil {
			return nil, err
		}
		return t.Snapshot(ask), nil
	})
	bus.Handle(kindSync, func(ctx context.Context, _ string, _ uint64, body []byte) (any, error) {
		var ask table.SnapshotRequest
		if err := peers.Decode(body, &ask); err != nil {
			return nil, err
		}
		return t.AwaitSnapshot(ctx, ask), nil
	})
	f.tables = t
	return t
}

func newBook(f *fleetState, s boot.Settings) *pick.Balancer {
	return pick.New(pick.Options{
		DataCentre: s.DataCentre, Region: s.Region, Regions: s.DataCentres,
		RetryRatio: s.RetryRatio, RetryExtra: s.RetryExtra, RetryWindow: s.RetryWindow,
	}, f)
}

type stageParts struct {
	fx.Out
	Home   *batch.Home
	Runner *graph.Runner
}

func newStages(s boot.Settings, r *roster.Controller, t *table.Controller, bus *peers.Transport, d *dialer.Pool, log logr.Logger) stageParts {
	stock := maker.NewCatalog(t, s.DataCentres)
	home := batch.New(maker.New(d), stock, log.WithName("batch"))
	graph.RegisterHandlers(bus, home)
	runner := graph.New(s.HostName, s.Region, r, bus, home, stock)
	home.SetReporter(runner.SendReport)
	return stageParts{Home: home, Runner: runner}
}

func newFront(s boot.Settings, f *fleetState, t *table.Controller, runner *graph.Runner, book *pick.Balancer, d *dialer.Pool, log logr.Logger) *edge.Handler {
	f.front = edge.New(edge.Options{DataCentre: s.DataCentre, Region: s.Region}, t, runner, book, d, log.WithName("edge"))
	return f.front
}

// fleetServers are the listeners of a host on the platform.
type fleetServers struct {
	front, ready, peers, directory, metrics *http.Server
	settings                                boot.Settings
	log                                     logr.Logger
}

func newFleetServers(s boot.Settings, c *fleetCmd, front *edge.Handler, r *roster.Controller, t *table.Controller, bus *peers.Transport,
	home *batch.Home, d *dialer.Pool, log logr.Logger, lc fx.Lifecycle,
) *fleetServers {
	isReady := func() bool {
		v := t.View()
		return v.Config != nil && v.TargetsLoaded && !r.IsLeaving()
	}
	router := func(path string, h http.Handler) *mux.Router {
		m := mux.NewRouter()
		m.Handle(path, h).Methods(http.MethodGet)
		return m
	}
	server := func(h http.Handler) *http.Server {
		return &http.Server{Handler: h, ReadHeaderTimeout: headTime, IdleTimeout: idleTime, MaxHeaderBytes: maxHead}
	}
	v := &fleetServers{
		front: server(front),
		ready: server(router(wire.PathReady, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if !isReady() {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}))),
		peers:     server(bus),
		directory: server(router(wire.PathResolve, edge.NewDirectory(r, t, front.Active, isReady, s.MaxTTL))),
		metrics:   server(router("/debug/vars", expvar.Handler())),
		settings:  s, log: log,
	}
	v.front.ConnContext = edge.ConnContext
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return v.start(c.MetricsPort) },
		OnStop: func(ctx context.Context) error {
			log.Info("stopping", "active", front.Active())
			r.AnnounceLeave()
			front.DisableKeepAlives()
			hold := min(holdFactor*directoryTTL, time.Duration(holdPart*float64(s.GracePeriod)))
			select {
			case <-time.After(hold):
			case <-ctx.Done():
			}
			err := v.front.Shutdown(ctx)
			log.Info("stopped", "active", front.Active(), "err", fmt.Sprint(err))
			r.Close()
			t.Close()
			home.Close()
			d.Close()
			return nil
		},
	})
	return v
}

func (v *fleetServers) start(metricsPort int) error {
	type pair struct {
		server   *http.Server
		address  string
		required bool
	}
	pairs := []pair{
		{v.front, v.settings.CallerAddress, true},
		{v.ready, v.settings.ReadinessAddress, true},
		{v.peers, v.settings.PeerAddress, true},
		{v.directory, v.settings.DirectoryAddress, true},
	}
	if metricsPort != 0 {
		pairs = append(pairs, pair{v.metrics, net.JoinHostPort(v.settings.IP, strconv.Itoa(metricsPort)), false})
	}
	for _, p := range pairs {
		l, err := net.Listen("tcp", p.address)
		if err != nil {
			if p.required {
				return err
			}
			v.log.Error(err, "no metrics", "address", p.address)
			continue
		}
		if p.server == v.front {
			l = edge.WrapListener(l)
		}
		go func() {
			if err := p.server.Serve(l); err != nil && err != http.ErrServerClosed {
				v.log.Error(err, "listener failed", "address", p.address)
			}
		}()
	}
	v.log.Info("started", "front", v.settings.CallerAddress, "peers", v.settings.PeerAddress, "directory", v.settings.DirectoryAddress,
		"data_centre", v.settings.DataCentre, "region", v.settings.Region, "store", v.settings.StoreAddress)
	return nil
}
