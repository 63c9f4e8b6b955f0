// Package prefix is an engine's prompt prefix cache of limited memory.
package prefix

import (
	"container/list"
	"sync"
	"time"

	"chivepost/share/target"
)

// Options set up a Cache.
type Options struct {
	// Blocks is the number of blocks that fit.
	Blocks int
	// EventLag is how old events are before they are published.
	EventLag time.Duration
	// IsLost reports whether the event with this number is never published.
	IsLost func(seq int64) bool
}

// Cache keeps the blocks used last.
type Cache struct {
	opts Options

	mu     sync.Mutex
	order  *list.List // Front is the block used last; values are names.
	blocks map[string]*list.Element
	seq    int64
	events []event
}

type event struct {
	at time.Time
	target.CacheEvent
}

// maxEvents bounds the events kept for readers.
const maxEvents = 4096

// New returns an empty cache.
func New(opts Options) *Cache {
	return &Cache{opts: opts, order: list.New(), blocks: map[string]*list.Element{}}
}

// Use looks up the blocks of a prompt, stores those that are missing and returns
// how many leading blocks were present.
func (c *Cache) Use(blocks []string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	hits := c.match(blocks)
	for _, b := range blocks {
		if e := c.blocks[b]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[b] = c.order.PushFront(b)
		c.publish(target.CacheStored, b)
	}
	for c.order.Len() > c.opts.Blocks {
		last := c.order.Back()
		name := c.order.Remove(last).(string)
		delete(c.blocks, name)
		c.publish(target.CacheRemoved, name)
	}
	return hits
}

// Match returns how many leading blocks are present and changes nothing.
func (c *Cache) Match(blocks []string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.match(blocks)
}

func (c *Cache) match(blocks []string) int {
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
	c.order.Init()
	clear(c.blocks)
	c.publish(target.CacheCleared, "")
}

// publish queues an event. The caller holds the lock.
func (c *Cache) publish(kind, block string) {
	c.seq++
	if c.opts.IsLost != nil && c.opts.IsLost(c.seq) {
		return
	}
	c.events = append(c.events, event{at: time.Now(), CacheEvent: target.CacheEvent{Seq: c.seq, Kind: kind, Block: block}})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// Events returns the published events from number from on. The Boot is left to the caller.
func (c *Cache) Events(from int64) target.CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := time.Now().Add(-c.opts.EventLag)
	out := target.CacheEvents{First: 1, Next: max(from, 1), Events: []target.CacheEvent{}}
	if len(c.events) > 0 {
		out.First = c.events[0].Seq
	}
	for _, e := range c.events {
		if e.at.After(limit) {
			break
		}
		if e.Seq >= from {
			out.Events = append(out.Events, e.CacheEvent)
		}
		out.Next = max(out.Next, e.Seq+1)
	}
	return out
}
