package logsrv

import (
	"time"

	"chivepost/share/logsvc"
)

// stream holds the records of a stream, which have contiguous offsets. The service's lock
// guards it.
type stream struct {
	first   int64 // Offset of records[0].
	records []record
	changed chan struct{} // Closed by the next append.
}

type record struct {
	at   time.Time
	data []byte
}

func newStream() *stream { return &stream{first: 1, changed: make(chan struct{})} }

func (s *stream) next() int64 { return s.first + int64(len(s.records)) }

func (s *stream) add(records [][]byte, now time.Time) int64 {
	offset := s.next()
	for _, data := range records {
		s.records = append(s.records, record{at: now, data: data})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// prune drops the records that were appended before the limit.
func (s *stream) prune(limit time.Time) {
	n := 0
	for n < len(s.records) && s.records[n].at.Before(limit) {
		n++
	}
	s.records = s.records[n:]
	s.first += int64(n)
}

// page returns at most limit records, beginning at offset from, and the channel that the
// next append closes.
func (s *Service) page(name string, from int64, limit int) (logsvc.Page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	page := logsvc.Page{First: st.first, Next: st.next(), Records: []logsvc.Record{}}
	for offset := max(from, st.first); offset < st.next() && len(page.Records) < limit; offset++ {
		page.Records = append(page.Records, logsvc.Record{Offset: offset, Data: st.records[offset-st.first].data})
	}
	return page, st.changed
}
