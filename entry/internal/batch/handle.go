package batch

import (
	"math"
	"strconv"
	"strings"
)

// A handle names a result at its maker, and is good only for the start of the maker that gave
// it: a target that starts again may give the same handles for other results. Handles are
// therefore stored and passed on together with that start, as bound handles. Only the calls of
// targets hold plain ones.

// startMark separates a plain handle from the start of its maker. It can't be part of a handle,
// since handles are sent in headers.
const startMark = "\n"

// BindHandle returns the bound handle of a result that the start of a target made.
func BindHandle(plain string, startMillis int64) string {
	return plain + startMark + strconv.FormatInt(startMillis, 36)
}

// bindOutcomes binds the handles of an answer to the start of its target.
func bindOutcomes(outcomes []Outcome, startMillis int64) {
	for i := range outcomes {
		if outcomes[i].Handle != "" {
			outcomes[i].Handle = BindHandle(outcomes[i].Handle, startMillis)
		}
	}
}

// SplitHandle returns the plain handle and the start of its maker. isBound is false if the start
// isn't known, as it is for handles from hosts of an earlier version.
func SplitHandle(handle string) (plain string, startMillis int64, isBound bool) {
	i := strings.LastIndex(handle, startMark)
	if i < 0 {
		return handle, 0, false
	}
	startMillis, err := strconv.ParseInt(handle[i+len(startMark):], 36, 64)
	return handle[:i], startMillis, err == nil
}

// PlainHandles returns handles as targets know them.
func PlainHandles(handles []string) []string {
	if handles == nil {
		return nil
	}
	out := make([]string, len(handles))
	for i, h := range handles {
		out[i], _, _ = SplitHandle(h)
	}
	return out
}

// addressOf returns the address of the target that made a result, with which its handle begins.
func addressOf(handle string) string {
	address, _, _ := strings.Cut(handle, "/")
	return address
}

// IsOfStart reports whether a result may be freed at a target with this start. A result whose
// start isn't known may be freed only if that of the target isn't known either.
func IsOfStart(handle string, startMillis int64) bool {
	_, made, isBound := SplitHandle(handle)
	return isBound && made == startMillis || !isBound && startMillis == 0
}

// IsOutlived reports whether a target at the address of a result's maker has started since the
// result was made. starts has the newest known start at each address.
func IsOutlived(handle string, starts map[string]int64) bool {
	_, made, isBound := SplitHandle(handle)
	return isBound && made < starts[addressOf(handle)]
}

// On the wire, handles stay plain, since hosts of an earlier version send them on to targets.
// Their starts are in a list of their own, in which most entries take one byte: wireSame for the
// start of the handle before, wireUnbound for none, else the start plus wireFirst.
const (
	wireSame    = 0
	wireUnbound = 1
	wireFirst   = 2
)

// PackHandles returns plain handles and their starts for the wire. There are no starts if no
// handle is bound.
func PackHandles(handles []string) (plain []string, starts []int64) {
	last, isAny := int64(-1), false
	plain, starts = PlainHandles(handles), make([]int64, len(handles))
	for i, h := range handles {
		_, start, isBound := SplitHandle(h)
		entry := int64(wireUnbound)
		if isBound && start >= 0 && start <= math.MaxInt64-wireFirst {
			entry, isAny = start+wireFirst, true
		}
		if starts[i] = entry; entry == last {
			starts[i] = wireSame
		}
		last = entry
	}
	if !isAny {
		return plain, nil
	}
	return plain, starts
}

// UnpackHandles reverses PackHandles.
func UnpackHandles(plain []string, starts []int64) []string {
	if len(starts) == 0 || len(plain) != len(starts) {
		return plain
	}
	out := make([]string, len(plain))
	last := int64(wireUnbound)
	for i, h := range plain {
		if starts[i] != wireSame {
			last = starts[i]
		}
		if out[i] = h; last >= wireFirst && h != "" {
			out[i] = BindHandle(h, last-wireFirst)
		}
	}
	return out
}

// Packed returns a result for the wire.
func (r Result) Packed() Result {
	r.Handles, r.Starts = PackHandles(r.Handles)
	r.Progress = packProgress(r.Progress)
	return r
}

// Unpacked returns a result from the wire with bound handles.
func (r Result) Unpacked() Result {
	r.Handles, r.Starts = UnpackHandles(r.Handles, r.Starts), nil
	r.Progress = unpackProgress(r.Progress)
	return r
}

// Packed returns an order for the wire.
func (o Order) Packed() Order {
	o.Progress = packProgress(o.Progress)
	return o
}

// Unpacked returns an order from the wire with bound handles.
func (o Order) Unpacked() Order {
	o.Progress = unpackProgress(o.Progress)
	return o
}

func packProgress(progress []StageProgress) []StageProgress {
	if progress == nil {
		return nil
	}
	out := make([]StageProgress, len(progress))
	for i, p := range progress {
		out[i].IsDone = p.IsDone
		out[i].Handles, out[i].Starts = PackHandles(p.Handles)
	}
	return out
}

func unpackProgress(progress []StageProgress) []StageProgress {
	if progress == nil {
		return nil
	}
	out := make([]StageProgress, len(progress))
	for i, p := range progress {
		out[i] = StageProgress{IsDone: p.IsDone, Handles: UnpackHandles(p.Handles, p.Starts)}
	}
	return out
}
