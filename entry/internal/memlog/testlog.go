// Package memlog is an in-memory log service with faults for tests. Only tests import
// it; it lives outside test files because the tests of several packages share it.
package memlog

import (
	"context"
	"sync"
	"time"

	"chivepost/share/logsvc"
)

// Fault is what happens to one append.
type Fault int

// The faults of an append. All but NoFault answer logsvc.ErrUnknown.
const (
	NoFault      Fault = iota
	LoseResponse       // The append takes effect.
	LoseAppend         // The append has no effect.
	DelayAppend        // The append takes effect Service.Late after the answer.
)

// callTime is how long a call takes.
const callTime = time.Millisecond

// Service is a log service. It is safe for concurrent use.
type Service struct {
	// AppendDelay is the delay of LandLate. It is set before use.
	AppendDelay time.Duration

	mu      sync.Mutex
	streams map[string]*stream
	down    bool
	hollow  int
	faults  []Fault
}

type stream struct {
	first   int64
	records []logsvc.Record
	at      []time.Time
	appends int
	grown   chan struct{}
}

func (s *stream) next() int64 { return s.first + int64(len(s.records)) }

// New returns an empty service.
func New() *Service {
	return &Service{AppendDelay: 2 * time.Second, streams: map[string]*stream{}}
}

func (s *Service) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{first: 1, grown: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

// SetDown starts or ends an outage.
func (s *Service) SetDown(down bool) { s.mu.Lock(); defer s.mu.Unlock(); s.down = down }

// OmitFirst makes pages leave out their first records, which no real service does.
func (s *Service) OmitFirst(records int) { s.mu.Lock(); defer s.mu.Unlock(); s.hollow = records }

// Inject gives the next appends these faults.
func (s *Service) Inject(faults ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, faults...)
}

// Trim drops the records below first, as if they had expired.
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

// Reset empties a stream and starts it again from offset 1, which no real service does.
func (s *Service) Reset(name string) { s.mu.Lock(); defer s.mu.Unlock(); delete(s.streams, name) }

// Put appends records without delay or fault and returns the first offset.
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
	close(st.grown)
	st.grown = make(chan struct{})
	return offset
}

// Appends returns the number of appends that took effect.
func (s *Service) Appends(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stream(name).appends
}

// Records returns the records kept.
func (s *Service) Records(name string) []logsvc.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]logsvc.Record(nil), s.stream(name).records...)
}

// Client is one host's access to the service.
type Client struct {
	s   *Service
	mu  sync.Mutex
	cut bool
	// resumed is closed when the host goes on after a pause; nil if it runs.
	resumed chan struct{}
}

// NewClient returns access for one more host.
func (s *Service) NewClient() *Client { return &Client{s: s} }

// SetDisconnected cuts the host off from the service, or ends that.
func (h *Client) SetDisconnected(cut bool) { h.mu.Lock(); defer h.mu.Unlock(); h.cut = cut }

// SetPaused holds back the answers to the host, as if its process was paused.
func (h *Client) SetPaused(paused bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case paused && h.resumed == nil:
		h.resumed = make(chan struct{})
	case !paused && h.resumed != nil:
		close(h.resumed)
		h.resumed = nil
	}
}

// enter waits out the time of a call and reports whether the service is reached.
func (h *Client) enter(ctx context.Context) error {
	select {
	case <-time.After(callTime):
	case <-ctx.Done():
		return ctx.Err()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	if h.cut || h.s.down {
		return logsvc.ErrUnavailable
	}
	return nil
}

// leave waits out a pause of the host.
func (h *Client) leave(ctx context.Context) {
	h.mu.Lock()
	resumed := h.resumed
	h.mu.Unlock()
	if resumed == nil {
		return
	}
	select {
	case <-resumed:
	case <-ctx.Done():
	}
}

// Append appends records as one append, with the next fault that was injected.
func (h *Client) Append(ctx context.Context, name string, records [][]byte) (int64, error) {
	if err := h.enter(ctx); err != nil {
		return 0, err
	}
	defer h.leave(ctx)
	s := h.s
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

// Read returns records from offset from on; at the end of the stream it waits for more.
func (h *Client) Read(ctx context.Context, name string, from int64, limit int, wait time.Duration) (logsvc.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for last := wait <= 0; ; {
		if err := h.enter(ctx); err != nil {
			return logsvc.Page{}, err
		}
		page, grown := h.s.page(name, from, limit)
		if len(page.Records) > 0 || from != page.Next || last {
			h.leave(ctx)
			return page, ctx.Err()
		}
		select {
		case <-grown:
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
	page.Records = page.Records[min(s.hollow, len(page.Records)):]
	return page, st.grown
}
