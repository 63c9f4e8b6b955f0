package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// record is one record of a keyed topic; a record without a value removes its key.
type record struct {
	key   string
	value []byte
}

// store is a stand-in of the platform's store: topics of keyed records with one partition.
type store struct {
	mu      sync.Mutex
	topics  map[string][]record
	changed chan struct{}
	address string
	server  *http.Server
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{topics: map[string][]record{}, changed: make(chan struct{}), address: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.serveAppend)
	mux.HandleFunc("GET /log-read", s.serveRead)
	mux.HandleFunc("GET /log-newest", s.serveNewest)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// put appends a record and returns its offset.
func (s *store) put(topic, key string, value []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], record{key, value})
	close(s.changed)
	s.changed = make(chan struct{})
	return len(s.topics[topic]) - 1
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	topic, first, n := r.URL.Query().Get("Topic"), -1, 0
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if size < 1 || size > len(body)-4 || int(body[4])+1 > size {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		content := body[4 : 4+size]
		body = body[4+size:]
		keyEnd := int(content[0]) + 1
		offset := s.put(topic, string(content[1:keyEnd]), append([]byte(nil), content[keyEnd:]...))
		if first < 0 {
			first = offset
		}
		n++
	}
	writeJSON(w, map[string]int{"Offset": first, "EndOffset": first + n})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("Topic")
	from, _ := strconv.Atoi(q.Get("From"))
	waitMs, _ := strconv.Atoi(q.Get("WaitMs"))
	deadline := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		records, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if from < len(records) || waitMs == 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, rec := range records[min(from, len(records)):] {
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
				out = append(out, byte(len(rec.key)))
				out = append(out, rec.key...)
				out = append(out, rec.value...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			waitMs = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	records := s.topics[r.URL.Query().Get("Topic")]
	s.mu.Unlock()
	newest := map[string]int{}
	for i, rec := range records {
		newest[rec.key] = i
	}
	type item struct {
		Key, Value string
		Offset     int
	}
	items := []item{}
	for key, i := range newest {
		if len(records[i].value) > 0 {
			items = append(items, item{key, base64.StdEncoding.EncodeToString(records[i].value), i})
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	writeJSON(w, map[string]any{"Items": items, "HasMore": false, "EndOffset": len(records)})
}
