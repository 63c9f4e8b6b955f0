package main

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"reflect"
	"strconv"
	"sync"
	"time"
)

// topicServers holds the entries of the engines.
const topicServers = "keyed.servers"

// store is a stand-in of the platform's store: topics of one partition with keyed records.
type store struct {
	mu      sync.Mutex
	topics  map[string][][]byte // key length, key, value
	changed chan struct{}
}

func newStore() *store { return &store{topics: map[string][][]byte{}, changed: make(chan struct{})} }

// put appends a record. A nil value removes the key.
func (s *store) put(topic, key string, value []byte) {
	s.append(topic, append(append([]byte{byte(len(key))}, key...), value...))
}

// putEntry writes the entry of an engine. "The entry changes when more than `Sequence` changes."
func (s *store) putEntry(id string, entry []byte) {
	s.mu.Lock()
	var newest []byte
	for _, r := range s.topics[topicServers] {
		if string(r[1:1+int(r[0])]) == id {
			newest = r[1+int(r[0]):]
		}
	}
	s.mu.Unlock()
	if !reflect.DeepEqual(withoutSequence(newest), withoutSequence(entry)) {
		s.put(topicServers, id, entry)
	}
}

func withoutSequence(entry []byte) map[string]any {
	var out map[string]any
	_ = json.Unmarshal(entry, &out) // an unreadable entry equals no other
	delete(out, "Sequence")
	return out
}

func (s *store) append(topic string, record []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], record)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements the calls of PROTOCOL.md that the hosts make.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("Topic")
	switch r.URL.Path {
	case "/log-newest":
		s.serveNewest(w, topic)
	case "/log-read":
		from, _ := strconv.Atoi(r.URL.Query().Get("From"))
		wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
		s.serveRead(r.Context(), w, topic, from, time.Duration(wait)*time.Millisecond)
	case "/log-append":
		body, err := io.ReadAll(r.Body)
		if err != nil || len(body) < 5 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.append(topic, body[4:])
		_, _ = io.WriteString(w, `{"Offset":0,"EndOffset":1}`)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveNewest(w http.ResponseWriter, topic string) {
	type item struct {
		Key    string
		Value  []byte
		Offset int
	}
	s.mu.Lock()
	records := s.topics[topic]
	newest := map[string]int{}
	for i, r := range records {
		newest[string(r[1:1+int(r[0])])] = i
	}
	items := []item{}
	for i, r := range records {
		key, value := string(r[1:1+int(r[0])]), r[1+int(r[0]):]
		if newest[key] == i && len(value) > 0 {
			items = append(items, item{key, value, i})
		}
	}
	end := len(records)
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"Items": items, "HasMore": false, "EndOffset": end})
}

func (s *store) serveRead(ctx context.Context, w http.ResponseWriter, topic string, from int, wait time.Duration) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		records, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if len(records) > from || wait == 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, r := range records[min(from, len(records)):] {
				out = append(binary.BigEndian.AppendUint32(out, uint32(len(r))), r...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-ctx.Done():
			return
		}
	}
}
