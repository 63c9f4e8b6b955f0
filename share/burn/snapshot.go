package burn

import (
	"cmp"
	"slices"

	"chivepost/share/units"
)

// Snapshot holds the counts of one host, or of several hosts after Merge. It contains ages
// instead of times, so that the counts of hosts with different clocks can be added.
type Snapshot struct {
	Series  []Series  `json:"series"`
	History []History `json:"history"`
}

// Series holds the counts of one pipeline and client account.
type Series struct {
	Pipeline string  `json:"pipeline"`
	Account  string  `json:"account"`
	Windows  []Count `json:"windows"`
}

// Count holds the numbers of good and bad requests within the last Window.
type Count struct {
	Window units.Duration `json:"window"`
	Good   int64          `json:"good"`
	Bad    int64          `json:"bad"`
}

// History holds the counts of one pipeline over the longest window, newest first.
type History struct {
	Pipeline string   `json:"pipeline"`
	Buckets  []Bucket `json:"buckets"`
}

// Bucket holds the numbers of requests within 5 minutes. Age is 0 for the newest bucket,
// which is not complete yet, and grows by 5 minutes per bucket. Empty buckets are left
// out.
type Bucket struct {
	Age  units.Duration `json:"age"`
	Good int64          `json:"good"`
	Bad  int64          `json:"bad"`
}

// Merge adds up the snapshots of several hosts. They must have been taken at about the same
// time; the time it takes to read them is small compared with the shortest window.
func Merge(snapshots ...Snapshot) Snapshot {
	series := map[seriesKey]map[units.Duration]Count{}
	history := map[string]map[units.Duration]Bucket{}
	for _, snap := range snapshots {
		for _, s := range snap.Series {
			sums := sumsFor(series, seriesKey{s.Pipeline, s.Account})
			for _, c := range s.Windows {
				sums[c.Window] = Count{Window: c.Window, Good: sums[c.Window].Good + c.Good, Bad: sums[c.Window].Bad + c.Bad}
			}
		}
		for _, h := range snap.History {
			sums := sumsFor(history, h.Pipeline)
			for _, b := range h.Buckets {
				sums[b.Age] = Bucket{Age: b.Age, Good: sums[b.Age].Good + b.Good, Bad: sums[b.Age].Bad + b.Bad}
			}
		}
	}
	merged := Snapshot{Series: []Series{}, History: []History{}}
	for key, sums := range series {
		windows := sortedValues(sums, func(c Count) units.Duration { return c.Window })
		merged.Series = append(merged.Series, Series{Pipeline: key.pipeline, Account: key.account, Windows: windows})
	}
	for pipeline, sums := range history {
		buckets := sortedValues(sums, func(b Bucket) units.Duration { return b.Age })
		merged.History = append(merged.History, History{Pipeline: pipeline, Buckets: buckets})
	}
	merged.sort()
	return merged
}

func sumsFor[K, I comparable, V any](all map[K]map[I]V, key K) map[I]V {
	if all[key] == nil {
		all[key] = map[I]V{}
	}
	return all[key]
}

func sortedValues[V any](sums map[units.Duration]V, by func(V) units.Duration) []V {
	out := make([]V, 0, len(sums))
	for _, v := range sums {
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b V) int { return cmp.Compare(by(a), by(b)) })
	return out
}
