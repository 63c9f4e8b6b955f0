package canary

import (
	"context"
	"expvar"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"chivepost/entry/internal/guard"
	"chivepost/entry/internal/peers"
	"chivepost/entry/internal/roster"
	"chivepost/entry/internal/table"
	"chivepost/platform/feed"
	"chivepost/share/fleet"
	"chivepost/share/hosts"
)

var (
	activeNow       = expvar.NewInt("rollout_active_services")
	reportFailures  = expvar.NewInt("rollout_reports_failed_count")
	statusReads     = expvar.NewInt("rollout_status_reads_count")
	statusWrites    = expvar.NewInt("rollout_status_writes_count")
	statusConflicts = expvar.NewInt("rollout_status_writes_failed_count")
)

// KindReport is the kind of the calls from hosts to the decider.
const KindReport = "rollout_report"

const (
	// tickInterval is the time between two reports of a host and two looks of the decider.
	tickInterval = 400 * time.Millisecond
	// reportTimeout limits a report: several round trips between regions.
	reportTimeout = 600 * time.Millisecond
	// storeTimeout limits a call to the store.
	storeTimeout = 900 * time.Millisecond
	// rereadInterval is the time between two reads of the statuses by a host that has no
	// decider.
	rereadInterval = grantTTL
	// lateWrites is how long nothing is written after the store was restored: appends of the
	// era before take effect up to 6 s late, at offsets that were given out again.
	lateWrites = 6500 * time.Millisecond
)

// Roster finds the decider among the hosts.
type Roster interface {
	Home(region string) (roster.Host, bool)
	Avoid(name string)
	HostCount() int
	Alive() []roster.Peer
}

// Bus calls other hosts.
type Bus interface {
	Call(ctx context.Context, to hosts.Host, kind string, body, reply any) error
	Handle(kind string, h func(ctx context.Context, from string, incarnation uint64, body []byte) (any, error))
}

// Tables provides the current view of the deployment.
type Tables interface {
	View() *table.View
	Era() feed.Era
}

// Statuses reads and writes the status of roll-outs in the store.
type Statuses interface {
	// Read returns the newest status of each service, and the end of the partition.
	Read(ctx context.Context) (map[string]fleet.RolloutStatus, int64, error)
	// Write writes a status if the partition ends at end.
	Write(ctx context.Context, service string, status fleet.RolloutStatus, end int64) error
}

// Controller exchanges reports and grants with the other hosts, and writes the status while
// this host decides.
type Controller struct {
	self     hosts.Host
	gate     *Gate
	roster   Roster
	bus      Bus
	tables   Tables
	statuses Statuses
	opts     Options
	logger   logr.Logger
	cancel   context.CancelFunc
	wait     sync.WaitGroup

	mu          sync.Mutex
	decider     *Decider // nil: another host decides
	epoch       int      // number of deciders that this host has been
	repliedAt   time.Time
	readAt      time.Time // of the last attempt to read the statuses
	hasStatuses bool
	isWriting   bool
	era         feed.Era         // of the store, as last known
	restoredAt  time.Time        // when a new era was learnt; zero: never
	mustRewrite bool             // the store may lack verdicts that are known here
	phases      map[string]Phase // as last logged
}

// New returns a Controller that runs until Close. incarnation distinguishes this process
// from earlier ones of the host.
func New(name string, incarnation int64, gate *Gate, opts Options, r Roster, bus Bus, tables Tables, statuses Statuses, logger logr.Logger) *Controller {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{
		self: hosts.Host{Name: name + "/" + strconv.FormatInt(incarnation, 36)}, gate: gate, roster: r, bus: bus, tables: tables, statuses: statuses,
		opts: opts, logger: logger, cancel: cancel, phases: map[string]Phase{},
	}
	bus.Handle(KindReport, func(_ context.Context, from string, incarnation uint64, body []byte) (any, error) {
		var reports []Report
		if err := peers.Decode(body, &reports); err != nil {
			return nil, err
		}
		return c.handle(from, incarnation, reports), nil
	})
	c.wait.Go(func() { guard.Keep(ctx, logger, "roll-outs", func() { c.run(ctx) }) })
	return c
}

func (c *Controller) run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		c.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// round reports to the decider, or decides, and reads the statuses if need be.
func (c *Controller) round(ctx context.Context) {
	now := time.Now()
	view := c.tables.View()
	c.recordEra(c.tables.Era(), now)
	if !view.TargetsLoaded || view.Config == nil {
		return
	}
	reports := c.gate.Reports(view, now)
	activeNow.Set(int64(len(reports)))
	home, isOther := c.roster.Home("")
	isFirst := c.setDeciding(!isOther)
	if c.mustRead(len(reports) > 0, isFirst, now) {
		c.wait.Go(func() { _ = guard.Run(c.logger, "status read", func() { _, _, _ = c.read(ctx) }) })
	}
	switch {
	case !isOther:
		c.apply(c.handle(c.self.Name, 0, reports), now)
		c.decide(ctx, view, now)
	case len(reports) > 0:
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		var replies []Reply
		err := c.bus.Call(callCtx, hosts.Host{Name: home.Name, PeerAddress: home.PeerAddress}, KindReport, reports, &replies)
		cancel()
		if err != nil {
			reportFailures.Add(1)
			c.roster.Avoid(home.Name)
			return
		}
		c.apply(replies, now)
	}
}

// setDeciding records whether this host decides, and reports whether it begins to.
func (c *Controller) setDeciding(decides bool) (begins bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if begins = decides && c.decider == nil; begins {
		c.epoch++
		c.decider = NewDecider(c.self.Name+"/"+strconv.Itoa(c.epoch), c.opts.Share, c.opts.Slack)
	} else if !decides {
		c.decider = nil
	}
	return begins
}

// mustRead reports whether the statuses must be read: once, when this host begins to decide,
// and while a roll-out is in progress and no decider replies.
func (c *Controller) mustRead(isActive, begins bool, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !begins && c.hasStatuses && (!isActive || now.Sub(c.repliedAt) < grantTTL) || now.Sub(c.readAt) < rereadInterval && !begins {
		return false
	}
	c.readAt = now
	return true
}

// read reads the statuses and takes them over.
func (c *Controller) read(ctx context.Context) (map[string]fleet.RolloutStatus, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	statusReads.Add(1)
	statuses, end, err := c.statuses.Read(ctx)
	if err != nil {
		return nil, 0, err
	}
	c.mu.Lock()
	c.hasStatuses = true
	c.mu.Unlock()
	c.log(c.gate.SetStatuses(statuses), statuses, "store")
	return statuses, end, nil
}

func (c *Controller) log(news []string, statuses map[string]fleet.RolloutStatus, source string) {
	for _, name := range news {
		c.logger.Info("roll-out status", "service", name, "version", statuses[name].Target, "state", statuses[name].State, "source", source)
	}
}

// handle takes over the reports of a host. It returns no replies if this host doesn't
// decide.
func (c *Controller) handle(from string, incarnation uint64, reports []Report) []Reply {
	now := time.Now()
	all := c.gate.facts(c.tables.View(), now)
	size := c.size()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.decider == nil {
		return nil
	}
	out := make([]Reply, 0, len(reports))
	for _, r := range reports {
		out = append(out, c.decider.handle(from, incarnation, r, all[r.Service], size, now))
	}
	return out
}

func (c *Controller) size() fleetSize {
	return fleetSize{all: c.roster.HostCount(), alive: len(c.roster.Alive()) + 1}
}

// apply takes over the replies to the reports of a time.
func (c *Controller) apply(replies []Reply, sentAt time.Time) {
	now := time.Now()
	for _, r := range replies {
		if c.gate.Apply(r, sentAt, now) {
			c.log([]string{r.Service}, map[string]fleet.RolloutStatus{r.Service: r.Status}, "decider")
		}
		c.mu.Lock()
		c.repliedAt = now
		if c.phases[r.Service] != r.Phase {
			c.phases[r.Service] = r.Phase
			c.logger.Info("roll-out phase", "service", r.Service, "version", r.Version, "phase", int(r.Phase), "granted", r.Cap, "granted_to_all", r.Total, "decider", r.By)
		}
		c.mu.Unlock()
	}
}

// decide advances the roll-outs, and writes what must be written, one write after the other.
func (c *Controller) decide(ctx context.Context, view *table.View, now time.Time) {
	all, size := c.gate.facts(view, now), c.size()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.decider == nil || !c.hasStatuses {
		return
	}
	writes := c.decider.tick(all, size, now)
	if !c.restoredAt.IsZero() && now.Sub(c.restoredAt) < lateWrites {
		return
	}
	if c.mustRewrite {
		writes = append(writes, rewrites(all)...)
	}
	if len(writes) == 0 || c.isWriting {
		return
	}
	c.mustRewrite = false
	c.isWriting = true
	c.wait.Go(func() {
		defer func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.isWriting = false
		}()
		_ = guard.Run(c.logger, "status write", func() { // Run logs the error
			for _, w := range writes {
				if !c.write(ctx, w) && w.isRewrite {
					c.mu.Lock()
					c.mustRewrite = true
					c.mu.Unlock()
				}
			}
		})
	})
}

// rewrites returns the verdicts that a restored store may lack.
func rewrites(all map[string]facts) []write {
	var out []write
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if status := all[name].status; status.IsFinal() {
			out = append(out, write{service: name, status: status, reason: "the store was restored from a copy", isRewrite: true})
		}
	}
	return out
}

// recordEra notes that the store was restored from a copy.
func (c *Controller) recordEra(era feed.Era, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.era != 0 && era.IsAfter(c.era) {
		c.restoredAt, c.mustRewrite = now, true
	}
	c.era = era
}

// write writes a status, unless the store has a verdict on the version, which is then taken
// over. If the outcome of the write isn't known, the next round reads before it writes again.
// It returns false if it may have to be tried again.
func (c *Controller) write(ctx context.Context, w write) bool {
	statuses, end, err := c.read(ctx)
	if err != nil {
		return false
	}
	if !w.holdsAfter(statuses[w.service]) {
		return true
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	err = c.statuses.Write(callCtx, w.service, w.status, end)
	cancel()
	statusWrites.Add(1)
	if err != nil {
		statusConflicts.Add(1)
	}
	c.logger.Info("roll-out status written", "service", w.service, "version", w.status.Target, "state", w.status.State, "reason", w.reason, "at", end, "failed", err != nil)
	_, _, _ = c.read(ctx) // after an error, the next round reads
	return err == nil
}

// Name returns "rollout".
func (c *Controller) Name() string { return "rollout" }

// Close stops the controller, unless it is nil.
func (c *Controller) Close() {
	if c == nil {
		return
	}
	c.cancel()
	c.wait.Wait()
}
