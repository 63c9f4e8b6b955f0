package batch

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Whatever order another host sends, it ends once, and a sound order beside it gets its results.
func FuzzOrder(f *testing.F) {
	for _, o := range []Order{twoStageOrder("x", 2, 3), newOrder("y", 0), {ID: "z", Stages: twoStageOrder("z", 1, 1).Stages, Progress: []StageProgress{{IsDone: true, Handles: []string{"10.0.0.0:1/1"}}, {}}, Pieces: []int{1, 1}, TimeLeft: time.Second}} {
		data, err := cbor.Marshal(o)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, uint8(0))
		f.Add(data, uint8(5))
	}
	f.Fuzz(func(t *testing.T, data []byte, action uint8) {
		var odd Order
		if cbor.Unmarshal(data, &odd) != nil || odd.ID == "sound" {
			return
		}
		sc := newScheduler(4, "a", "b")
		ends, now := map[string]int{}, start
		var sound Result
		sc.Submit(odd, now, func(Result) { ends["odd"]++ })
		sc.Submit(twoStageOrder("sound", 2, 3), now, func(r Result) { ends["sound"]++; sound = r })
		for step := range uint8(20) {
			now = now.Add(250 * time.Millisecond)
			for service, calls := range sc.Plan(now) {
				for _, c := range calls {
					sc.CompleteCall(service, c, completeOutcomes(c), FailureNone, now.Add(100*time.Millisecond))
				}
			}
			if step == action>>3 {
				switch action & 7 {
				case 1:
					sc.Drop(odd.ID)
				case 2:
					sc.Release(odd.ID)
				case 3:
					sc.Hold(odd.ID)
				}
			}
			if step == action>>3+2 {
				sc.Resume(odd.ID, now)
			}
			sc.Progress(odd.ID)
			sc.TakeFreed(now)
		}
		if ends["odd"] > 1 || ends["sound"] != 1 {
			t.Errorf("the odd order ended %d times, the sound one %d times with %+v", ends["odd"], ends["sound"], sound)
		}
		for service, n := range sc.committed {
			if n < 0 {
				t.Errorf("%d pieces of %s count as released", n, service)
			}
		}
	})
}
