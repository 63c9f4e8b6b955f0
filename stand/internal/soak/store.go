package soak

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"chivepost/platform/store"
)

// metaStore stands in for the platform's store: topics of one partition that keep
// the newest record of each key.
type metaStore struct {
	mu     sync.Mutex
	topics map[string]*topic
}

type topic struct {
	records [][]byte // key length, key, value
	kept    [][]byte // newest records of keys before the first
	first   int64    // offset of records[0]
	grown   chan struct{}
}

func newMetaStore() *metaStore { return &metaStore{topics: map[string]*topic{}} }

func (s *metaStore) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{grown: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put appends a record; it returns as the store acknowledges it.
func (s *metaStore) put(name, key string, value []byte) {
	record := append(append([]byte{byte(len(key))}, key...), value...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, record)
}

func (s *metaStore) append(name string, record []byte) {
	t := s.topic(name)
	t.records = append(t.records, record)
	close(t.grown)
	t.grown = make(chan struct{})
}

// forget drops the history of a topic; the newest record of each key is kept apart.
func (s *metaStore) forget(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.kept = t.newest()
	t.first += int64(len(t.records))
	t.records = nil
}

func (t *topic) newest() [][]byte {
	seen := map[string]bool{}
	var out [][]byte
	for _, r := range slices.Backward(slices.Concat(t.kept, t.records)) {
		key := string(r[1 : 1+int(r[0])])
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

// ServeHTTP answers the calls that chivepost makes.
func (s *metaStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
		s.append(name, body[4:])
		s.mu.Unlock()
		_, _ = io.WriteString(w, `{"Offset":0,"EndOffset":1}`)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *metaStore) serveNewest(w http.ResponseWriter, name string) {
	type item struct {
		Key    string
		Value  []byte
		Offset int64
	}
	s.mu.Lock()
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

func (s *metaStore) serveRead(ctx context.Context, w http.ResponseWriter, name string, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get(store.ParamFrom), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ms, _ := strconv.Atoi(r.URL.Query().Get(store.ParamWait)) // not given: no wait
	deadline := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(name)
		end, first, grown := t.first+int64(len(t.records)), t.first, t.grown
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
		case from < first:
			w.WriteHeader(http.StatusGone)
			return
		case out != nil:
			_, _ = w.Write(out)
			return
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return
		case <-deadline:
			out = binary.BigEndian.AppendUint64(nil, uint64(end))
			_, _ = w.Write(binary.BigEndian.AppendUint64(out, uint64(first)))
			return
		}
	}
}
