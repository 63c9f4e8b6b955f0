package soak

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"chivepost/platform/feed"
	"chivepost/platform/store"
)

// fakeStore is a stand-in of the platform's store: topics of one partition that retain
// the newest record of each key. It can be restored from a copy.
type fakeStore struct {
	mu     sync.Mutex
	era    int64
	topics map[string]*topic
	lost   map[topicKey][]byte // newest record of each key that a restore dropped and nobody wrote again
}

type topic struct {
	records   [][]byte      // key length, key, value
	compacted [][]byte      // newest record of each key among the dropped ones
	times     []time.Time   // when each of records was appended
	first     int64         // offset of records[0]
	appended  chan struct{} // closed at the next append
}

func newFakeStore() *fakeStore {
	return &fakeStore{era: 1, topics: map[string]*topic{}, lost: map[topicKey][]byte{}}
}

// topic returns a topic, which it creates on first use. The caller holds the lock.
func (s *fakeStore) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{appended: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put appends a record. A nil value removes the key.
func (s *fakeStore) put(name, key string, value []byte) {
	record := append(append([]byte{byte(len(key))}, key...), value...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, record)
}

// append adds a record and wakes waiting reads. The caller holds the lock.
func (s *fakeStore) append(name string, record []byte) {
	t := s.topic(name)
	delete(s.lost, topicKey{name, recordKey(record)})
	t.records, t.times = append(t.records, record), append(t.times, time.Now())
	close(t.appended)
	t.appended = make(chan struct{})
}

// dropHistory drops all records of a topic but the newest of each key, so that reads of
// old offsets fail.
func (s *fakeStore) dropHistory(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.compacted = t.newest()
	t.first += int64(len(t.records))
	t.records, t.times = nil, nil
}

// topicKey identifies the records of one key.
type topicKey struct{ topic, key string }

// restore brings the store back from a copy of an age, in a new era. Offsets of the lost records
// are given out again.
func (s *fakeStore) restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	copiedAt := time.Now().Add(-age)
	for name, t := range s.topics {
		n, _ := slices.BinarySearchFunc(t.times, copiedAt, time.Time.Compare)
		for _, r := range t.records[n:] {
			if name != feed.TopicHosts { // the hosts' own task
				s.lost[topicKey{name, recordKey(r)}] = r
			}
		}
		t.records, t.times = slices.Clip(t.records[:n]), slices.Clip(t.times[:n])
		close(t.appended)
		t.appended = make(chan struct{})
	}
}

// rewrite appends the newest lost record of each key that was not written since, as operators
// and targets do.
func (s *fakeStore) rewrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, r := range maps.Clone(s.lost) {
		s.append(k.topic, r)
	}
}

// recordKey returns the key of a record.
func recordKey(r []byte) string { return string(r[1 : 1+int(r[0])]) }

// setEra names the era in an answer. The caller holds the lock.
func (s *fakeStore) setEra(w http.ResponseWriter) {
	w.Header().Set(store.HeaderEra, strconv.FormatInt(s.era, 10))
}

// newest returns the newest record of each key that isn't removed, in order of append.
func (t *topic) newest() [][]byte {
	seen := map[string]bool{}
	var out [][]byte
	for _, r := range slices.Backward(slices.Concat(t.compacted, t.records)) {
		key := recordKey(r)
		if !seen[key] {
			seen[key] = true
			if len(r) > 1+int(r[0]) {
				out = append(out, r)
			}
		}
	}
	slices.Reverse(out)
	return out
}

// ServeHTTP implements the calls of the store's protocol that chivepost makes.
func (s *fakeStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get(store.ParamTopic)
	switch r.URL.Path {
	case store.PathNewest:
		s.serveNewest(w, name)
	case store.PathRead:
		s.serveRead(r.Context(), w, name, r)
	case store.PathAppend:
		body, err := io.ReadAll(r.Body)
		if err != nil || len(body) < 5 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		s.setEra(w)
		s.append(name, body[4:])
		s.mu.Unlock()
		_, _ = io.WriteString(w, `{"Offset":0,"EndOffset":1}`)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *fakeStore) serveNewest(w http.ResponseWriter, name string) {
	type item struct {
		Key    string
		Value  []byte
		Offset int64
	}
	s.mu.Lock()
	s.setEra(w)
	t := s.topic(name)
	end := t.first + int64(len(t.records))
	items := []item{}
	for _, r := range t.newest() {
		n := 1 + int(r[0])
		items = append(items, item{Key: string(r[1:n]), Value: r[n:]})
	}
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(struct {
		Items     []item
		HasMore   bool
		EndOffset int64
	}{items, false, end})
}

func (s *fakeStore) serveRead(ctx context.Context, w http.ResponseWriter, name string, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get(store.ParamFrom), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ms, _ := strconv.Atoi(r.URL.Query().Get(store.ParamWait)) // absent: don't wait
	deadline := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		s.setEra(w)
		t := s.topic(name)
		end, first, appended := t.first+int64(len(t.records)), t.first, t.appended
		var out []byte
		if from >= first && from < end {
			out = binary.BigEndian.AppendUint64(out, uint64(end))
			out = binary.BigEndian.AppendUint64(out, uint64(first))
			for _, rec := range t.records[from-first:] {
				out = append(binary.BigEndian.AppendUint32(out, uint32(len(rec))), rec...)
			}
		}
		s.mu.Unlock()
		switch {
		case from < first || from > end:
			w.WriteHeader(http.StatusGone)
			_, _ = fmt.Fprintf(w, `{"FirstOffset":%d}`, first)
			return
		case out != nil:
			_, _ = w.Write(out)
			return
		}
		select {
		case <-appended:
		case <-ctx.Done():
			return
		case <-deadline:
			out = binary.BigEndian.AppendUint64(nil, uint64(end))
			_, _ = w.Write(binary.BigEndian.AppendUint64(out, uint64(first)))
			return
		}
	}
}
