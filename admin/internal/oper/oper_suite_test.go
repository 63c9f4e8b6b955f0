package oper_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"chivepost/admin/internal/exits"
	"chivepost/admin/internal/oper"
)

// fakeHTTP answers requests without a network.
type fakeHTTP func(req *http.Request) (*http.Response, error)

func (f fakeHTTP) Do(req *http.Request) (*http.Response, error) { return f(req) }

func reply(body string) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(body))}, nil
}

func hang(req *http.Request) (*http.Response, error) {
	<-req.Context().Done()
	return nil, req.Context().Err()
}

// TestAwaitConfirmations guards against a wait that ends before its timeout while a host has an
// older version, continues after it, or is blocked by a host that accepts connections and
// never answers.
func TestAwaitConfirmations(t *testing.T) {
	confirmations := func(confirmedAfter time.Duration) fakeHTTP {
		start := time.Now()
		return func(*http.Request) (*http.Response, error) {
			version := 41
			if time.Since(start) >= confirmedAfter {
				version = 42
			}
			return reply(fmt.Sprintf(`{"version":42,"hosts":[{"host":"a","version":42,"age":"0s"},{"host":"b","version":%d,"age":"1s"}]}`, version))
		}
	}
	for name, c := range map[string]struct {
		newHTTP     func() fakeHTTP
		waited      time.Duration
		unconfirmed int
		code        exits.Name
	}{
		"at once":            {func() fakeHTTP { return confirmations(0) }, 0, 0, exits.OK},
		"within the timeout": {func() fakeHTTP { return confirmations(3 * time.Second) }, 3 * time.Second, 0, exits.OK},
		"after the timeout":  {func() fakeHTTP { return confirmations(time.Minute) }, 4 * time.Second, 1, exits.OK},
		"every host hangs":   {func() fakeHTTP { return hang }, 4 * time.Second, 0, exits.Unreachable},
		"one host hangs": {func() fakeHTTP {
			next := confirmations(0)
			return func(req *http.Request) (*http.Response, error) {
				if req.URL.Host == "127.0.0.1:1" {
					return hang(req)
				}
				return next(req)
			}
		}, 2 * time.Second, 0, exits.OK},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				client := oper.New([]string{"127.0.0.1:1", "127.0.0.1:2"}, c.newHTTP(), 2*time.Second, logr.Discard())
				start := time.Now()
				got, err := client.AwaitConfirmations(context.Background(), 42, 4*time.Second, 100*time.Millisecond)
				g.Expect(exits.NameOf(err)).To(Equal(c.code))
				g.Expect(time.Since(start)).To(Equal(c.waited))
				g.Expect(got.Unconfirmed).To(HaveLen(c.unconfirmed))
			})
		})
	}
}

// TestPublishOnce guards against sending a publish call again after the first one may have taken
// effect, and against returning before the time to look for the change is over.
func TestPublishOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		posts := 0
		client := oper.New([]string{"127.0.0.1:1", "127.0.0.1:2"}, fakeHTTP(func(req *http.Request) (*http.Response, error) {
			if req.Method == http.MethodGet {
				return reply(`{"version":41,"author":"ada","publish_id":"x","doc":{}}`)
			}
			posts++
			return hang(req)
		}), 2*time.Second, logr.Discard())
		start := time.Now()
		_, err := client.Publish(context.Background(), oper.Change{Base: 41, Author: "bo"},
			oper.Timeouts{Call: 10 * time.Second, Lookup: 4 * time.Second, PollInterval: 100 * time.Millisecond})
		g.Expect(exits.NameOf(err)).To(Equal(exits.Unknown))
		g.Expect(posts).To(Equal(1))
		g.Expect(time.Since(start)).To(Equal(14 * time.Second))
	})
}
