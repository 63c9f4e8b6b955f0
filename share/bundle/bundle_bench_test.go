package bundle_test

import (
	"bytes"
	"compress/flate"
	"fmt"
	"runtime"
	"testing"
	"time"

	"chivepost/share/bundle"
	"chivepost/share/units"
)

// sizedDoc returns a configuration with that many targets, accounts and pipelines. Names
// and addresses are as long as in a real deployment.
func sizedDoc(targets, accounts, pipelines int) bundle.Doc {
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
	return d
}

// BenchmarkDecode measures the cost of a new configuration at a host that reads it: the
// time to decode, the encoded and deflated size, and the heap that the bundle retains.
func BenchmarkDecode(b *testing.B) {
	for _, n := range []struct{ targets, accounts, pipelines int }{{10, 5, 3}, {130, 120, 8}, {1300, 1200, 25}} {
		b.Run(fmt.Sprintf("targets=%d", n.targets), func(b *testing.B) {
			config, err := bundle.New(sizedDoc(n.targets, n.accounts, n.pipelines))
			if err != nil {
				b.Fatal(err)
			}
			data, err := config.Encode()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := bundle.Decode(data); err != nil {
					b.Fatal(err)
				}
			}
			var deflated bytes.Buffer
			w, _ := flate.NewWriter(&deflated, flate.DefaultCompression)
			_, _ = w.Write(data)
			_ = w.Close()
			b.ReportMetric(float64(len(data)), "encoded_bytes")
			b.ReportMetric(float64(deflated.Len()), "deflated_bytes")
			b.ReportMetric(retainedHeap(func() any { retained, _ := bundle.Decode(data); return retained }), "heap_bytes")
		})
	}
}

// retainedHeap returns the bytes of heap that the result of build retains.
func retainedHeap(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC() // The first run only moves sync.Pool items to the victim cache.
	runtime.ReadMemStats(&before)
	retained := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(retained)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkParse measures the parsing of service files by the operator's publish command.
func BenchmarkParse(b *testing.B) {
	for _, n := range []struct{ targets, accounts, pipelines int }{{10, 5, 3}, {130, 120, 8}, {1300, 1200, 25}} {
		b.Run(fmt.Sprintf("targets=%d", n.targets), func(b *testing.B) {
			source := bundle.Source{Name: bundle.ServiceFile, Data: []byte(bundle.Format(sizedDoc(n.targets, n.accounts, n.pipelines)))}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := bundle.Parse(source); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
