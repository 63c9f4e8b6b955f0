package route

import (
	"slices"
	"time"

	"github.com/samber/oops"
)

// Names of the policies.
const (
	Chivepost        = "chivepost"
	RoundRobin       = "round_robin"
	LeastOutstanding = "least_outstanding"
)

// Request describes the call to place.
type Request struct {
	Pool string
	// Prefix is the hash of the prompt prefix, 0 when the call has none.
	Prefix uint64
	// DataCentre and Region locate this entry host.
	DataCentre string
	Region     string
	// Wait is how long the call has waited for a slot.
	Wait time.Duration
	// Exclude lists the targets already tried. They are used again only if the
	// pool has no other target.
	Exclude Set
}

// Policy chooses the target of a call. It is safe for concurrent use.
type Policy interface {
	Name() string
	// Pick returns the index of the chosen target, or -1 if no target can take the
	// call now.
	Pick(req Request, targets []Target) int
}

// Set is a small set of target names.
type Set []string

// Has reports whether name is in the set.
func (s Set) Has(name string) bool { return slices.Contains(s, name) }

// With returns the set with name added. It does not modify s.
func (s Set) With(name string) Set {
	if s.Has(name) {
		return s
	}
	return append(slices.Clip(s), name)
}

// covers reports whether the set contains every target that isn't leaving.
func (s Set) covers(targets []Target) bool {
	if len(s) == 0 {
		return false
	}
	for i := range targets {
		if !targets[i].isLeaving() && !s.Has(targets[i].Name) {
			return false
		}
	}
	return true
}

// Options configures the default policy. The zero value selects the defaults.
type Options struct {
	// SpillWait is how long a call waits for a slot before it may go to another
	// region. It reflects the cost of going there: a round trip of 40 ms, computing the
	// prefix again and the billed bytes (default 100 ms).
	SpillWait time.Duration
	// LoadFactor limits the calls in flight at the preferred target of a prefix, as
	// a multiple of the mean of its tier (default 1.25).
	LoadFactor float64
}

// New returns the policy called name; an empty name selects Chivepost.
func New(name string, opts Options) (Policy, error) {
	if opts.SpillWait == 0 {
		opts.SpillWait = 100 * time.Millisecond
	}
	if opts.LoadFactor == 0 {
		opts.LoadFactor = 1.25
	}
	switch name {
	case "", Chivepost:
		return &prefixPolicy{opts: opts}, nil
	case RoundRobin:
		return &roundRobin{}, nil
	case LeastOutstanding:
		return &leastOutstanding{}, nil
	default:
		return nil, oops.With("policy", name).Errorf("unknown policy %q: must be %s, %s or %s", name, Chivepost, RoundRobin, LeastOutstanding)
	}
}
