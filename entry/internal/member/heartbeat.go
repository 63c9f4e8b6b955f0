// Package member maintains an entry host's view of the other hosts: the platform's
// host list, the peers whose heartbeats arrive, and the home of each group.
package member

import (
	"context"
	"time"

	"chivepost/share/hosts"
)

// State is the state that an entry host reports in its heartbeats.
type State string

// The states of entry hosts.
const (
	StateStarting State = "starting"
	StateServing  State = "serving"
	StateLeaving  State = "leaving"
	StateStopped  State = "stopped"
)

// Heartbeat is the message that entry hosts exchange periodically. Interval is the
// time until the sender's next one to the same peer. LogAge is the time since the
// sender last reached the log service, negative if it never has.
type Heartbeat struct {
	Host          string        `cbor:"host"`
	Incarnation   uint64        `cbor:"incarnation"`
	State         State         `cbor:"state"`
	Interval      time.Duration `cbor:"interval"`
	ConfigVersion int64         `cbor:"config_version"`
	ListVersion   int64         `cbor:"list_version"`
	LogAge        time.Duration `cbor:"log_age"`
}

// Lister reads the platform's host list.
type Lister interface {
	Hosts(ctx context.Context) (hosts.List, error)
}

// HeartbeatSender sends this host's heartbeat to a peer and returns the peer's.
type HeartbeatSender interface {
	SendHeartbeat(ctx context.Context, to hosts.Host, b Heartbeat) (Heartbeat, error)
}

// SuspectAfterIntervals is the number of intervals without a heartbeat after which
// a peer is suspected, in units of the Interval that it last sent. On a link that
// loses a tenth of the heartbeats, six in a row are lost with a probability of
// 1e-6, and a garbage collection or a reconnection ends well within six intervals
// of a second.
const SuspectAfterIntervals = 6

// fullRoundMax is the number of entry hosts up to which each round of heartbeats
// goes to every peer.
const fullRoundMax = 9

// Options sets up a Controller. Zero values select the defaults given.
type Options struct {
	Self        hosts.Host
	Incarnation uint64
	// ListLag is the maximum lag of the host list (2 s).
	ListLag time.Duration
	// MaxViewAge is the age up to which the view is fresh (3 s).
	MaxViewAge time.Duration
	// PollInterval is the time between two reads of the host list (500 ms).
	PollInterval time.Duration
	// HeartbeatInterval is the time between two rounds of heartbeats (1 s).
	HeartbeatInterval time.Duration
	// StartupGrace is how long a peer that has sent no heartbeat yet isn't suspected
	// (10 s).
	StartupGrace time.Duration
	// FanOut is the number of peers per round in fleets of more than nine hosts (4).
	FanOut int
	// Seed makes the random choice of peers repeatable.
	Seed uint64
}

func (o Options) withDefaults() Options {
	for _, d := range []struct {
		at    *time.Duration
		value time.Duration
	}{
		{&o.ListLag, 2 * time.Second},
		{&o.MaxViewAge, 3 * time.Second},
		{&o.PollInterval, 500 * time.Millisecond},
		{&o.HeartbeatInterval, time.Second},
		{&o.StartupGrace, 10 * time.Second},
	} {
		if *d.at == 0 {
			*d.at = d.value
		}
	}
	if o.FanOut == 0 {
		o.FanOut = 4
	}
	return o
}
