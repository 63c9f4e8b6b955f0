package hostd_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"chivepost/share/hosts"
	"chivepost/stand/internal/hostd"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var suite *testing.T

func TestHostd(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "hostd")
}

// inVirtualTime runs a spec in virtual time.
func inVirtualTime(f func()) func() {
	return func() {
		synctest.Test(suite, func(*testing.T) {
			defer GinkgoRecover()
			f()
		})
	}
}

// handlerTransport calls a handler without a network, so that time can be virtual.
type handlerTransport struct{ http.Handler }

func (t handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	t.ServeHTTP(w, r)
	return w.Result(), nil
}

func start(lag time.Duration) (*hosts.Client, func(method, path, body string) int) {
	h := hostd.New(hostd.Options{Lag: lag, Seed: 1, Hosts: []hosts.Host{
		{Name: "a", Address: "127.0.0.1:1", Role: hosts.RoleEntry, State: hosts.StateLive},
		{Name: "b", Address: "127.0.0.1:2", Role: hosts.RoleEntry, State: hosts.StateLive},
	}}).Handler()
	change := func(method, path, body string) int {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		return w.Code
	}
	return hosts.New("http://hosts", &http.Client{Transport: handlerTransport{h}}), change
}

func read(c *hosts.Client) hosts.List {
	list, err := c.Hosts(context.Background())
	Expect(err).NotTo(HaveOccurred())
	return list
}

var _ = Describe("the host list", func() {
	// Guards against a stand-in without a lag, which readers could rely on, and against
	// versions out of order.
	It("shows each change within the lag and never an older version again", inVirtualTime(func() {
		client, change := start(2 * time.Second)
		for i := range 6 {
			state := []string{"leaving", "live"}[i%2]
			Expect(change(http.MethodPost, "/v1/hosts/a/state", `{"state":"`+state+`"}`)).To(Equal(http.StatusOK))
		}
		var seen []int64
		for range 40 {
			seen = append(seen, read(client).Version)
			time.Sleep(50 * time.Millisecond)
		}
		Expect(seen[0]).To(BeEquivalentTo(1))
		for i := range seen[1:] {
			Expect(seen[i+1]).To(BeNumerically(">=", seen[i]))
		}
		Expect(read(client).Version).To(BeEquivalentTo(7))
	}))

	// Guards against readers that use the newest answer instead of the newest version.
	It("can show an older version after a newer one", inVirtualTime(func() {
		client, change := start(2 * time.Second)
		change(http.MethodPost, "/v1/faults", `{"uneven":true}`)
		change(http.MethodDelete, "/v1/hosts/a", "")
		backwards := false
		last := int64(0)
		for range 150 {
			version := read(client).Version
			backwards = backwards || version < last
			last = version
			time.Sleep(10 * time.Millisecond)
		}
		Expect(backwards).To(BeTrue())
	}))

	It("adds, replaces and removes hosts", inVirtualTime(func() {
		client, change := start(0)
		Expect(change(http.MethodPost, "/v1/hosts", `{"name":"a","address":"127.0.0.1:9","role":"entry"}`)).To(Equal(http.StatusOK))
		Expect(change(http.MethodDelete, "/v1/hosts/b", "")).To(Equal(http.StatusOK))
		Expect(change(http.MethodDelete, "/v1/hosts/b", "")).To(Equal(http.StatusNotFound))
		Expect(change(http.MethodPost, "/v1/hosts/a/state", `{"state":"gone"}`)).To(Equal(http.StatusBadRequest))
		Expect(read(client)).To(Equal(hosts.List{Version: 3, Hosts: []hosts.Host{
			{Name: "a", Address: "127.0.0.1:9", Role: hosts.RoleEntry, State: hosts.StateLive},
		}}))
	}))

	It("fails reads while it is down", inVirtualTime(func() {
		client, change := start(0)
		change(http.MethodPost, "/v1/faults", `{"down":true}`)
		_, err := client.Hosts(context.Background())
		Expect(err).To(HaveOccurred())
	}))
})
