package target

import (
	"crypto/sha256"
	"encoding/hex"
)

// PrefixBlockBytes is the number of bytes of a prompt that engines cache as one block.
const PrefixBlockBytes = 64

// TokenBytes is the number of prompt bytes that engines count as one token.
const TokenBytes = 4

// PrefixBlockHashes returns a hash for each whole block of a prompt. A hash covers the
// block and all blocks before it, so equal hashes mean equal prefixes.
func PrefixBlockHashes(prompt string) []string {
	var blocks []string
	var sum [sha256.Size]byte
	for len(prompt) >= PrefixBlockBytes {
		sum = sha256.Sum256(append(sum[:], prompt[:PrefixBlockBytes]...))
		blocks = append(blocks, hex.EncodeToString(sum[:8]))
		prompt = prompt[PrefixBlockBytes:]
	}
	return blocks
}

// Kinds of cache events.
const (
	CacheStored  = "stored"
	CacheRemoved = "removed"
	CacheCleared = "cleared"
)

// CacheEvent is one change of an engine's prefix cache. Seq grows by one with each
// change, so a gap means that events were lost.
type CacheEvent struct {
	Seq   int64  `json:"seq"`
	Kind  string `json:"kind"`
	Block string `json:"block,omitempty"`
}

// CacheEvents is the response to GET /v1/cache/events?from=N. First is the oldest Seq
// still kept, Next the value of from for the next request.
type CacheEvents struct {
	Boot   string       `json:"boot"`
	First  int64        `json:"first"`
	Next   int64        `json:"next"`
	Events []CacheEvent `json:"events"`
}

// LedgerEntry counts how often a plain service executed the work with an ID.
type LedgerEntry struct {
	ID    string `json:"id"`
	Pool  string `json:"pool,omitempty"`
	Count int    `json:"count"`
}

// Ledger is the response to GET /v1/ledger. Entries are sorted by ID.
type Ledger struct {
	Entries []LedgerEntry `json:"entries"`
}
