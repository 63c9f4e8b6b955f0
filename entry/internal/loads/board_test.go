package loads

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

var begin = time.Now()

func at(d time.Duration) time.Time { return begin.Add(d) }

// Guards against a choice by figures that are out of date, of an earlier start of a host, or
// overtaken by a newer datagram.
func TestNewestFreshRecordsCount(t *testing.T) {
	record := func(incarnation, round uint32, age uint16, n uint16) Record {
		return Record{Host: 2, Incarnation: incarnation, Round: round, AgeMillis: age, Counts: []uint16{key("t"), n}}
	}
	for _, test := range []struct {
		name    string
		records []Record // one each 100 ms
		at      time.Duration
		want    float64
	}{
		{"nothing heard", nil, time.Second, 0},
		{"one record", []Record{record(1, 1, 0, 5)}, time.Second, 5},
		{"a newer record replaces it", []Record{record(1, 1, 0, 5), record(1, 2, 0, 7)}, time.Second, 7},
		{"an older one that was relayed doesn't", []Record{record(1, 2, 0, 7), record(1, 1, 0, 5)}, time.Second, 7},
		{"a new start counts anew", []Record{record(1, 9, 0, 5), record(2, 1, 0, 3)}, time.Second, 3},
		{"an earlier start doesn't come back", []Record{record(2, 1, 0, 3), record(1, 9, 0, 5)}, time.Second, 3},
		{"an old record lapses", []Record{record(1, 1, 0, 5)}, maxAge, 0},
		{"the time at other hosts counts", []Record{record(1, 1, 1000, 5)}, maxAge - 900*time.Millisecond, 0},
		{"this host's own record", []Record{{Host: 1, Round: 1, Counts: []uint16{key("t"), 5}}}, time.Second, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := NewBoard(1, 1)
			for i, r := range test.records {
				b.Merge([]Record{r}, at(time.Duration(i)*100*time.Millisecond))
			}
			if got := b.InFlight("t", at(test.at)); got != test.want {
				t.Errorf("got %g in flight, want %g", got, test.want)
			}
		})
	}
}

// Guards against datagrams and memory that grow with hosts times targets: a datagram stays
// below a packet, and a board keeps a bounded number of records.
func TestSizesAreBounded(t *testing.T) {
	b := NewBoard(1, 1)
	inFlight := map[string]int{}
	for i := range 1300 {
		inFlight[fmt.Sprint(i)] = 1 + i
	}
	for i := range uint32(370) {
		other := NewBoard(i+2, 1)
		b.Merge(other.Next(inFlight, begin)[:1], begin)
	}
	if len(b.records) != maxRecords {
		t.Errorf("%d records are kept, want %d", len(b.records), maxRecords)
	}
	data, err := cbor.Marshal(b.Next(inFlight, begin))
	if err != nil || len(data) > 400 {
		t.Errorf("a datagram of %d bytes, want at most 640 (%v)", len(data), err)
	}
	if got := b.InFlight("1299", begin); got != 1300*maxRecords {
		t.Errorf("the fullest target has %g in flight, want %d", got, 1300*maxRecords)
	}
}

// Guards against datagrams of another origin that end the process or name huge loads.
func FuzzMerge(f *testing.F) {
	data, _ := cbor.Marshal(NewBoard(2, 1).Next(map[string]int{"t": 3}, begin)) // a plain struct is always encoded
	f.Add(data)
	f.Add([]byte{0x81, 0x85, 1, 1, 1, 0, 0x81, 5})
	f.Fuzz(func(t *testing.T, data []byte) {
		var records []Record
		if cbor.Unmarshal(data, &records) != nil {
			return
		}
		b := NewBoard(1, 1)
		b.Merge(records, begin)
		for target := range uint16(64) {
			if n := b.InFlight(fmt.Sprint(target), begin); n < 0 || n > (relayed+1)*maxTargets*maxCount {
				t.Errorf("got %g in flight", n)
			}
		}
		b.Next(nil, begin)
	})
}
