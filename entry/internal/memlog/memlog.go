// Package memlog is an in-memory log service for tests that can inject faults. It is
// not a test file because the tests of several packages share it.
package memlog

import (
	"context"
	"sync"
	"time"

	"chivepost/share/logsvc"
)

// Fault is a fault of one append.
type Fault int

// The faults of an append. Every fault except NoFault returns logsvc.ErrUnknown.
const (
	NoFault      Fault = iota
	LoseResponse       // The append takes effect.
	LoseAppend         // The append has no effect.
	DelayAppend        // The append takes effect Service.AppendDelay after the response.
)

// callDuration is how long each call takes.
const callDuration = time.Millisecond

// Service is a log service in memory. It is safe for concurrent use.
type Service struct {
	// AppendDelay is the delay of DelayAppend. It must be set before such an append.
	AppendDelay time.Duration

	mu        sync.Mutex
	streams   map[string]*stream
	down      bool
	omitFirst int
	faults    []Fault
}

// stream holds the kept records of a stream; at is when each was appended, and appended
// is closed at the next append.
type stream struct {
	first    int64
	records  []logsvc.Record
	at       []time.Time
	appends  int
	appended chan struct{}
}

func (s *stream) next() int64 { return s.first + int64(len(s.records)) }

// New returns an empty service.
func New() *Service {
	return &Service{AppendDelay: 2 * time.Second, streams: map[string]*stream{}}
}

func (s *Service) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{first: 1, appended: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

// SetDown starts or ends an outage.
func (s *Service) SetDown(down bool) { s.mu.Lock(); defer s.mu.Unlock(); s.down = down }

// OmitFirst makes each page omit the given number of its first records, which no
// correct service does.
func (s *Service) OmitFirst(records int) { s.mu.Lock(); defer s.mu.Unlock(); s.omitFirst = records }

// Inject queues faults for the next appends, one each.
func (s *Service) Inject(faults ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, faults...)
}

// Trim drops the records below offset first, as if they had expired.
func (s *Service) Trim(name string, first int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	if n := min(first, st.next()) - st.first; n > 0 {
		st.first, st.records, st.at = st.first+n, st.records[n:], st.at[n:]
	}
}

// Expire drops the records of a stream that are older than age.
func (s *Service) Expire(name string, age time.Duration) {
	s.mu.Lock()
	first := s.stream(name).first
	for _, at := range s.stream(name).at {
		if time.Since(at) > age {
			first++
		}
	}
	s.mu.Unlock()
	s.Trim(name, first)
}

// Reset empties a stream and restarts it from offset 1, which no correct service does.
func (s *Service) Reset(name string) { s.mu.Lock(); defer s.mu.Unlock(); delete(s.streams, name) }

// Put appends records without delay or faults and returns the offset of the first.
func (s *Service) Put(name string, records ...[]byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(name, records)
}

func (s *Service) put(name string, records [][]byte) int64 {
	st := s.stream(name)
	offset := st.next()
	for i, data := range records {
		st.records = append(st.records, logsvc.Record{Offset: offset + int64(i), Data: data})
		st.at = append(st.at, time.Now())
	}
	st.appends++
	close(st.appended)
	st.appended = make(chan struct{})
	return offset
}

// Appends returns the number of appends to a stream that took effect.
func (s *Service) Appends(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stream(name).appends
}

// Records returns the records of a stream that are kept.
func (s *Service) Records(name string) []logsvc.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]logsvc.Record(nil), s.stream(name).records...)
}

// Client is a host's connection to the service.
type Client struct {
	s            *Service
	mu           sync.Mutex
	disconnected bool
	// resumed is closed when a pause of the host ends; nil while the host runs.
	resumed chan struct{}
}

// NewClient returns a client for another host.
func (s *Service) NewClient() *Client { return &Client{s: s} }

// SetDisconnected disconnects the host from the service or reconnects it.
func (c *Client) SetDisconnected(disconnected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnected = disconnected
}

// SetPaused delays the responses to the host until the pause ends, as if its process
// were paused.
func (c *Client) SetPaused(paused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case paused && c.resumed == nil:
		c.resumed = make(chan struct{})
	case !paused && c.resumed != nil:
		close(c.resumed)
		c.resumed = nil
	}
}

// startCall waits for callDuration and returns an error if the service can't be reached.
func (c *Client) startCall(ctx context.Context) error {
	select {
	case <-time.After(callDuration):
	case <-ctx.Done():
		return ctx.Err()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if c.disconnected || c.s.down {
		return logsvc.ErrUnavailable
	}
	return nil
}

// endCall waits until a pause of the host ends.
func (c *Client) endCall(ctx context.Context) {
	c.mu.Lock()
	resumed := c.resumed
	c.mu.Unlock()
	if resumed == nil {
		return
	}
	select {
	case <-resumed:
	case <-ctx.Done():
	}
}

// Append appends records with the next injected fault, if any.
func (c *Client) Append(ctx context.Context, name string, records [][]byte) (int64, error) {
	if err := c.startCall(ctx); err != nil {
		return 0, err
	}
	defer c.endCall(ctx)
	s := c.s
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := NoFault
	if len(s.faults) > 0 {
		fault, s.faults = s.faults[0], s.faults[1:]
	}
	switch fault {
	case NoFault:
		return s.put(name, records), nil
	case LoseResponse:
		s.put(name, records)
	case DelayAppend:
		time.AfterFunc(s.AppendDelay, func() { s.Put(name, records...) })
	}
	return 0, logsvc.ErrUnknown
}

// Read returns up to limit records from offset from. At the end of the stream it waits
// for more for up to wait.
func (c *Client) Read(ctx context.Context, name string, from int64, limit int, wait time.Duration) (logsvc.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for last := wait <= 0; ; {
		if err := c.startCall(ctx); err != nil {
			return logsvc.Page{}, err
		}
		page, appended := c.s.page(name, from, limit)
		if len(page.Records) > 0 || from != page.Next || last {
			c.endCall(ctx)
			return page, ctx.Err()
		}
		select {
		case <-appended:
		case <-timer.C:
			last = true
		case <-ctx.Done():
			return logsvc.Page{}, ctx.Err()
		}
	}
}

func (s *Service) page(name string, from int64, limit int) (logsvc.Page, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	page := logsvc.Page{First: st.first, Next: st.next()}
	if i := max(from, st.first) - st.first; i < int64(len(st.records)) {
		page.Records = append(page.Records, st.records[i:min(i+int64(limit), int64(len(st.records)))]...)
	}
	page.Records = page.Records[min(s.omitFirst, len(page.Records)):]
	return page, st.appended
}
