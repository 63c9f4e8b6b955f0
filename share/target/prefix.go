package target

import (
	"crypto/sha256"
	"encoding/hex"
)

// PrefixBlockBytes is the number of bytes of a prompt that engines cache as one block.
const PrefixBlockBytes = 64

// TokenBytes is the number of prompt bytes that engines count as one token.
const TokenBytes = 4

// PrefixBlockHashes returns the names of the whole blocks of a prompt. The name of a
// block depends on all blocks before it, so equal names mean equal prefixes.
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
// change; a missing number is an event that was lost.
type CacheEvent struct {
	Seq   int64  `json:"seq"`
	Kind  string `json:"kind"`
	Block string `json:"block,omitempty"`
}

// CacheEvents answers GET /v1/cache/events?from=N. Next is the number to read from
// the next time; First is the oldest number still kept.
type CacheEvents struct {
	Boot   string       `json:"boot"`
	First  int64        `json:"first"`
	Next   int64        `json:"next"`
	Events []CacheEvent `json:"events"`
}

// LedgerEntry counts the executions of one piece of work at a plain service.
type LedgerEntry struct {
	ID    string `json:"id"`
	Pool  string `json:"pool,omitempty"`
	Count int    `json:"count"`
}

// Ledger answers GET /v1/ledger, sorted by ID.
type Ledger struct {
	Entries []LedgerEntry `json:"entries"`
}
