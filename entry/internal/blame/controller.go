package blame

import (
	"context"
	"expvar"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"chivepost/entry/internal/guard"
	"chivepost/entry/internal/roster"
)

var (
	brokenCount     = expvar.NewInt("blame_broken_answers_count")
	quarantineCount = expvar.NewInt("blame_quarantines_count")
	quarantineNow   = expvar.NewInt("blame_quarantined_parts")
	refusedCount    = expvar.NewInt("blame_refused_count")
	trialCount      = expvar.NewInt("blame_trials_count")
	badCount        = expvar.NewInt("blame_bad_datagrams_count")
	evictedCount    = expvar.NewInt("blame_crashes_evicted_count")
)

const (
	// roundInterval is the time between two rounds; news is sent at once, but not more
	// often than each minSendInterval.
	roundInterval   = 400 * time.Millisecond
	minSendInterval = 50 * time.Millisecond
	// fanout is the number of hosts that receive the news of a round.
	fanout = 3
	// startRounds is the number of rounds in which a host that starts asks another for its
	// evidence, of which some may get lost. maxReply limits the records of a reply.
	startRounds = 6
	maxReply    = 64
	// syncRounds is the number of rounds between two datagrams with evidence that isn't
	// news, for hosts that missed it.
	syncRounds = 12
	// recordsPerDatagram keeps a datagram below the usual size of a packet.
	recordsPerDatagram = 16
)

// Gossip sends datagrams to other hosts.
type Gossip interface {
	Handle(kind byte, handle func(data []byte, from string))
	SendToSome(kind byte, data []byte, n int) int
	SendTo(kind byte, data []byte, to ...string)
	Rank(key string) int
}

// Controller keeps the evidence and exchanges it with the other hosts until Close. It is
// safe for concurrent use.
type Controller struct {
	gossip Gossip
	logger logr.Logger
	cancel context.CancelFunc
	wait   sync.WaitGroup
	news   chan struct{}

	mu     sync.Mutex
	state  *state
	logged map[part]quarantine
}

// New returns a Controller that exchanges evidence over gossip.
func New(gossip Gossip, logger logr.Logger) *Controller {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{gossip: gossip, logger: logger, cancel: cancel, news: make(chan struct{}, 1), state: newState(), logged: map[part]quarantine{}}
	gossip.Handle(roster.DatagramBlame, c.receive)
	c.wait.Go(func() { guard.Keep(ctx, logger, "crash evidence", func() { c.run(ctx) }) })
	return c
}

// run sends news at once and in rounds until ctx ends.
func (c *Controller) run(ctx context.Context) {
	tick := time.NewTicker(roundInterval)
	defer tick.Stop()
	for round := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			round++
			c.sendRound(round)
		case <-c.news:
			c.sendRound(0)
			select {
			case <-ctx.Done():
				return
			case <-time.After(minSendInterval):
			}
		}
	}
}

// sendRound sends the news, and in some rounds a request for all evidence or evidence
// that isn't news. Round 0 is outside the rounds.
func (c *Controller) sendRound(round int) {
	msg, old := c.nextRound(round, time.Now())
	for _, m := range msg.split() {
		if data := c.encode(m); data != nil {
			c.gossip.SendToSome(roster.DatagramBlame, data, fanout)
		}
	}
	if !old.isEmpty() {
		if data := c.encode(old); data != nil {
			c.gossip.SendToSome(roster.DatagramBlame, data, 1)
		}
	}
}

// nextRound returns the news of a round, and the request for evidence or the evidence that
// isn't news.
func (c *Controller) nextRound(round int, now time.Time) (news, old message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if round > 0 {
		c.state.expire(now)
		c.logChanges("", now)
	}
	news = c.state.nextRound(now)
	if round > 0 && round%syncRounds == 0 {
		old = c.state.all(recordsPerDatagram, now)
	}
	old.WantsAll = round > 0 && round <= startRounds
	return news, old
}

// split splits a message into datagrams.
func (m message) split() []message {
	var out []message
	for clearances := range slices.Chunk(m.Clearances, recordsPerDatagram) {
		out = append(out, message{Clearances: clearances})
	}
	for records := range slices.Chunk(m.Records, recordsPerDatagram) {
		if last := len(out) - 1; last >= 0 && len(out[last].Records) == 0 && len(out[last].Clearances)+len(records) <= recordsPerDatagram {
			out[last].Records = records
			continue
		}
		out = append(out, message{Records: records})
	}
	return out
}

func (c *Controller) encode(m message) []byte {
	data, err := cbor.Marshal(m)
	if err != nil {
		c.logger.Error(err, "failed to encode evidence")
		return nil
	}
	return data
}

// receive merges a datagram of another host.
func (c *Controller) receive(data []byte, from string) {
	var msg message
	if err := cbor.Unmarshal(data, &msg); err != nil {
		badCount.Add(1)
		return
	}
	for _, m := range c.merge(msg, from).split() {
		if data := c.encode(m); data != nil {
			c.gossip.SendTo(roster.DatagramBlame, data, from)
		}
	}
}

// merge merges a message of another host and returns the reply.
func (c *Controller) merge(msg message, from string) (reply message) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.merge(msg, now)
	c.announce(from, now)
	if msg.WantsAll {
		reply = c.state.all(maxReply, now)
	}
	return reply
}

// announce logs changes and has news sent. c.mu must be held.
func (c *Controller) announce(from string, now time.Time) {
	c.logChanges(from, now)
	if !c.state.hasNews() {
		return
	}
	select {
	case c.news <- struct{}{}:
	default: // the goroutine is about to send
	}
}

// logChanges logs the quarantines that have begun, were renewed or have ended. from is
// the host whose datagram is the reason, if any. c.mu must be held.
func (c *Controller) logChanges(from string, now time.Time) {
	for p, q := range c.state.quarantines {
		was, isKnown := c.logged[p]
		if !q.isActive(now) || isKnown && q.until.Sub(was.until).Abs() < occasionLength {
			continue
		}
		if !isKnown {
			quarantineCount.Add(1)
			quarantineNow.Add(1)
		}
		c.logger.Info("part quarantined", "service", p.service, "part", p.id, "crashes", q.crashes, "until", q.until, "from", from, "renewed", isKnown)
		c.logged[p] = q
	}
	for p := range c.logged {
		if _, ok := c.state.quarantines[p]; ok {
			continue
		}
		quarantineNow.Add(-1)
		cleared := c.state.cleared[p]
		c.logger.Info("quarantine ended", "service", p.service, "part", p.id, "from", from, "answered_at", cleared)
		delete(c.logged, p)
	}
}

// Check reports whether a request with these parts must be refused. isTrial is the
// verdict of an earlier check of the same request.
func (c *Controller) Check(service string, parts []string, isTrial bool) Verdict {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.state.check(service, parts, isTrial, c.gossip.Rank, now)
	if v.Part != "" {
		refusedCount.Add(1)
	} else if v.IsTrial && !isTrial {
		trialCount.Add(1)
		c.logger.Info("quarantined part is tried", "service", service, "parts", parts)
	}
	return v
}

// RecordBroken records a broken answer.
func (c *Controller) RecordBroken(b Broken) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	brokenCount.Add(1)
	c.state.recordBroken(b, now)
	c.announce("", now)
}

// RecordComplete records a complete answer to a request with these parts.
func (c *Controller) RecordComplete(service string, parts []string) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.recordComplete(service, parts, now)
	c.announce("", now)
}

// Close stops the exchange.
func (c *Controller) Close() {
	c.cancel()
	c.wait.Wait()
}
