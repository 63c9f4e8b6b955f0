package slots

import (
	"context"
	"time"

	"chivepost/share/hosts"
	"chivepost/share/target"
)

// Membership is the view of the entry hosts and targets.
type Membership interface {
	// Home returns the home of a group; false if there is none or it is suspected.
	Home(key, dataCentre, region string) (hosts.Host, bool)
	// HomeDuration returns for how long this host has been home without a break.
	HomeDuration(key, dataCentre, region string) (time.Duration, bool)
	// IsFresh reports whether the view may be acted on.
	IsFresh() bool
	// TargetState returns the state of a target in the host list.
	TargetState(name string) hosts.State
}

// versioned is a Membership that reports the version of its host list. Fences
// then start above those of homes under earlier versions.
type versioned interface{ ListVersion() int64 }

// Peers sends messages to other entry hosts.
type Peers interface {
	Request(ctx context.Context, to hosts.Host, req Request) (Grant, error)
	Revoke(ctx context.Context, to string, r Revoke) error
	Handover(ctx context.Context, to hosts.Host, h Handover) error
}

// Loader reads a target's load report.
type Loader interface {
	LoadReport(ctx context.Context, address string) (target.LoadReport, error)
}

// Options sets up a Controller. Zero values select the defaults given.
type Options struct {
	Host       string
	DataCentre string
	Region     string
	// Incarnation is this host's own, for its requests to itself as home.
	Incarnation uint64
	// Lease is how long a grant may be used, counted from the sending of its request
	// (2 s).
	Lease time.Duration
	// Margin is how much longer the home counts a lease, to allow for clocks that
	// run at different speeds (250 ms).
	Margin time.Duration
	// AttemptBound is the longest time that a call may run (5 s).
	AttemptBound time.Duration
	// ListLag bounds the lag of the host list, and MaxViewAge the age up to which a view
	// is fresh (2 s, 3 s). Their sum bounds the age of a view that a host acts on.
	ListLag    time.Duration
	MaxViewAge time.Duration
	// RenewInterval is the time between two requests for a group in use (500 ms).
	RenewInterval time.Duration
	// LoadPollInterval is the time between two reads of a target's load report
	// (500 ms).
	LoadPollInterval time.Duration
	// LoadStale is the time without a load report after which a target counts as
	// cold, since it may have restarted unnoticed (3 s).
	LoadStale time.Duration
	// IdleTimeout is how long idle slots are kept while no other holder waits for
	// them (250 ms).
	IdleTimeout time.Duration
	// MinInterval is the least time between two requests for a group (5 ms).
	MinInterval time.Duration
	// GroupSize is the maximum number of targets in a group (32).
	GroupSize int
}

func (o Options) withDefaults() Options {
	for _, d := range []struct {
		at    *time.Duration
		value time.Duration
	}{
		{&o.Lease, 2 * time.Second},
		{&o.Margin, 250 * time.Millisecond},
		{&o.AttemptBound, 5 * time.Second},
		{&o.ListLag, 2 * time.Second},
		{&o.MaxViewAge, 3 * time.Second},
		{&o.RenewInterval, 500 * time.Millisecond},
		{&o.LoadPollInterval, 500 * time.Millisecond},
		{&o.LoadStale, 3 * time.Second},
		{&o.IdleTimeout, 250 * time.Millisecond},
		{&o.MinInterval, 5 * time.Millisecond},
	} {
		if *d.at == 0 {
			*d.at = d.value
		}
	}
	if o.GroupSize == 0 {
		o.GroupSize = 32
	}
	return o
}

// warmWait is how long a new home waits before it grants slots of warm targets:
// until the leases granted by the previous home have expired.
//
// The first start of a deployment has to wait too, since a host can't distinguish
// it from a restart of itself or of all hosts: only the holders know the grants of
// the previous incarnation, and they may use them while disconnected from this
// host. Load reports don't help, since they lag and don't show idle leases. The
// wait costs 2.25 s per start, and load reports have arrived when it ends.
func (o Options) warmWait() time.Duration { return o.Lease + o.Margin }

// coldWait is how long a new home waits before it grants slots of cold targets:
// until the view of the previous home is too old to grant in, its leases have
// expired, and the last call under them has ended.
func (o Options) coldWait() time.Duration {
	return o.ListLag + o.MaxViewAge + o.Lease + o.Margin + o.AttemptBound
}

// countedFor is how long the home counts a grant.
func (o Options) countedFor() time.Duration { return o.Lease + o.Margin + o.AttemptBound }

// Request is a holder's request for slots of a group, with a report on the
// targets. It supersedes all earlier requests and grants: from sending it until
// the grant for it arrives, the holder uses at most Keep slots of each target.
// Targets left out have no slots kept or in use.
type Request struct {
	Group string `cbor:"group"`
	// Seq increases with each request of the holder.
	Seq uint64 `cbor:"seq"`
	// Want is the number of slots wanted in the group, those in use included.
	Want    int             `cbor:"want"`
	Targets []TargetRequest `cbor:"targets,omitempty"`
}

// TargetRequest is a holder's report on one target. State and Boot are set when
// answers have shown a new state or boot ID. Succeeded and Failed count the calls
// since the last request that was answered, and LatencySumMs sums the latencies
// of those that succeeded.
type TargetRequest struct {
	_            struct{} `cbor:",toarray"`
	Name         string
	Keep         int
	InUse        int
	Fence        uint64
	State        target.State
	Boot         string
	Succeeded    int
	Failed       int
	LatencySumMs int64
}

// Refusal is the reason for which a home refuses a request. The holder's slots
// stay as they are until their lease ends.
type Refusal string

// The reasons for a refusal.
const (
	RefusedNotHome Refusal = "not_home"
	RefusedWaiting Refusal = "waiting"
	RefusedLeaving Refusal = "leaving"
	RefusedStale   Refusal = "stale"
)

// Grant answers a request. Unless it is refused, it replaces all slots that the
// holder has of the group: targets left out get none. Lease counts from the
// sending of the request. RetryAfter, if not zero, is the time after which to
// request the slots still wanted. Contended means that other holders wait, so
// that idle slots are to be returned at once. SingleUse means that there are fewer
// slots than holders, so that a slot is to be returned after one call.
type Grant struct {
	Seq        uint64        `cbor:"seq"`
	Refused    Refusal       `cbor:"refused,omitempty"`
	Lease      time.Duration `cbor:"lease,omitempty"`
	RetryAfter time.Duration `cbor:"retry,omitempty"`
	Contended  bool          `cbor:"shared,omitempty"`
	SingleUse  bool          `cbor:"turn,omitempty"`
	Targets    []TargetGrant `cbor:"targets,omitempty"`
}

// TargetGrant is the part of a grant for one target.
type TargetGrant struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Slots int
	Fence uint64
	State target.State
}

// Revoke ends all grants of a target with a fence below Fence.
type Revoke struct {
	Group  string       `cbor:"group"`
	Target string       `cbor:"target"`
	Reason target.State `cbor:"reason"`
	Fence  uint64       `cbor:"fence"`
}

// Handover passes on all grants of a group to its next home. The sender grants no
// slots of the group after it.
type Handover struct {
	Group   string           `cbor:"group"`
	Targets []HandoverTarget `cbor:"targets"`
}

// HandoverTarget is the state of one target. HomeFor is how long the sender was
// home of it.
type HandoverTarget struct {
	Name    string          `cbor:"name"`
	State   target.State    `cbor:"state"`
	Boot    string          `cbor:"boot"`
	Limit   float64         `cbor:"limit"`
	Fence   uint64          `cbor:"fence"`
	HomeFor time.Duration   `cbor:"waited"`
	Usages  []HandoverUsage `cbor:"uses,omitempty"`
}

// HandoverUsage is the number of slots counted for one holder.
type HandoverUsage struct {
	Host        string `cbor:"host"`
	Incarnation uint64 `cbor:"incarnation"`
	Count       int    `cbor:"count"`
}
