package config

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/samber/oops"
)

// Reasons for which a node takes no new work.
var (
	ErrNoConfig       = errors.New("no configuration in force yet")
	ErrVersionUnknown = errors.New("the oldest configuration records are gone and neither a copy nor a peer gives the version in force")
	ErrIsolated       = errors.New("neither the log nor a majority of hosts has been reached")
	ErrBehind         = errors.New("a peer has a higher version that could not be fetched")
)

// observation is what a host last said about itself.
type observation struct {
	version int64
	logAge  time.Duration
	at      time.Time
	tried   time.Time
}

// Confirmation says which version a host has in force and how long ago it said so.
type Confirmation struct {
	Host    string
	Version int64
	Age     time.Duration
	// LogAge is the age of the host's last contact with the log, when it said so.
	LogAge time.Duration
}

// ObservePeer takes the version in force at a peer and the age of its last contact with
// the log. A higher version is fetched from it.
func (c *Controller) ObservePeer(host string, version int64, logAge time.Duration) {
	if host == c.opts.Host {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.seen[host]
	if o == nil {
		o = &observation{}
		c.seen[host] = o
	}
	o.version, o.logAge, o.at = version, logAge, time.Now()
	c.highest = max(c.highest, version)
	if c.wants(o) {
		signal(c.pullWake)
	}
}

// Confirmations lists the other hosts heard from within Options.Forget, by name.
func (c *Controller) Confirmations() []Confirmation {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forgetSilent()
	var out []Confirmation
	for _, host := range slices.Sorted(maps.Keys(c.seen)) {
		o := c.seen[host]
		out = append(out, Confirmation{Host: host, Version: o.version, Age: time.Since(o.at), LogAge: o.logAge})
	}
	return out
}

func (c *Controller) forgetSilent() {
	maps.DeleteFunc(c.seen, func(_ string, o *observation) bool { return time.Since(o.at) > c.opts.ForgetAfter })
}

// HandlePull answers a peer that has version have. It is false if this node has
// nothing newer and can't confirm have.
func (c *Controller) HandlePull(have int64) (Offer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.track.force
	if f.version == 0 || f.version < have {
		return Offer{}, false
	}
	o := Offer{Version: f.version, Author: f.author, Through: f.through}
	if f.version > have {
		o.Data = f.data
	}
	return o, true
}

// wants reports whether an offer of that host may help: it has a higher version, or
// this node can't judge changes and the host may have read further.
func (c *Controller) wants(o *observation) bool {
	t := c.track
	return o.version > t.force.version || !t.settled && o.version > 0 && o.version == t.force.version
}

// pullOnce waits until an offer is wanted and asks one host for it.
func (c *Controller) pullOnce() {
	host, have, ok := c.pullFrom()
	if !ok {
		select {
		case <-c.pullWake:
		case <-c.ctx.Done():
		}
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.opts.CallTimeout)
	offer, err := c.peers.Pull(ctx, host, have)
	cancel()
	if err == nil {
		err = c.takeOffer(offer)
	}
	if err != nil {
		c.logger.V(1).Info("offer not taken", "host", host, "error", err.Error())
	}
	c.pause(c.opts.RetryPause, nil)
}

// pullFrom picks the wanted host asked longest ago, then the one with the highest
// version and the latest contact with the log.
func (c *Controller) pullFrom() (host string, have int64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forgetSilent()
	var names []string
	for name, o := range c.seen {
		if c.wants(o) {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return "", 0, false
	}
	host = slices.MinFunc(names, func(a, b string) int {
		x, y := c.seen[a], c.seen[b]
		return cmp.Or(x.tried.Compare(y.tried), cmp.Compare(y.version, x.version), cmp.Compare(x.logAge, y.logAge), cmp.Compare(a, b))
	})
	c.seen[host].tried = time.Now()
	return host, c.track.force.version, true
}

func (c *Controller) takeOffer(o Offer) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.track.adopt(o); err != nil {
		badOffers.Add(1)
		return err
	}
	c.publishState()
	return nil
}

// MayServe returns nil if new work may be taken: this node has lately read the log to
// its end and can judge it, or it has lately heard from a majority of hosts, of which
// none has named a version that it could not fetch.
func (c *Controller) MayServe() error {
	c.mu.Lock()
	version, age, settled, highest := c.track.force.version, c.logAge(), c.track.settled, c.highest
	// A version that the log has been read past was never accepted.
	behind := highest > version && (!settled || c.track.judgedThrough < highest)
	c.mu.Unlock()
	switch {
	case version == 0 && !settled:
		return ErrVersionUnknown
	case version == 0:
		return ErrNoConfig
	case settled && age <= c.opts.MaxAge:
		return nil
	case !c.members.HasMajority(c.opts.MaxAge):
		return oops.In("config").With("log_age", age.String()).Wrap(ErrIsolated)
	case behind:
		return oops.In("config").With("version", version, "highest", highest).Wrap(ErrBehind)
	}
	return nil
}
