package cmd

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"github.com/gorilla/mux"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"chivepost/entry/internal/active"
	"chivepost/entry/internal/batch"
	"chivepost/entry/internal/blame"
	"chivepost/entry/internal/canary"
	"chivepost/entry/internal/dialer"
	"chivepost/entry/internal/drain"
	"chivepost/entry/internal/edge"
	"chivepost/entry/internal/graph"
	"chivepost/entry/internal/hedge"
	"chivepost/entry/internal/kernel"
	"chivepost/entry/internal/lines"
	"chivepost/entry/internal/loads"
	"chivepost/entry/internal/maker"
	"chivepost/entry/internal/memory"
	"chivepost/entry/internal/notice"
	"chivepost/entry/internal/peers"
	"chivepost/entry/internal/pick"
	"chivepost/entry/internal/roster"
	"chivepost/entry/internal/table"
	"chivepost/platform/boot"
	"chivepost/platform/feed"
	"chivepost/platform/store"
	"chivepost/platform/wire"
	"chivepost/share/apiv1"
	"chivepost/share/fleet"
)

type fleetCmd struct {
	LogLevel    string `default:"info" enum:"debug,info,error" help:"Least level of log lines: ${enum}."`
	MetricsPort int    `default:"9464" help:"Port of the metrics on the host's own address; 0 for none."`
	PeerKey     string `default:"fleet" help:"Secret that the hosts of a deployment share."`

	stopAt time.Time // when the process was told to stop
}

const (
	// idleBytes is what a host needs when no client is there: 18 MB were measured, and the
	// tables of 370 hosts and 1,300 targets add to them.
	idleBytes = 24 << 20
	// accountRatio is the part of the rest that clients may hold. The rest of that is the
	// garbage collector's headroom, copies of bodies that grow, and connections.
	accountRatio = 0.8
	// minAccountBytes lets a single body of the largest size be served by any host.
	minAccountBytes = 10 << 20
	// Of the log lines with the same level and message in one second, the first
	// logSampleInitial are written, then one in logSampleThereafter.
	logSampleInitial    = 400
	logSampleThereafter = 25
	// maxHeaderBytes limits the size of the headers of requests and responses.
	maxHeaderBytes = 64 << 10
	// headerTimeout limits how long a client may take to send the headers of a request, if the
	// configuration doesn't say.
	headerTimeout = 10 * time.Second
	// writeTimeout bounds the responses of all listeners but that of callers, so that a client
	// that reads nothing doesn't keep its connection.
	writeTimeout = 10 * time.Second
	// lookupTimeout limits the end of requests to the directory and of readiness probes when
	// the host stops.
	lookupTimeout = 250 * time.Millisecond
	// idleTimeout is how long idle connections stay open, if the configuration doesn't say.
	idleTimeout = 90 * time.Second
)

// Run serves on the platform until SIGTERM or SIGINT and then shuts the host down
// gracefully. On SIGHUP it reads the settings again, only to log whether they are valid.
func (c *fleetCmd) Run() error {
	settings, err := boot.Load()
	if err != nil {
		return err
	}
	// Register first, so that a signal during the start also leads to a graceful shutdown.
	signals := notifySignals()
	out := lines.New(os.Stdout)
	defer out.Close()
	log := newFleetLogger(c.LogLevel, out).WithValues("host", settings.HostName)
	app := fx.New(
		fx.Supply(settings, c),
		fx.Provide(
			func() logr.Logger { return log },
			newStore, newBus, newRoster, newTables, newStages, newEdgeHandler, newFleetServers,
			newBalancer, newBlame, newNotices, newLoadBoard, newLoads, newRolloutGate, newRollouts,
			newFleetRefs, newMemoryAccount, newHeapLimit, dialer.New,
		),
		fx.Invoke(func(*memory.HeapLimit, *fleetServers) {}),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout), fx.StopTimeout(settings.GracePeriod),
	)
	if err := app.Err(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := app.Start(ctx); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	c.stopAt = signals.awaitStop(func() {
		_, err := boot.Load()
		log.Info("settings read again", "err", fmt.Sprint(err))
	})
	// The shutdown ends by its plan, before the process is killed.
	stop, cancelStop := context.WithDeadline(context.Background(), c.stopAt.Add(settings.GracePeriod))
	defer cancelStop()
	return app.Stop(stop)
}

const (
	// reservedFiles is the number of descriptors that are kept for files.
	reservedFiles = 200
	// The rest of the descriptors goes to connections of callers, to requests in progress, each
	// of which takes a connection to a target, and to each of the other listeners. What is left
	// is for the store, gossip and links to peers.
	callerFilesRatio = 0.55
	activeFilesRatio = 0.25
	otherFilesRatio  = 0.03
	// connBytes is what a connection of a caller takes beside what the account covers, at most
	// connMemoryRatio of the memory in all. 25 KB were measured after a request and 40 KB with
	// most of a header of 16 KB.
	connBytes       = 32 << 10
	connMemoryRatio = 0.2
)

// connLimits are the largest numbers of connections, and of requests in progress.
type connLimits struct{ callers, active, others int }

// newConnLimits divides the descriptors of a host. The lower bounds keep a host with odd
// settings in service.
func newConnLimits(s boot.Settings) connLimits {
	free := float64(max(s.MaxFiles-reservedFiles, 0))
	return connLimits{
		callers: max(32, min(int(callerFilesRatio*free), int(connMemoryRatio*float64(s.MemoryBytes)/connBytes))),
		active:  max(16, int(activeFilesRatio*free)),
		others:  max(8, int(otherFilesRatio*free)),
	}
}

// newMemoryAccount returns the account of what clients may make the host hold.
func newMemoryAccount(s boot.Settings) *memory.Account {
	free := memory.HeapRatio*float64(s.MemoryBytes) - idleBytes
	return memory.New(max(minAccountBytes, int64(accountRatio*free)))
}

func newHeapLimit(s boot.Settings, account *memory.Account, lc fx.Lifecycle) *memory.HeapLimit {
	l := memory.NewHeapLimit(s.MemoryBytes, account)
	lc.Append(fx.StopHook(l.Close))
	return l
}

func newFleetLogger(level string, out *lines.Writer) logr.Logger {
	minLevel := map[string]zapcore.Level{"debug": zap.DebugLevel, "info": zap.InfoLevel, "error": zap.ErrorLevel}[level]
	encoderConfig := zap.NewProductionEncoderConfig()
	encoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoderConfig), out, minLevel)
	return zapr.NewLogger(zap.New(zapcore.NewSamplerWithOptions(core, time.Second, logSampleInitial, logSampleThereafter)))
}

// fleetRefs holds references between controllers that need each other but are created
// one after the other: the roster reports the offset of the tables, and the tables get
// their peers from the roster.
type fleetRefs struct {
	roster  *roster.Controller
	tables  *table.Controller
	handler *edge.Handler
}

func newFleetRefs() *fleetRefs { return &fleetRefs{} }

// Count returns the number of hosts. Count and Rank implement pick.Hosts.
func (refs *fleetRefs) Count() int { return refs.roster.HostCount() }

// Rank returns the rank of this host for a key.
func (refs *fleetRefs) Rank(key string) int { return refs.roster.Rank(key) }

// hasPeers reports whether another host is live and isn't leaving.
func (refs *fleetRefs) hasPeers() bool { return len(refs.roster.Alive()) > 0 }

// offset returns the operator offset of the tables, or -1 before they are created.
func (refs *fleetRefs) offset() int64 {
	if refs.tables == nil {
		return -1
	}
	return refs.tables.OperatorOffset()
}

// era returns the era of the store that the tables know, or 0 before they are created.
func (refs *fleetRefs) era() feed.Era {
	if refs.tables == nil {
		return 0
	}
	return refs.tables.Era()
}

// active returns the number of requests in progress.
func (refs *fleetRefs) active() int {
	if refs.handler == nil {
		return 0
	}
	return refs.handler.Active()
}

// netDialer returns a dialer for connections to the store and to peers.
func netDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: time.Second, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2},
		Control: platformBuffers.Control,
	}
}

func newStore(s boot.Settings) *store.Client {
	return store.New(s.StoreAddress, &http.Client{Transport: hedge.New(hedge.Options{
		Bound: s.ContactBound, MaxResponseBytes: store.MaxAnswerBytes + 1,
		NewPool: func() *http.Transport {
			return &http.Transport{
				DialContext: netDialer().DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: 20 * time.Second, DisableCompression: true,
				MaxResponseHeaderBytes: maxHeaderBytes,
			}
		},
	})})
}

func newBus(s boot.Settings, c *fleetCmd, log logr.Logger) *peers.Transport {
	return peers.New(peers.Options{
		Host: s.HostName, Incarnation: uint64(time.Now().UnixNano()), Key: c.PeerKey, MaxHandlers: 1024, RatePerSecond: 5000,
		Repeatable: []string{kindTable, kindSync, graph.KindRun, graph.KindWait},
		Client:     &http.Client{Transport: &http.Transport{DialContext: netDialer().DialContext, MaxResponseHeaderBytes: maxHeaderBytes}},
	}, log.WithName("peers"))
}

func newRoster(s boot.Settings, refs *fleetRefs, client *store.Client, log logr.Logger) (*roster.Controller, error) {
	gossipAddress := net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort))
	var seeds []string
	for _, seed := range s.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil && host != s.IP {
			seeds = append(seeds, net.JoinHostPort(host, strconv.Itoa(s.FirstPort)))
		}
	}
	self := roster.Host{
		Name: s.HostName, Address: s.CallerAddress, PeerAddress: s.PeerAddress, GossipAddress: gossipAddress,
		DataCentre: s.DataCentre, Region: s.Region, Incarnation: time.Now().UnixMilli(),
		MilliCPU: int(1000 * s.Cores),
	}
	r, err := roster.New(roster.Options{Self: self, Seeds: seeds, Era: refs.era}, feed.Hosts(client),
		func(ctx context.Context, value []byte) error { return feed.PutHost(ctx, client, s.HostName, value) },
		refs.offset, refs.active, log.WithName("roster"))
	refs.roster = r
	return r, err
}

// Kinds of messages between hosts.
const (
	kindTable = "table"
	kindSync  = "table_sync"
)

// peerTables fetches tables from peers.
type peerTables struct {
	roster *roster.Controller
	bus    *peers.Transport
}

// peerTimeout limits the time to fetch a table.
const peerTimeout = time.Second

// NewestOffset returns the highest operator offset that a peer has reported, or -1.
func (p peerTables) NewestOffset() int64 {
	out := int64(-1)
	for _, h := range p.roster.Alive() {
		out = max(out, h.Offset)
	}
	return out
}

// Fetch returns the table of a random peer whose operator offset is at least offset.
func (p peerTables) Fetch(ctx context.Context, offset, version int64) (table.Snapshot, bool) {
	var candidates []roster.Peer
	for _, h := range p.roster.Alive() {
		if h.Offset >= offset && !h.IsAvoided {
			candidates = append(candidates, h)
		}
	}
	if len(candidates) == 0 {
		return table.Snapshot{}, false
	}
	h := candidates[rand.IntN(len(candidates))]
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var out table.Snapshot
	if err := p.bus.Call(ctx, graph.PeerHost(h.Host), kindTable, table.SnapshotRequest{Version: version}, &out); err != nil {
		p.roster.Avoid(h.Name)
		return table.Snapshot{}, false
	}
	return out, true
}

// HasReader reports whether a peer is there to read the store for this host.
func (p peerTables) HasReader() bool {
	_, ok := p.roster.StoreReader()
	return ok
}

// Sync returns the table of the peer that reads the store for this host.
func (p peerTables) Sync(ctx context.Context, req table.SnapshotRequest) (table.Snapshot, bool) {
	h, ok := p.roster.StoreReader()
	if !ok {
		return table.Snapshot{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	var out table.Snapshot
	if err := p.bus.Call(ctx, graph.PeerHost(h), kindSync, req, &out); err != nil {
		p.roster.Avoid(h.Name)
		return table.Snapshot{}, false
	}
	return out, true
}

// syncTimeout limits a call to a peer that may delay its reply by 1.25 s.
const syncTimeout = 1500 * time.Millisecond

func newTables(refs *fleetRefs, r *roster.Controller, bus *peers.Transport, client *store.Client, notices *notice.Board, log logr.Logger) *table.Controller {
	t := table.New(feed.Operator(client), feed.Targets(client), peerTables{roster: r, bus: bus}, log.WithName("table"))
	t.OnRestart(notices.Restarted)
	bus.Handle(kindTable, func(_ context.Context, _ string, _ uint64, body []byte) (any, error) {
		var req table.SnapshotRequest
		if err := peers.Decode(body, &req); err != nil {
			return nil, err
		}
		return t.Snapshot(req), nil
	})
	bus.Handle(kindSync, func(ctx context.Context, _ string, _ uint64, body []byte) (any, error) {
		var req table.SnapshotRequest
		if err := peers.Decode(body, &req); err != nil {
			return nil, err
		}
		return t.AwaitSnapshot(ctx, req), nil
	})
	refs.tables = t
	return t
}

func newNotices(s boot.Settings, log logr.Logger) *notice.Board {
	return notice.New(s.DrainPeriod, log.WithName("notice"))
}

func newLoadBoard(r *roster.Controller) *loads.Board {
	return loads.NewBoard(r.Self().ID(), uint32(r.Self().Incarnation/time.Second.Milliseconds()))
}

func newLoads(refs *fleetRefs, r *roster.Controller, board *loads.Board, balancer *pick.Balancer, log logr.Logger) *loads.Controller {
	return loads.New(board, r, balancer.InFlight, func() bool { return pick.UsesOthers(refs.Count()) }, log.WithName("loads"))
}

func newBalancer(refs *fleetRefs, s boot.Settings, notices *notice.Board, board *loads.Board) *pick.Balancer {
	return pick.New(pick.Options{
		DataCentre: s.DataCentre, Region: s.Region, Regions: s.DataCentres,
		RetryRatio: s.RetryRatio, RetryExtra: s.RetryExtra, RetryWindow: s.RetryWindow, Others: board,
	}, refs, notices)
}

type stageParts struct {
	fx.Out
	Home   *batch.Home
	Runner *graph.Runner
}

func newStages(s boot.Settings, r *roster.Controller, t *table.Controller, bus *peers.Transport, d *dialer.Pool, notices *notice.Board, gate *canary.Gate, log logr.Logger) stageParts {
	catalog, client := maker.NewCatalog(t, notices, s.DataCentres), maker.New(d, notices)
	catalog.UseRollouts(gate)
	client.UseRollouts(gate, t)
	home := batch.New(client, catalog, log.WithName("batch"))
	graph.RegisterHandlers(bus, home)
	runner := graph.New(s.HostName, s.Region, r, bus, home, catalog)
	home.SetReporter(runner.SendReport)
	return stageParts{Home: home, Runner: runner}
}

func newBlame(r *roster.Controller, log logr.Logger) *blame.Controller {
	return blame.New(r, log.WithName("blame"))
}

func rolloutOptions(s boot.Settings, refs *fleetRefs) canary.Options {
	return canary.Options{Share: s.ExposureShare, Slack: s.ExposureSlack, Regions: s.DataCentres, Hosts: refs.Count}
}

// newRolloutGate returns nil, which lets all versions get requests, where roll-outs aren't in
// force.
func newRolloutGate(s boot.Settings, refs *fleetRefs) *canary.Gate {
	if !s.HasRollouts() {
		return nil
	}
	return canary.NewGate(rolloutOptions(s, refs))
}

// newRollouts returns nil where roll-outs aren't in force.
func newRollouts(s boot.Settings, refs *fleetRefs, gate *canary.Gate, r *roster.Controller, bus *peers.Transport, t *table.Controller, client *store.Client, log logr.Logger) *canary.Controller {
	if gate == nil {
		return nil
	}
	return canary.New(s.HostName, time.Now().UnixMilli(), gate, rolloutOptions(s, refs), r, bus, t, feed.Rollouts(client), log.WithName("rollout"))
}

func newEdgeHandler(s boot.Settings, refs *fleetRefs, t *table.Controller, runner *graph.Runner, balancer *pick.Balancer, d *dialer.Pool, b *blame.Controller, notices *notice.Board, gate *canary.Gate, account *memory.Account, log logr.Logger) *edge.Handler {
	options := edge.Options{
		DataCentre: s.DataCentre, Region: s.Region, HasPeers: refs.hasPeers, Rollouts: gate, Memory: account,
		CallerBytes: fleetBuffers.MaxUnread(), TargetBytes: dialer.Buffers.MaxUnread(), ReceiveBytes: fleetBuffers.Receive,
		Active: active.New(newConnLimits(s).active, memory.Writers(account)),
	}
	refs.handler = edge.New(options, t, runner, balancer, d, b, notices, log.WithName("edge"))
	return refs.handler
}

// fleetServers holds the HTTP servers of a host on the platform.
type fleetServers struct {
	callers, ready, directory, peers, metrics *drain.Server
	settings                                  boot.Settings
	log                                       logr.Logger
}

func newFleetServers(s boot.Settings, c *fleetCmd, handler *edge.Handler, r *roster.Controller, t *table.Controller, bus *peers.Transport,
	home *batch.Home, runner *graph.Runner, d *dialer.Pool, b *blame.Controller, l *loads.Controller, rollouts *canary.Controller, account *memory.Account, log logr.Logger, lc fx.Lifecycle,
) *fleetServers {
	isReady := func() bool {
		view := t.View()
		return view.Config != nil && view.TargetsLoaded && !r.IsLeaving()
	}
	router := func(path string, h http.Handler) *mux.Router {
		m := mux.NewRouter()
		m.Handle(path, h).Methods(http.MethodGet)
		return m
	}
	limits := newConnLimits(s)
	// A request to these servers has no body that counts, so it is read within the time of its
	// header. The timeout ends when the connection becomes one of a peer.
	server := func(h http.Handler) *drain.Server {
		out := drain.NewServer(&http.Server{Handler: h, ReadTimeout: headerTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes})
		out.SetLimits(drain.Limits{MaxConns: limits.others})
		return out
	}
	metrics := router("/debug/vars", expvar.Handler())
	metrics.Handle(apiv1.PathExplain, &edge.Explainer{Handler: handler, Host: s.HostName, StageHome: runner.HomeOf}).Methods(http.MethodGet)
	fs := &fleetServers{
		callers: drain.NewServer(&http.Server{Handler: handler, MaxHeaderBytes: maxHeaderBytes}),
		ready: server(router(wire.PathReady, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if !isReady() {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}))),
		peers:     server(bus),
		directory: server(router(wire.PathResolve, edge.NewDirectory(r, t, handler.Active, isReady, s.MaxTTL))),
		metrics:   server(metrics),
		settings:  s, log: log,
	}
	fs.callers.SetLimits(drain.Limits{MaxConns: limits.callers, OnFull: func(n int) bool {
		return account.EndSlowest(memory.Reading, n) > 0 || account.Blocked(memory.Reading) > 0
	}, Timeouts: func() (header, idle time.Duration) {
		return callerTimeouts(t.View().Config)
	}, HeaderBytes: func() int {
		if config := t.View().Config; config != nil {
			return config.Limits.MaxHeaderBytes
		}
		return 0
	}})
	fs.callers.ConnContext = edge.ConnContext
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return fs.start(c.MetricsPort) },
		OnStop: func(ctx context.Context) error {
			log.Info("stopping", "active", handler.Active())
			r.AnnounceLeave()
			err := handler.Shutdown(drain.NewPlan(c.stopAt, s.GracePeriod, min(edge.DirectoryTTL, s.MaxTTL)), fs.callers)
			lookupCtx, cancel := context.WithTimeout(ctx, lookupTimeout)
			defer cancel()
			err = errors.Join(err, fs.directory.Shutdown(lookupCtx), fs.ready.Shutdown(lookupCtx))
			log.Info("stopped", "active", handler.Active(), "err", fmt.Sprint(err))
			b.Close()
			l.Close()
			rollouts.Close()
			r.Close()
			t.Close()
			home.Close()
			d.Close()
			return nil
		},
	})
	return fs
}

// callerTimeouts returns how long a caller may take to send a header and may be idle.
func callerTimeouts(config *fleet.Config) (header, idle time.Duration) {
	header, idle = headerTimeout, idleTimeout
	if config == nil {
		return header, idle
	}
	if config.Limits.HeaderTimeout > 0 {
		header = config.Limits.HeaderTimeout
	}
	if config.Limits.IdleTimeout > 0 {
		idle = config.Limits.IdleTimeout
	}
	return header, idle
}

func (fs *fleetServers) start(metricsPort int) error {
	type endpoint struct {
		server   interface{ Serve(l net.Listener) error }
		address  string
		buffers  kernel.Buffers
		required bool
	}
	endpoints := []endpoint{
		{fs.callers, fs.settings.CallerAddress, fleetBuffers, true},
		{fs.ready, fs.settings.ReadinessAddress, lookupBuffers, true},
		{fs.peers, fs.settings.PeerAddress, platformBuffers, true},
		{fs.directory, fs.settings.DirectoryAddress, lookupBuffers, true},
	}
	if metricsPort != 0 {
		endpoints = append(endpoints, endpoint{fs.metrics, net.JoinHostPort(fs.settings.IP, strconv.Itoa(metricsPort)), lookupBuffers, false})
	}
	for _, e := range endpoints {
		l, err := e.buffers.Listen(e.address, newBacklog(fs.settings))
		if err != nil {
			if e.required {
				return err
			}
			fs.log.Error(err, "metrics not served", "address", e.address)
			continue
		}
		if e.server == fs.callers {
			l = edge.WrapListener(l)
		}
		go func() {
			if err := e.server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
				fs.log.Error(err, "listener failed", "address", e.address)
			}
		}()
	}
	fs.log.Info("started", "front", fs.settings.CallerAddress, "peers", fs.settings.PeerAddress, "directory", fs.settings.DirectoryAddress,
		"data_centre", fs.settings.DataCentre, "region", fs.settings.Region, "store", fs.settings.StoreAddress)
	return nil
}
