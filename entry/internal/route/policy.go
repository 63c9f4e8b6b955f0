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

// Request is what a policy knows of the call to place.
type Request struct {
	Pool string
	// Prefix is the hash of the prompt prefix, 0 when the call has none.
	Prefix uint64
	// DataCentre and Region are those of this entry host.
	DataCentre string
	Region     string
	// Wait is how long the call has waited for a slot.
	Wait time.Duration
	// Exclude names the targets already tried. They are used again only if the
	// pool has no other target.
	Exclude Set
}

// Policy chooses the target of a call. It is safe for concurrent use.
type Policy interface {
	Name() string
	// Pick returns the index of the chosen target, or -1 when none may be used now.
	Pick(req Request, targets []Target) int
}

// Set is a small set of target names.
type Set []string

// Has reports whether name is in the set.
func (s Set) Has(name string) bool { return slices.Contains(s, name) }

// With returns the set with name added. It leaves s as it was.
func (s Set) With(name string) Set {
	if s.Has(name) {
		return s
	}
	return append(slices.Clip(s), name)
}

// covers reports whether every target that still takes work is in the set.
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

// Options sets the default policy. The zero value selects the defaults.
type Options struct {
	// SpillWait is the wait above which a call goes to another region: a round
	// trip of 40 ms, the prefix to be computed there again and the billed bytes
	// (default 100 ms).
	SpillWait time.Duration
	// LoadFactor limits the calls in flight of a preferred target, as a multiple of
	// the mean (default 1.25).
	LoadFactor float64
}

// New returns the policy called name; an empty name selects the default.
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
		return nil, oops.With("policy", name).Errorf("policy %q: want %s, %s or %s", name, Chivepost, RoundRobin, LeastOutstanding)
	}
}
