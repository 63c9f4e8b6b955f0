package slots

import (
	"context"
	"time"

	"chivepost/share/hosts"
	"chivepost/share/target"
)

// Membership is the view of the other hosts.
type Membership interface {
	// Home returns the home of a group; false if there is none to ask.
	Home(key, dataCentre, region string) (hosts.Host, bool)
	// HomeDuration returns for how long this host has been home without a break.
	HomeDuration(key, dataCentre, region string) (time.Duration, bool)
	IsFresh() bool
	TargetState(name string) hosts.State
}

// versioned is a Membership that knows the version of its host list. Fences then
// start above those of homes of earlier versions.
type versioned interface{ ListVersion() int64 }

// Peers sends messages to other entry hosts.
type Peers interface {
	Request(ctx context.Context, to hosts.Host, ask Request) (Grant, error)
	Revoke(ctx context.Context, to string, r Revoke) error
	Handover(ctx context.Context, to hosts.Host, h Handover) error
}

// Loader reads a target's load report.
type Loader interface {
	Load(ctx context.Context, address string) (target.Load, error)
}

// Options sets up a Controller. Zero values select the defaults given.
type Options struct {
	Host       string
	DataCentre string
	Region     string
	// Incarnation is this host's, for the asks that it makes of itself.
	Incarnation uint64
	// Lease is how long a grant may be used from before it was asked for (2 s).
	Lease time.Duration
	// Margin is for how much longer the home counts a lease, for clocks that run
	// at different speeds (250 ms).
	Margin time.Duration
	// AttemptBound is the longest time that a call may run (5 s).
	AttemptBound time.Duration
	// ListLag and ViewMax bound the age of another host's view (2 s, 3 s).
	ListLag time.Duration
	ViewMax time.Duration
	// RenewInterval is the time between two asks for a group in use (500 ms).
	RenewInterval time.Duration
	// LoadPollInterval is the time between two load reports of a target (500 ms).
	LoadPollInterval time.Duration
	// LoadStale is the time without a load report after which a target counts as
	// cold, since it may have restarted meanwhile (3 s).
	LoadStale time.Duration
	// IdleTimeout is for how long idle slots are kept when nobody waits for them (250 ms).
	IdleTimeout time.Duration
	// MinInterval is the least time between two asks for a group (5 ms).
	MinInterval time.Duration
	// GroupSize is the most targets in a group (32).
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
		{&o.ViewMax, 3 * time.Second},
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
// the leases of the home before have then expired.
//
// The very first start of a home can't skip it. A host that has just started
// can't tell the first start of a deployment from a restart of all hosts or of
// itself: the grants of the incarnation before are known only to their holders,
// which may be cut off from it and still use them. Load reports don't help,
// since they lag and say nothing of leases that are idle. The wait costs 2.25 s
// once per start, and load reports have come in when it ends.
func (o Options) warmWait() time.Duration { return o.Lease + o.Margin }

// coldWait is how long a new home waits before it grants slots of cold targets:
// the home before may have granted until its view was too old, its leases have
// run out, and the last call under them has ended.
func (o Options) coldWait() time.Duration {
	return o.ListLag + o.ViewMax + o.Lease + o.Margin + o.AttemptBound
}

// counted is how long the home counts a grant.
func (o Options) counted() time.Duration { return o.Lease + o.Margin + o.AttemptBound }

// Request is a holder's demand for a group, with what it knows of the targets. It
// supersedes all earlier asks and gives: from its sending on, the holder uses no
// more than Keep slots of a target until the give for this ask. Targets left out
// are neither kept nor in use.
type Request struct {
	Group string `cbor:"group"`
	// Seq grows with each ask of the holder.
	Seq uint64 `cbor:"seq"`
	// Want is the number of slots wanted in the group, those in use included.
	Want    int             `cbor:"want"`
	Targets []TargetRequest `cbor:"targets,omitempty"`
}

// TargetRequest is what a holder says of one target. State and Boot are set when
// answers have shown something new. Good, Bad and Took (milliseconds over the
// good ones) sum up the calls since the last ask that was answered.
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

// Refusal says why a home has answered an ask without slots. Slots of the
// holder stay as they are, until their lease ends.
type Refusal string

// The reasons for a refusal.
const (
	RefusedNotHome Refusal = "not_home"
	RefusedWaiting Refusal = "waiting"
	RefusedLeaving Refusal = "leaving"
	RefusedStale   Refusal = "stale"
)

// Grant answers an ask. It replaces all that the holder has of the group: targets
// left out get no slots. Lease counts from before the ask was sent. Retry, if
// not zero, is when to ask again for what is still wanted. Shared says that
// others wait, so idle slots are to be returned at once; Turn that there are
// fewer slots than holders, so a slot is to be returned after one call.
type Grant struct {
	Seq        uint64        `cbor:"seq"`
	Refused    Refusal       `cbor:"refused,omitempty"`
	Lease      time.Duration `cbor:"lease,omitempty"`
	RetryAfter time.Duration `cbor:"retry,omitempty"`
	Contended  bool          `cbor:"shared,omitempty"`
	SingleUse  bool          `cbor:"turn,omitempty"`
	Targets    []TargetGrant `cbor:"targets,omitempty"`
}

// TargetGrant is what a home grants of one target.
type TargetGrant struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Slots int
	Fence uint64
	State target.State
}

// Revoke ends all grants of a target with a fence below the one given.
type Revoke struct {
	Group  string       `cbor:"group"`
	Target string       `cbor:"target"`
	Reason target.State `cbor:"reason"`
	Fence  uint64       `cbor:"fence"`
}

// Handover tells the next home all that the sender has granted. The sender
// grants nothing of the group after it.
type Handover struct {
	Group   string           `cbor:"group"`
	Targets []HandoverTarget `cbor:"targets"`
}

// HandoverTarget is the state of one target. Waited is how long the sender had
// been home of it.
type HandoverTarget struct {
	Name    string        `cbor:"name"`
	State   target.State  `cbor:"state"`
	Boot    string        `cbor:"boot"`
	Limit   float64       `cbor:"limit"`
	Fence   uint64        `cbor:"fence"`
	HomeFor time.Duration `cbor:"waited"`
	Uses    []HandoverUse `cbor:"uses,omitempty"`
}

// HandoverUse is the number of slots counted for one holder.
type HandoverUse struct {
	Host        string `cbor:"host"`
	Incarnation uint64 `cbor:"incarnation"`
	Count       int    `cbor:"count"`
}
