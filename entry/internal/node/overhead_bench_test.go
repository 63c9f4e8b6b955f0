package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"chivepost/entry/internal/conf"
	"chivepost/entry/internal/front"
	"chivepost/entry/internal/memlog"
	"chivepost/share/apiv1"
	"chivepost/share/bundle"
	"chivepost/share/events"
	"chivepost/share/hosts"
	"chivepost/share/target"
	"chivepost/share/units"
)

type fixedList struct{ list hosts.List }

func (l fixedList) Hosts(context.Context) (hosts.List, error) { return l.list, nil }

// instantTarget answers calls at once over real HTTP.
func instantTarget(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(target.HeaderState, string(target.StateWarm))
	w.Header().Set(target.HeaderBoot, "1")
	w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
	if r.URL.Path == "/v1/load" {
		_ = json.NewEncoder(w).Encode(target.LoadReport{State: target.StateWarm, Boot: "1", Limit: 64, ColdLimit: 8})
		return
	}
	var body struct{ ID, Input string }
	_ = json.NewDecoder(r.Body).Decode(&body)
	_ = json.NewEncoder(w).Encode(apiv1.NewAnswer(body.ID, body.Input))
}

// BenchmarkOverhead compares a request of one stage through an entry host with the
// same call made directly, both over loopback HTTP, in turn. It reports the medians.
func BenchmarkOverhead(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(instantTarget))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	self := hosts.Host{Name: "h", Address: "127.0.0.1:1", PeerAddress: "127.0.0.1:2", DataCentre: "d", Region: "r", Role: hosts.RoleEntry, State: hosts.StateLive}
	doc := bundle.Doc{
		Pools:     []bundle.PoolDoc{{Name: "p", Kind: bundle.KindStage, Retryable: true, Limit: 64, ColdLimit: 8}},
		Targets:   []bundle.TargetDoc{{Name: "t", Pool: "p", DataCentre: "d", Region: "r", Address: address}},
		Pipelines: []bundle.PipelineDoc{pipelineDoc("ask", "p")},
		Accounts:  []bundle.AccountDoc{{Name: "alpha", Credential: bundle.HashCredential("secret"), Share: 1}},
	}
	calls := target.New(target.Options{DataCentre: "d"})
	net := &network{partitions: &partitions{}, buses: map[string]*bus{}}
	n, err := New(Deps{
		Settings: conf.Settings{
			Host: conf.Host{Name: "h", DataCentre: "d", Region: "r", Address: self.Address},
			Timing: conf.Timing{
				Hold: time.Second, Spread: time.Second, Lease: 2 * time.Second, Margin: 250 * time.Millisecond, AttemptBound: 5 * time.Second,
				ListLag: time.Second, MaxViewAge: 3 * time.Second, MaxConfigAge: 3 * time.Second, PollInterval: time.Second, HeartbeatInterval: time.Second, Retention: time.Hour,
			},
			Limits: conf.Limits{MaxQueue: 100}, Routing: conf.Routing{Policy: "chivepost", Admission: true},
		},
		Incarnation: 1, Log: memlog.New().NewClient(), HostList: fixedList{hosts.List{Version: 1, Hosts: []hosts.Host{self}}},
		Bus: net.join(self, 1, newGate()), Targets: calls, Recorder: events.New(io.Discard), Logger: logr.Discard(),
	})
	if err != nil {
		b.Fatal(err)
	}
	defer n.Close()
	for n.config.Status().Ready == false {
		time.Sleep(100 * time.Millisecond)
		_, v := n.Config().Current()
		n.Publisher().Publish(context.Background(), v, "bench", fmt.Sprint("p", v), doc)
	}
	entry := httptest.NewServer(front.NewCallerHandler(front.Options{Host: "h"}, n.Config(), n, n.Drain(), n.Burn(), n.Run).Router())
	defer entry.Close()

	through := func(i int) {
		body, _ := json.Marshal(apiv1.Request{ID: fmt.Sprintf("1-request%d", i), Deadline: units.Duration(5 * time.Second), Input: "x"})
		req, _ := http.NewRequest(http.MethodPost, entry.URL+"/v1/pipelines/ask/requests", bytes.NewReader(body))
		req.Header.Set("Authorization", "Bearer secret")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		data, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			b.Fatalf("status %d: %s", resp.StatusCode, data)
		}
	}
	direct := func(i int) {
		res := calls.Run(context.Background(), target.Call{ID: fmt.Sprintf("r/s/%d", i), Kind: bundle.KindStage, Address: address, Input: "x", Timeout: time.Second}, nil)
		if res.Err != nil {
			b.Fatal(res.Err)
		}
	}
	through(-1) // The first request waits for the home's first grant.
	var with, without []time.Duration
	b.ResetTimer()
	for i := range b.N {
		start := time.Now()
		direct(i)
		middle := time.Now()
		through(i)
		without, with = append(without, middle.Sub(start)), append(with, time.Since(middle))
	}
	slices.Sort(with)
	slices.Sort(without)
	b.ReportMetric(float64(without[b.N/2].Microseconds()), "direct-us")
	b.ReportMetric(float64(with[b.N/2].Microseconds()), "through-us")
	b.ReportMetric(float64((with[b.N/2] - without[b.N/2]).Microseconds()), "added-us")
}
