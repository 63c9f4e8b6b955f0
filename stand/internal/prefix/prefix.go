// Package prefix implements an engine's prompt prefix cache of limited size.
package prefix

import (
	"container/list"
	"sync"
	"time"

	"chivepost/share/target"
)

// Options configure a Cache.
type Options struct {
	// Blocks is the capacity in blocks.
	Blocks int
	// EventLag is the time until an event is published.
	EventLag time.Duration
	// IsLost reports whether the event with this number is never published.
	IsLost func(seq int64) bool
}

// Cache holds the most recently used blocks.
type Cache struct {
	opts Options

	mu     sync.Mutex
	lru    *list.List // Block names, the most recently used first.
	blocks map[string]*list.Element
	seq    int64
	events []event
}

type event struct {
	at time.Time
	target.CacheEvent
}

// maxEvents bounds the number of events held for readers.
const maxEvents = 4096

// New returns an empty cache.
func New(opts Options) *Cache {
	return &Cache{opts: opts, lru: list.New(), blocks: map[string]*list.Element{}}
}

// Use stores the missing blocks of a prompt, marks all of them as used and returns how many
// leading blocks were present.
func (c *Cache) Use(blocks []string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	hits := c.leadingHits(blocks)
	for _, b := range blocks {
		if e := c.blocks[b]; e != nil {
			c.lru.MoveToFront(e)
			continue
		}
		c.blocks[b] = c.lru.PushFront(b)
		c.addEvent(target.CacheStored, b)
	}
	for c.lru.Len() > c.opts.Blocks {
		oldest := c.lru.Back()
		name := c.lru.Remove(oldest).(string)
		delete(c.blocks, name)
		c.addEvent(target.CacheRemoved, name)
	}
	return hits
}

// Match returns how many leading blocks are present. It doesn't mark them as used.
func (c *Cache) Match(blocks []string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leadingHits(blocks)
}

// leadingHits returns how many leading blocks are present. The caller holds the lock.
func (c *Cache) leadingHits(blocks []string) int {
	hits := 0
	for hits < len(blocks) && c.blocks[blocks[hits]] != nil {
		hits++
	}
	return hits
}

// Clear empties the cache, as a restart does.
func (c *Cache) Clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lru.Init()
	clear(c.blocks)
	c.addEvent(target.CacheCleared, "")
}

// addEvent adds an event unless it is to be lost. The caller holds the lock.
func (c *Cache) addEvent(kind, block string) {
	c.seq++
	if c.opts.IsLost != nil && c.opts.IsLost(c.seq) {
		return
	}
	c.events = append(c.events, event{at: time.Now(), CacheEvent: target.CacheEvent{Seq: c.seq, Kind: kind, Block: block}})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// Events returns the published events with a sequence number of at least from. The caller
// sets Boot.
func (c *Cache) Events(from int64) target.CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	newestVisible := time.Now().Add(-c.opts.EventLag)
	out := target.CacheEvents{First: 1, Next: max(from, 1), Events: []target.CacheEvent{}}
	if len(c.events) > 0 {
		out.First = c.events[0].Seq
	}
	for _, e := range c.events {
		if e.at.After(newestVisible) {
			break
		}
		if e.Seq >= from {
			out.Events = append(out.Events, e.CacheEvent)
		}
		out.Next = max(out.Next, e.Seq+1)
	}
	return out
}
