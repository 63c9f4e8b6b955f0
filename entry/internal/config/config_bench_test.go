package config

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"chivepost/share/bundle"
	"chivepost/share/logsvc"
	"chivepost/share/units"
)

// sizedBundle returns an encoded configuration with names and addresses as long as those
// of a deployment.
func sizedBundle(b *testing.B, targets, accounts, pipelines int) []byte {
	const pools, centres = 6, 11
	var d bundle.Doc
	for i := range pools {
		d.Pools = append(d.Pools, bundle.PoolDoc{
			Name: fmt.Sprintf("model-%02d", i), Kind: bundle.KindEngine, Retryable: true, ChecksFence: true, Limit: 48, ColdLimit: 2,
		})
	}
	for i := range targets {
		dc := i % centres
		d.Targets = append(d.Targets, bundle.TargetDoc{
			Name: fmt.Sprintf("model-%02d-engine-%04d", i%pools, i), Pool: fmt.Sprintf("model-%02d", i%pools),
			DataCentre: fmt.Sprintf("centre-%02d", dc), Region: fmt.Sprintf("region-%d", dc%3),
			Address: fmt.Sprintf("10.%d.%d.%d:8000", dc, i/250, i%250),
		})
	}
	for i := range accounts {
		d.Accounts = append(d.Accounts, bundle.AccountDoc{
			Name: fmt.Sprintf("account-%04d", i), Credential: bundle.HashCredential(fmt.Sprint("secret-", i)), Share: 1 + i%8,
		})
	}
	for i := range pipelines {
		p := bundle.PipelineDoc{Name: fmt.Sprintf("pipeline-%02d", i), Deadline: units.Duration(5 * time.Second), Objective: 0.99}
		for k := range 3 + i%4 {
			p.Stages = append(p.Stages, bundle.StageDoc{
				Name: fmt.Sprintf("stage-%d", k), Pool: fmt.Sprintf("model-%02d", (i+k)%pools), Model: "language-8b",
				Timeout: units.Duration(3 * time.Second),
			})
		}
		d.Pipelines = append(d.Pipelines, p)
	}
	made, err := bundle.New(d)
	if err != nil {
		b.Fatal(err)
	}
	data, err := made.Encode()
	if err != nil {
		b.Fatal(err)
	}
	return data
}

func benchReader() *Controller {
	return &Controller{
		opts: Options{}.withDefaults(), logger: logr.Discard(), tracker: newTracker(), changed: make(chan struct{}),
		random: rand.New(rand.NewPCG(1, 1)), observations: map[string]*observation{},
	}
}

// BenchmarkReadChange measures the time that a reader needs for a change, from decoding
// the page to putting the configuration in force, and the size of the page.
func BenchmarkReadChange(b *testing.B) {
	for _, n := range []struct{ targets, accounts, pipelines int }{{10, 5, 3}, {130, 120, 8}, {1300, 1200, 25}} {
		b.Run(fmt.Sprintf("targets=%d", n.targets), func(b *testing.B) {
			r := encodeRecord(record{
				Kind: kindChange, Author: "operator@host", PublishID: "0123456789abcdef", Bundle: sizedBundle(b, n.targets, n.accounts, n.pipelines),
			})
			data, err := json.Marshal(logsvc.Page{First: 1, Next: 2, Records: []logsvc.Record{{Offset: 1, Data: r}}})
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				var p logsvc.Page
				if err := json.Unmarshal(data, &p); err != nil {
					b.Fatal(err)
				}
				c := benchReader()
				if err := c.apply(p, time.Now()); err != nil || c.currentVersion() != 1 {
					b.Fatal("change not in force", err)
				}
			}
			b.ReportMetric(float64(len(r)), "record_bytes")
			b.ReportMetric(float64(len(data)), "page_bytes")
		})
	}
}

// BenchmarkConfirmations measures one call of Confirmations. A status answer calls it
// once per host, and a waiting publish calls it every 50 ms.
func BenchmarkConfirmations(b *testing.B) {
	for _, n := range []int{9, 90, 370} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			c := benchReader()
			for i := range n {
				c.ObservePeer(fmt.Sprintf("centre-%02d-entry-%03d", i%11, i), 1, time.Second)
			}
			b.ReportAllocs()
			for b.Loop() {
				c.Confirmations()
			}
		})
	}
}

// BenchmarkObserve measures ObservePeer, the time to record one heartbeat.
func BenchmarkObserve(b *testing.B) {
	for _, n := range []int{9, 90, 370} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			c := benchReader()
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i = (i + 1) % n
				c.ObservePeer(fmt.Sprintf("centre-%02d-entry-%03d", i%11, i), 1, time.Second)
			}
		})
	}
}
