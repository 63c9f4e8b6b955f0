package soak

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"chivepost/platform/feed"
	"chivepost/platform/store"
)

// Guards against a stand-in that a host's handling of restores isn't tested by: the era must
// rise, offsets must be given out again, and what was lost must come back unless it is newer.
func TestStandInIsRestored(t *testing.T) {
	s := newFakeStore()
	server := httptest.NewServer(s)
	defer server.Close()
	client := store.New(strings.TrimPrefix(server.URL, "http://"), server.Client())
	s.put(feed.TopicOperator, "kept", []byte("1"))
	time.Sleep(150 * time.Millisecond)
	s.put(feed.TopicOperator, "lost", []byte("2"))
	s.put(feed.TopicOperator, "newer", []byte("3"))
	ctx, era := store.WithEra(context.Background())
	if _, end, err := client.Newest(ctx, feed.TopicOperator); err != nil || end != 3 || era.Number() != 1 {
		t.Fatalf("end %d, era %d, %v, want 3 in era 1", end, era.Number(), err)
	}
	s.restore(100 * time.Millisecond)
	var gone *store.GoneError
	if _, _, err := client.Read(ctx, feed.TopicOperator, 3, 0); !errors.As(err, &gone) || !gone.IsBeyondEnd || era.Number() != 2 {
		t.Errorf("read beyond the end: %v in era %d, want a 410 in era 2", err, era.Number())
	}
	s.put(feed.TopicOperator, "newer", []byte("4"))
	s.rewrite()
	got, _, err := client.Read(ctx, feed.TopicOperator, 0, 0)
	values := map[string]string{}
	for _, r := range got {
		values[r.Key] += string(r.Value)
	}
	if err != nil || len(values) != 3 || values["kept"] != "1" || values["lost"] != "2" || values["newer"] != "4" {
		t.Errorf("got %v, %v, want kept 1, lost 2 and newer 4", values, err)
	}
}
