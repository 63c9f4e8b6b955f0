package hosts_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"chivepost/share/hosts"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHosts(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hosts")
}

// Guards against a list that is transferred with each read, and against an outdated list
// that is returned after a change.
var _ = It("transfers the list only if it has changed", func() {
	version, sent := 1, 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		etag := fmt.Sprintf(`"%d"`, version)
		w.Header().Set("ETag", etag)
		if r.Header.Get("If-None-Match") == etag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		sent++
		_, _ = fmt.Fprintf(w, `{"version":%d,"hosts":[{"name":"a"}]}`, version)
	}))
	defer server.Close()
	c := hosts.New(server.URL, server.Client())
	for _, want := range []int{1, 1, 2} {
		version = want
		list, err := c.Hosts(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(list.Version).To(Equal(int64(want)))
		Expect(list.Hosts).To(HaveLen(1))
	}
	Expect(sent).To(Equal(2))
})

// Guards against an empty list being returned when the service is down.
var _ = It("returns an error if the service does not answer with a list", func() {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	_, err := hosts.New(server.URL, server.Client()).Hosts(context.Background())
	Expect(err).To(MatchError("read host list: status 404"))
})

// Guards against a list without end that takes all memory.
var _ = It("rejects a list without end", func() {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write([]byte(`{"version":1,"hosts":[{"name":"`))
		for err == nil {
			_, err = w.Write(bytes.Repeat([]byte("x"), 4<<10))
		}
	}))
	defer server.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := hosts.New(server.URL, server.Client()).Hosts(ctx)
	runtime.ReadMemStats(&after)
	Expect(err).To(MatchError(ContainSubstring("unexpected EOF")))
	Expect(after.TotalAlloc-before.TotalAlloc).To(BeNumerically("<=", 16<<20), "bytes allocated")
})
