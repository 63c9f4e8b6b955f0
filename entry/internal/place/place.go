// Package place chooses model targets for the requests of a region at its home, by the prompt
// tokens that the targets still have to read. A host knows only its own requests, a small part
// of a target's load where there are many hosts; nearly all requests with long prompts pass the
// home, which learns when each gets its first event.
package place

import (
	"cmp"
	"expvar"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

var (
	placedCount   = expvar.NewInt("placed_requests_count")
	divertedCount = expvar.NewInt("placed_away_from_prefix_count")
	forgotten     = expvar.NewInt("placements_expired_count")
)

const (
	// requestTokens is the load of a running request besides its prompt, in tokens. It spreads
	// requests with short prompts.
	requestTokens = 500
	// rereadFactor is the weight of tokens that are read again although another target has
	// them cached: they take time of the target and are paid for.
	rereadFactor = 1.5
	// placementTTL is how long a request without a first event counts towards the load of its
	// target. It bounds the effect of a lost message; a target that stalls is avoided meanwhile.
	placementTTL = 4 * time.Second
	// maxPromptTokens bounds the tokens of each part that a request counts for: several times the
	// longest prompts. Callers state them, and a false figure would keep a target empty.
	maxPromptTokens = 1 << 17
	// maxPlacements bounds the placements that are kept; further ones aren't counted.
	maxPlacements = 100_000
)

// Target is a model target that may get requests.
type Target struct {
	ID         string
	DataCentre string
}

// Request is a request that needs a target.
type Request struct {
	ID            string // of its order
	Session       string // requests of a session share a prefix; empty: none
	CachedAt      string // target that has the session's prefix cached; empty: none known
	SessionTokens int    // tokens of the prefix that only that target has cached
	OwnTokens     int    // tokens that any target must read
}

type placement struct {
	target string
	tokens int
	at     time.Time
}

// Board keeps the requests placed on each target that have no first event yet. It isn't safe
// for concurrent use.
type Board struct {
	placed    map[string]placement // by order
	tokens    map[string]int       // to be read, by target
	expiredAt time.Time
}

// New returns an empty board.
func New() *Board {
	return &Board{placed: map[string]placement{}, tokens: map[string]int{}}
}

// Choose returns the target among targets that has read a request's prompt first, judged by the
// tokens ahead of it, and places the request there. It returns "" if there are no targets.
func (b *Board) Choose(r Request, targets []Target, now time.Time) string {
	b.expire(now)
	if len(targets) == 0 {
		return ""
	}
	r.OwnTokens = min(max(r.OwnTokens, 0), maxPromptTokens)
	r.SessionTokens = min(max(r.SessionTokens, 0), maxPromptTokens)
	key := cmp.Or(r.Session, r.ID) // spreads requests without a session over idle targets
	type candidate struct {
		id     string
		tokens int // to be read for this request
		cost   float64
		rank   uint64 // rendezvous hash
	}
	candidates := make([]candidate, 0, len(targets))
	for _, t := range targets {
		c := candidate{id: t.ID, tokens: r.OwnTokens + requestTokens, rank: xxhash.Sum64String(key + "\x00" + t.ID)}
		c.cost = float64(b.tokens[t.ID] + c.tokens)
		if t.ID != r.CachedAt {
			c.tokens += r.SessionTokens
			c.cost += rereadFactor * float64(r.SessionTokens)
		}
		candidates = append(candidates, c)
	}
	best := slices.MinFunc(candidates, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.cost, y.cost), cmp.Compare(y.rank, x.rank))
	})
	placedCount.Add(1)
	if r.CachedAt != "" && best.id != r.CachedAt {
		divertedCount.Add(1)
	}
	b.Done(r.ID)
	if len(b.placed) < maxPlacements {
		b.placed[r.ID] = placement{target: best.id, tokens: best.tokens, at: now}
		b.tokens[best.id] += best.tokens
	}
	return best.id
}

// Done removes a request whose target has read the prompt, or which has ended.
func (b *Board) Done(id string) {
	p, ok := b.placed[id]
	if !ok {
		return
	}
	delete(b.placed, id)
	if b.tokens[p.target] -= p.tokens; b.tokens[p.target] == 0 {
		delete(b.tokens, p.target)
	}
}

// expireInterval is how often expired placements are looked for.
const expireInterval = 250 * time.Millisecond

func (b *Board) expire(now time.Time) {
	if now.Sub(b.expiredAt) < expireInterval {
		return
	}
	b.expiredAt = now
	for id, p := range b.placed {
		if now.Sub(p.at) > placementTTL {
			forgotten.Add(1)
			b.Done(id)
		}
	}
}

// Tokens returns the prompt tokens that a target still has to read, as far as known.
func (b *Board) Tokens(target string) int { return b.tokens[target] }
