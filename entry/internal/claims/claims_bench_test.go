package claims

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"chivepost/share/logsvc"
)

const benchClaim = "centre-05-entry-123/12345678901234567890/ABCDEFGHIJKLMNOPQRSTUVWXYZ/1234567"

// benchRecord returns claim or done record number i; result is the size of the result
// in bytes.
func benchRecord(kind recordKind, i, result int) record {
	r := record{
		Kind: kind, Account: fmt.Sprintf("account-%04d", i%1200), ID: fmt.Sprintf("1-%024x", i), Stage: "book",
		Claim: fmt.Sprintf("%s%d", benchClaim, i),
	}
	if kind == kindClaim {
		r.BodyHash = fmt.Sprintf("%064x", i)
		r.Host, r.Incarnation = "centre-05-entry-123", 1<<63
		return r
	}
	r.Result = string(make([]byte, result))
	return r
}

// benchPage returns a page of the stream as the log service sends it: n claims, each
// followed by a done record with a result of 256 bytes.
func benchPage(b *testing.B, n int) []byte {
	p := logsvc.Page{First: 1, Next: int64(2*n + 1)}
	for i := range n {
		for k, kind := range []recordKind{kindClaim, kindDone} {
			p.Records = append(p.Records, logsvc.Record{Offset: int64(2*i + k + 1), Data: encodeRecord(benchRecord(kind, i, 256))})
		}
	}
	data, err := json.Marshal(p)
	if err != nil {
		b.Fatal(err)
	}
	return data
}

func benchReader() *Controller {
	return &Controller{
		opts: Options{MaxHistory: 1 << 40, MaxIndexBytes: 1 << 40}.withDefaults(), logger: logr.Discard(), prefix: "other/",
		index: newIndex(1<<40, 1<<40), open: map[string]*claim{}, byKey: map[requestKey][]*claim{}, unconfirmed: map[queuedKey]*queuedRecord{},
	}
}

// BenchmarkReadClaims measures the time to decode and index a claim with its done
// record, and their bytes in a page, for several numbers of claims.
func BenchmarkReadClaims(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("claims=%d", n), func(b *testing.B) {
			data := benchPage(b, n)
			b.ReportAllocs()
			rounds := 0
			start := time.Now()
			for b.Loop() {
				var p logsvc.Page
				if err := json.Unmarshal(data, &p); err != nil {
					b.Fatal(err)
				}
				if err := benchReader().apply(1, p, time.Now()); err != nil {
					b.Fatal(err)
				}
				rounds++
			}
			b.ReportMetric(float64(time.Since(start).Nanoseconds())/float64(rounds*n), "ns/claim")
			b.ReportMetric(float64(len(data))/float64(n), "page_bytes/claim")
		})
	}
}

// BenchmarkIndexHeap compares the heap that the index uses per claim with a result of
// 256 bytes with the index's own estimate.
func BenchmarkIndexHeap(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("claims=%d", n), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.GC() // The first run only moves sync.Pool contents to the victim caches.
				runtime.ReadMemStats(&before)
				c := benchReader()
				for i := range n {
					c.applyRecord(logsvc.Record{Offset: int64(2*i + 1), Data: encodeRecord(benchRecord(kindClaim, i, 256))})
					c.applyRecord(logsvc.Record{Offset: int64(2*i + 2), Data: encodeRecord(benchRecord(kindDone, i, 256))})
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "heap_bytes/claim")
				b.ReportMetric(float64(c.index.bytes)/float64(n), "estimated_bytes/claim")
				runtime.KeepAlive(c)
			}
		})
	}
}

// BenchmarkEncodeRecord reports the bytes of each record before base64.
func BenchmarkEncodeRecord(b *testing.B) {
	for _, r := range []struct {
		name   string
		record record
	}{
		{"claim", benchRecord(kindClaim, 1, 0)}, {"done=256", benchRecord(kindDone, 1, 256)}, {"done=4096", benchRecord(kindDone, 1, 4096)},
	} {
		b.Run(r.name, func(b *testing.B) {
			var data []byte
			b.ReportAllocs()
			for b.Loop() {
				data = encodeRecord(r.record)
			}
			b.ReportMetric(float64(len(data)), "encoded_bytes")
		})
	}
}
