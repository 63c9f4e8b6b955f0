// Package route chooses the target of a stage attempt.
package route

import (
	"github.com/cespare/xxhash/v2"

	"chivepost/share/target"
)

// Target is what an entry host knows of one target when it chooses. Free is the
// number of slots that it could use now, InUse the calls that it has in flight,
// Limit the slots that it holds. Hash and Near are set by Prepare; a policy
// computes them in each decision when they are 0.
type Target struct {
	Name       string
	DataCentre string
	Region     string
	Address    string
	State      target.State
	Free       int
	InUse      int
	Limit      int
	Hash       uint64
	Tier       Tier
}

// Tier is the distance of a target from the entry host.
type Tier uint8

// The tiers, nearest first; 0 means not known.
const (
	TierDataCentre Tier = iota + 1
	TierRegion
	TierRemote
)

const tiers = int(TierRemote) + 1

// Prepare sets what does not change while the target is in the configuration:
// the hash of its name and its distance from the entry host. Comparing the names
// of places takes about half of a decision over 1,300 targets.
func (t *Target) Prepare(dataCentre, region string) {
	t.Hash = HashName(t.Name)
	t.Tier = t.tierFrom(dataCentre, region)
}

func (t *Target) tierFrom(dataCentre, region string) Tier {
	switch {
	case t.DataCentre == dataCentre:
		return TierDataCentre
	case t.Region == region:
		return TierRegion
	default:
		return TierRemote
	}
}

func (t *Target) tier(req *Request) Tier {
	if t.Tier != 0 {
		return t.Tier
	}
	return t.tierFrom(req.DataCentre, req.Region)
}

// HashName returns the hash of a target's name for rendezvous scores.
func HashName(name string) uint64 { return xxhash.Sum64String(name) }

// HashPrefix returns the hash of a prompt prefix, never 0.
func HashPrefix(prefix string) uint64 { return max(1, xxhash.Sum64String(prefix)) }

func (t *Target) isLeaving() bool { return t.State == target.StateLeaving }

func (t *Target) isWarm() bool { return t.State == target.StateWarm }

// score ranks the target for a prefix: the highest score of the pool wins, so a
// target that joins or leaves moves only its own prefixes.
func (t *Target) score(prefix uint64) uint64 {
	h := t.Hash
	if h == 0 {
		h = HashName(t.Name)
	}
	// The finaliser of splitmix64 spreads the bits of the two hashes.
	h ^= prefix
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
