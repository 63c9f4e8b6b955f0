// Package memory accounts for the bytes that a process holds for its clients, so that the
// clients together can't exceed the memory of the machine.
package memory

import (
	"cmp"
	"errors"
	"expvar"
	"slices"
	"sync"
	"time"

	"chivepost/entry/internal/invar"
)

const (
	// SmallBytes is the largest reservation that may use the part of the account that is kept
	// for small ones.
	SmallBytes = 64 << 10
	// smallRatio is the part of the account that is kept for small reservations, so that a few
	// large ones can't starve them.
	smallRatio = 0.1
	// clientRatio is the part of the account that one client may hold. Much of a host's traffic
	// may come from one account; the rest still takes a body of the largest size.
	clientRatio = 0.8
	// StallTime is how long a holder may make no progress before it is ended in favour of
	// others. A link that carries less than ProgressBytes in this time is of no use for bodies
	// of the usual size.
	StallTime = 2 * time.Second
	// ProgressBytes is how much a holder must transfer to count as moving, so that single
	// bytes don't keep it alive.
	ProgressBytes = 16 << 10
	// blockedTime is how long a holder must have waited for its client to count as blocked.
	blockedTime = 50 * time.Millisecond
	// The holders that EndSlowest may end have made no progress for patience, or have waited for
	// their clients for StallTime in all. A response is not cut off for the latter if the client
	// takes slowWriteRate bytes a second or more.
	patience      = 500 * time.Millisecond
	slowWriteRate = 64 << 10
)

// Kind says what a holder waits for.
type Kind int

// The kinds of holders.
const (
	Reading Kind = iota // for the body of a request
	Writing             // for the client to take a response
)

// The errors of reservations that don't fit name the limit that refused.
var (
	ErrAccount = errors.New("the host has no memory left for requests of this size")
	ErrClient  = errors.New("the client holds its share of the host's memory")
)

var (
	usedBytes  = expvar.NewInt("memory_account_used_bytes")
	limitBytes = expvar.NewInt("memory_account_limit_bytes")
	peakBytes  = expvar.NewInt("memory_account_peak_bytes")
	holders    = expvar.NewInt("memory_account_holders_count")
	refusals   = expvar.NewMap("memory_account_refusals_by_limit_count")
	endedCount = expvar.NewInt("memory_account_stalled_ended_count")
	slowCount  = expvar.NewInt("memory_account_slowest_ended_count")
)

// Account is an account of the bytes held for clients. It is safe for concurrent use.
type Account struct {
	limit int64
	now   func() time.Time

	mu       sync.Mutex
	used     int64
	fixed    int64 // of used, what is held whatever the sizes of reservations
	byClient map[string]int64
	open     map[*Reservation]struct{}
}

// New returns an account of limit bytes.
func New(limit int64) *Account {
	limitBytes.Set(limit)
	return &Account{limit: limit, now: time.Now, byClient: map[string]int64{}, open: map[*Reservation]struct{}{}}
}

// Reservation is what one request holds.
type Reservation struct {
	account *Account
	client  string

	// The fields below are guarded by account.mu.
	fixed    int64 // held until it is closed
	bytes    int64
	pending  int64 // transferred since the last progress
	progress time.Time
	end      func() // ends the holder if it stalls; nil: it must not be ended
	isEnded  bool   // end was called
	kind     Kind   // what it waits for while end is set
	began    time.Time
	spent    time.Duration // waiting of this kind before began
	moved    int64         // transferred while waiting of this kind
}

// Open returns a reservation of no bytes for a client. It must be closed.
func (a *Account) Open(client string) *Reservation {
	r := &Reservation{account: a, client: client}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open[r] = struct{}{}
	holders.Set(int64(len(a.open)))
	return r
}

// Fixed returns the bytes that are held whatever the sizes of reservations.
func (a *Account) Fixed() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fixed
}

// AddFixed reserves bytes that are held until the reservation is closed, whatever its size. They are
// held outside the heap. If it returns an error, the reservation is as before.
func (r *Reservation) AddFixed(bytes int64) error {
	a := r.account
	a.mu.Lock()
	short, err := a.check(r.client, 0, bytes)
	var ends []func()
	if err == nil {
		a.reserve(r.client, bytes)
		r.fixed += bytes
		a.fixed += bytes
	} else {
		ends = a.refuse(r, err, short)
	}
	a.mu.Unlock()
	for _, end := range ends {
		end()
	}
	return err
}

// reserve changes what a client holds. The caller holds the lock.
func (a *Account) reserve(client string, bytes int64) {
	a.used += bytes
	a.byClient[client] += bytes
	invar.Check(a.used >= 0 && a.byClient[client] >= 0, "memory account: %d bytes in use, %d by one client", a.used, a.byClient[client])
	if a.byClient[client] == 0 {
		delete(a.byClient, client)
	}
	usedBytes.Set(a.used)
	peakBytes.Set(max(peakBytes.Value(), a.used))
}

// refuse counts a refusal and returns the functions that end the stalled holders in the way of a
// reservation. The caller holds the lock and calls the functions without it.
func (a *Account) refuse(r *Reservation, err error, short int64) []func() {
	if err == ErrClient { //nolint:errorlint // check returns it unwrapped
		refusals.Add("client", 1)
		return a.takeStalled(func(o *Reservation) bool { return o != r && o.client == r.client }, short)
	}
	refusals.Add("account", 1)
	return a.takeStalled(func(o *Reservation) bool { return o != r }, short)
}

// Used returns the bytes that are reserved.
func (a *Account) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// Blocked returns how many holders of a kind wait for their clients.
func (a *Account) Blocked(kind Kind) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n, now := 0, a.now()
	for r := range a.open {
		if r.end != nil && r.kind == kind && now.Sub(r.began) >= blockedTime {
			n++
		}
	}
	return n
}

// Writers returns the holders of an account that write responses.
func Writers(a *Account) *WriterSet { return &WriterSet{account: a} }

// WriterSet is the holders of an account that write responses.
type WriterSet struct{ account *Account }

// Blocked returns how many of them wait for their clients to read.
func (w *WriterSet) Blocked() int { return w.account.Blocked(Writing) }

// End ends up to n of them, those with the lowest rate first.
func (w *WriterSet) End(n int) { w.account.EndSlowest(Writing, n) }

// EndSlowest ends up to n holders of a kind, those with the lowest rate first, for a host that runs
// out of something else than memory. It returns how many it has ended.
func (a *Account) EndSlowest(kind Kind, n int) int {
	a.mu.Lock()
	now := a.now()
	var slow []*Reservation
	for r := range a.open {
		if r.end != nil && r.kind == kind && r.mayEnd(now) {
			slow = append(slow, r)
		}
	}
	slices.SortFunc(slow, func(x, y *Reservation) int { return cmp.Compare(x.rate(now), y.rate(now)) })
	slow = slow[:min(n, len(slow))]
	ends := make([]func(), 0, len(slow))
	for _, r := range slow {
		ends = append(ends, r.takeEnd())
		slowCount.Add(1)
	}
	a.mu.Unlock()
	for _, end := range ends {
		end()
	}
	return len(ends)
}

// mayEnd reports whether the holder is slow enough to be ended for others. The caller holds the
// lock of the account.
func (r *Reservation) mayEnd(now time.Time) bool {
	if now.Sub(r.progress) >= patience {
		return true
	}
	isLong := r.spent+now.Sub(r.began) >= StallTime
	return isLong && (r.kind == Reading || r.rate(now) < slowWriteRate)
}

// rate returns the bytes a second that the holder has transferred while it waited for its client.
// The caller holds the lock of the account.
func (r *Reservation) rate(now time.Time) float64 {
	return float64(r.moved) / max((r.spent+now.Sub(r.began)).Seconds(), blockedTime.Seconds())
}

// takeEnd marks the holder as ended and returns the function that ends it. The caller holds the
// lock of the account.
func (r *Reservation) takeEnd() func() {
	end := r.end
	r.end, r.isEnded = nil, true
	return end
}

// check returns an error if a client can't have more bytes for a reservation of a size, and the
// bytes that it lacks. The caller holds the lock.
func (a *Account) check(client string, size, more int64) (short int64, err error) {
	if more <= 0 {
		return 0, nil
	}
	limit := a.limit
	if size > SmallBytes {
		limit -= int64(smallRatio * float64(a.limit))
	}
	if short = a.used + more - limit; short > 0 {
		return short, ErrAccount
	}
	if short = a.byClient[client] + more - int64(clientRatio*float64(a.limit)); short > 0 {
		return short, ErrClient
	}
	return 0, nil
}

// takeStalled returns the functions that end the stalled holders that match, in the order of
// bytes times idleness, until they free the bytes needed. The caller holds the lock and calls
// the functions without it.
func (a *Account) takeStalled(matches func(*Reservation) bool, needed int64) []func() {
	now := a.now()
	var stalled []*Reservation
	for r := range a.open {
		if r.end != nil && now.Sub(r.progress) >= StallTime && matches(r) {
			stalled = append(stalled, r)
		}
	}
	weight := func(r *Reservation) float64 { return float64(r.fixed+r.bytes) * now.Sub(r.progress).Seconds() }
	slices.SortFunc(stalled, func(x, y *Reservation) int {
		switch wx, wy := weight(x), weight(y); {
		case wx > wy:
			return -1
		case wx < wy:
			return 1
		}
		return 0
	})
	var ends []func()
	for _, r := range stalled {
		if needed <= 0 {
			break
		}
		needed -= r.fixed + r.bytes
		ends = append(ends, r.takeEnd())
		endedCount.Add(1)
	}
	return ends
}

// Check returns an error if the reservation can't grow to a number of bytes now. It ends
// stalled holders that are in the way, so that a later request may fit.
func (r *Reservation) Check(bytes int64) error { return r.resize(bytes, false) }

// Grow makes the reservation one of that many bytes. If it returns an error, the reservation is
// as before.
func (r *Reservation) Grow(bytes int64) error { return r.resize(bytes, true) }

// Shrink makes the reservation one of that many bytes, which are no more than before.
func (r *Reservation) Shrink(bytes int64) {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.set(min(bytes, r.bytes))
}

func (r *Reservation) resize(bytes int64, reserve bool) error {
	a := r.account
	a.mu.Lock()
	short, err := a.check(r.client, bytes, bytes-r.bytes)
	var ends []func()
	switch {
	case err != nil:
		ends = a.refuse(r, err, short)
	case reserve:
		r.set(bytes)
	}
	a.mu.Unlock()
	for _, end := range ends {
		end()
	}
	return err
}

// set changes the size of the reservation. The caller holds the lock.
func (r *Reservation) set(bytes int64) {
	invar.Check(bytes >= 0, "memory account: %d bytes in one reservation", bytes)
	r.account.reserve(r.client, bytes-r.bytes)
	r.bytes = bytes
}

// Begin lets the account call end, at most once, if the holder is in the way of others while it
// waits for its client.
func (r *Reservation) Begin(kind Kind, end func()) {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	now := r.account.now()
	if kind != r.kind {
		r.spent, r.moved = 0, 0
	}
	r.end, r.isEnded, r.kind, r.began, r.progress, r.pending = end, false, kind, now, now, 0
}

// Moved records that bytes were transferred.
func (r *Reservation) Moved(bytes int) {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.moved += int64(bytes)
	if r.pending += int64(bytes); r.pending >= ProgressBytes {
		r.pending, r.progress = 0, r.account.now()
	}
}

// Finish keeps the account from ending the holder, and reports whether it has done so since
// Begin.
func (r *Reservation) Finish() (wasEnded bool) {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	wasEnded = r.isEnded
	if !r.began.IsZero() {
		r.spent += r.account.now().Sub(r.began)
	}
	r.end, r.isEnded, r.began = nil, false, time.Time{}
	return wasEnded
}

// Close returns all bytes to the account. A second call does nothing.
func (r *Reservation) Close() {
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.open[r]; !ok {
		return
	}
	r.set(0)
	a.reserve(r.client, -r.fixed)
	a.fixed -= r.fixed
	r.fixed = 0
	delete(a.open, r)
	r.end = nil
	invar.Check(len(a.open) > 0 || a.used == 0 && len(a.byClient) == 0, "memory account: %d bytes in use by nobody", a.used)
	holders.Set(int64(len(a.open)))
}
