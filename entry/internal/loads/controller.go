package loads

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"chivepost/entry/internal/guard"
	"chivepost/entry/internal/roster"
)

var (
	sentBytes = expvar.NewInt("peer_loads_sent_bytes")
	badCount  = expvar.NewInt("peer_loads_bad_records_count")
	hostsNow  = expvar.NewInt("peer_loads_hosts")
	ageNow    = expvar.NewInt("peer_loads_age_ms")
)

const (
	// interval is the time between two records, as between two rounds of gossip.
	interval = 400 * time.Millisecond
	// fanout is the number of hosts that receive a datagram. In the model of 62 hosts with one
	// datagram in twenty lost, a host knows 13 of 20 others of its region at 0.9 KB/s.
	fanout = 3
	// silenceLogged is how long nothing is known of other hosts before this is logged. At a low
	// load it is usual for a second or two, since hosts without requests send nothing.
	silenceLogged = 10 * time.Second
)

// Gossip sends datagrams to other hosts.
type Gossip interface {
	Handle(kind byte, handle func(data []byte, from string))
	SendWithinRegion(kind byte, data []byte, n int) int
}

// Controller exchanges records with the other hosts of the region until Close.
type Controller struct {
	board    *Board
	gossip   Gossip
	inFlight func() map[string]int
	isNeeded func() bool
	logger   logr.Logger
	cancel   context.CancelFunc
	wait     sync.WaitGroup
	wasIdle  bool // the last record had no counts
	// lastHeard is when records of other hosts were last known; isHeard is what was logged of it.
	lastHeard time.Time
	isHeard   bool
}

// New returns a Controller that keeps board up to date. inFlight returns this host's requests
// in flight by target. While isNeeded returns false nothing is sent.
func New(board *Board, gossip Gossip, inFlight func() map[string]int, isNeeded func() bool, logger logr.Logger) *Controller {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{board: board, gossip: gossip, inFlight: inFlight, isNeeded: isNeeded, logger: logger, cancel: cancel, wasIdle: true}
	gossip.Handle(roster.DatagramLoads, c.receive)
	c.wait.Go(func() { guard.Keep(ctx, logger, "loads of hosts", func() { c.run(ctx) }) })
	return c
}

func (c *Controller) run(ctx context.Context) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			c.round(time.Now())
		}
	}
}

// round sends the records of a round. A host without requests in flight says so once and then
// sends nothing until it has some.
func (c *Controller) round(now time.Time) {
	n, age := c.board.Hosts(now)
	hostsNow.Set(int64(n))
	ageNow.Set(age.Milliseconds())
	if !c.isNeeded() {
		return
	}
	inFlight := c.inFlight()
	if isIdle := len(inFlight) == 0; isIdle && c.wasIdle {
		return
	}
	c.wasIdle = len(inFlight) == 0
	if n > 0 {
		c.lastHeard = now
	}
	if isHeard := now.Sub(c.lastHeard) < silenceLogged; isHeard != c.isHeard {
		c.isHeard = isHeard
		c.logger.Info("loads of other hosts", "known", isHeard, "hosts", n, "age", age.String())
	}
	data, err := cbor.Marshal(c.board.Next(inFlight, now))
	if err != nil {
		c.logger.Error(err, "failed to encode loads")
		return
	}
	sentBytes.Add(int64(len(data)+1) * int64(c.gossip.SendWithinRegion(roster.DatagramLoads, data, fanout)))
}

// receive merges a datagram of another host.
func (c *Controller) receive(data []byte, _ string) {
	var records []Record
	if err := cbor.Unmarshal(data, &records); err != nil {
		badCount.Add(1)
		return
	}
	badCount.Add(int64(c.board.Merge(records, time.Now())))
}

// Close ends the exchange.
func (c *Controller) Close() {
	c.cancel()
	c.wait.Wait()
}
