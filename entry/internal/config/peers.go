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

// Reasons why a host accepts no new work.
var (
	ErrNoConfig       = errors.New("no configuration in force yet")
	ErrVersionUnknown = errors.New("configuration records have expired unread and neither a copy nor a peer has supplied the version in force")
	ErrIsolated       = errors.New("neither the log nor a majority of hosts has been reached")
	ErrBehind         = errors.New("a peer has a higher configuration version that could not be fetched")
)

// observation is the latest heartbeat data of a peer; lastPull is when an offer was
// last requested from it.
type observation struct {
	version    int64
	logAge     time.Duration
	observedAt time.Time
	lastPull   time.Time
}

// Confirmation is the version that a host has in force and the time since its last
// heartbeat.
type Confirmation struct {
	Host    string
	Version int64
	Age     time.Duration
	// LogAge was the age of the host's last read of the log when it sent the heartbeat.
	LogAge time.Duration
}

// ObservePeer records the version in force at a peer and the age of its last read of
// the log. If the peer's version is higher, it is fetched in the background.
func (c *Controller) ObservePeer(host string, version int64, logAge time.Duration) {
	if host == c.opts.Host {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.observations[host]
	if o == nil {
		o = &observation{}
		c.observations[host] = o
	}
	o.version, o.logAge, o.observedAt = version, logAge, time.Now()
	c.highestSeen = max(c.highestSeen, version)
	if c.wantsOffer(o) {
		signal(c.pullWake)
	}
}

// Confirmations returns a confirmation for each peer that sent a heartbeat within
// Options.ForgetAfter, sorted by host name.
func (c *Controller) Confirmations() []Confirmation {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forgetSilent()
	var out []Confirmation
	for _, host := range slices.Sorted(maps.Keys(c.observations)) {
		o := c.observations[host]
		out = append(out, Confirmation{Host: host, Version: o.version, Age: time.Since(o.observedAt), LogAge: o.logAge})
	}
	return out
}

func (c *Controller) forgetSilent() {
	maps.DeleteFunc(c.observations, func(_ string, o *observation) bool { return time.Since(o.observedAt) > c.opts.ForgetAfter })
}

// HandlePull returns the offer for a peer that has version have in force. It returns
// false if this host has no version or an older one.
func (c *Controller) HandlePull(have int64) (Offer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cv := c.tracker.inForce
	if cv.version == 0 || cv.version < have {
		return Offer{}, false
	}
	o := Offer{Version: cv.version, Author: cv.author, Through: cv.through}
	if cv.version > have {
		o.Data = cv.data
	}
	return o, true
}

// wantsOffer reports whether an offer of the observed host may help: the host has a
// higher version, or this host can't decide changes and the other, with the same
// version, may have read further.
func (c *Controller) wantsOffer(o *observation) bool {
	t := c.tracker
	return o.version > t.inForce.version || !t.canDecide && o.version > 0 && o.version == t.inForce.version
}

// pullOnce waits until an offer is wanted and requests it from one host.
func (c *Controller) pullOnce() {
	host, have, ok := c.choosePeer()
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
		err = c.applyOffer(offer)
	}
	if err != nil {
		c.logger.V(1).Info("offer not adopted", "host", host, "error", err.Error())
	}
	c.pause(c.opts.RetryPause, nil)
}

// choosePeer returns the host to pull from: of those whose offer is wanted, the one
// asked longest ago, then the one with the highest version and the latest read of the
// log.
func (c *Controller) choosePeer() (host string, have int64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forgetSilent()
	var names []string
	for name, o := range c.observations {
		if c.wantsOffer(o) {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return "", 0, false
	}
	host = slices.MinFunc(names, func(a, b string) int {
		x, y := c.observations[a], c.observations[b]
		return cmp.Or(x.lastPull.Compare(y.lastPull), cmp.Compare(y.version, x.version), cmp.Compare(x.logAge, y.logAge), cmp.Compare(a, b))
	})
	c.observations[host].lastPull = time.Now()
	return host, c.tracker.inForce.version, true
}

func (c *Controller) applyOffer(o Offer) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.tracker.adopt(o); err != nil {
		badOffers.Add(1)
		return err
	}
	c.updateCurrent()
	return nil
}

// MayServe returns nil if this host may accept new work. It may if, within
// Options.MaxAge, it has read the log to its end and can decide changes, or if it has
// had contact with a majority of hosts and no peer has reported a higher version that
// it could not fetch.
func (c *Controller) MayServe() error {
	c.mu.Lock()
	version, age, canDecide, highestSeen := c.tracker.inForce.version, c.logAge(), c.tracker.canDecide, c.highestSeen
	// A higher version at or below an offset that has been decided was never accepted.
	behind := highestSeen > version && (!canDecide || c.tracker.decidedThrough < highestSeen)
	c.mu.Unlock()
	switch {
	case version == 0 && !canDecide:
		return ErrVersionUnknown
	case version == 0:
		return ErrNoConfig
	case canDecide && age <= c.opts.MaxAge:
		return nil
	case !c.members.HasMajority(c.opts.MaxAge):
		return oops.In("config").With("log_age", age.String()).Wrap(ErrIsolated)
	case behind:
		return oops.In("config").With("version", version, "highest", highestSeen).Wrap(ErrBehind)
	}
	return nil
}
