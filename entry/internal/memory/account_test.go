package memory

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"
)

// newTestAccount returns an account with a clock that the test sets.
func newTestAccount(limit int64) (*Account, *time.Time) {
	now := time.Unix(1000, 0)
	a := New(limit)
	a.now = func() time.Time { return now }
	return a, &now
}

// Guards against a leak, an underflow and a sum above the limit, whatever the order of calls.
func TestAccountBalances(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	a, now := newTestAccount(1 << 20)
	var open []*Reservation
	for range 20_000 {
		*now = now.Add(time.Duration(random.Int64N(int64(time.Second))))
		switch n := random.IntN(10); {
		case n < 3 || len(open) == 0:
			open = append(open, a.Open(string(rune('a'+random.IntN(5)))))
		case n < 8:
			r := open[random.IntN(len(open))]
			r.Begin(Reading, func() {})
			_ = r.Grow(random.Int64N(1 << 18)) // a refusal is a result too
			r.Moved(random.IntN(1 << 16))
			r.Finish()
		default:
			i := random.IntN(len(open))
			open[i].Close()
			open[i].Close()
			open[i] = open[len(open)-1]
			open = open[:len(open)-1]
		}
		if used := a.Used(); used > 1<<20 {
			t.Fatalf("%d bytes in use, want at most %d", used, 1<<20)
		}
	}
	for _, r := range open {
		r.Close()
	}
	if a.Used() != 0 || len(a.byClient) != 0 {
		t.Errorf("%d bytes in use by %d clients after all were closed", a.Used(), len(a.byClient))
	}
}

// Guards against one client that takes all of the memory, and against large requests that
// leave nothing to small ones.
func TestSharesOfAccount(t *testing.T) {
	const limit = 20 << 20
	a, _ := newTestAccount(limit)
	first, second, third := a.Open("x"), a.Open("x"), a.Open("y")
	if err := first.Grow(16 << 20); err != nil {
		t.Fatal(err)
	}
	if err := second.Grow(1); !errors.Is(err, ErrClient) {
		t.Errorf("a client above its share got %v, want %v", err, ErrClient)
	}
	if err := third.Grow(3 << 20); !errors.Is(err, ErrAccount) {
		t.Errorf("a large request got %v, want %v", err, ErrAccount)
	}
	if err := third.Grow(2 << 20); err != nil {
		t.Errorf("a large request that leaves the part of the small ones: %v", err)
	}
	for i := range 30 {
		if err := a.Open("z").Grow(SmallBytes); err != nil {
			t.Fatalf("small request %d: %v", i, err)
		}
	}
}

// Guards against holders that stop just short and keep the memory from others, and against
// the end of one that moves or whose body is complete.
func TestStalledHoldersAreEnded(t *testing.T) {
	const limit = 14 << 20
	a, now := newTestAccount(limit)
	ended := map[string]int{}
	hold := func(name string, bytes int64) *Reservation {
		r := a.Open(name)
		r.Begin(Reading, func() { ended[name]++ })
		if err := r.Grow(bytes); err != nil {
			t.Fatal(err)
		}
		return r
	}
	large, _, moving, complete := hold("large", 4<<20), hold("old", 1<<20), hold("moving", 4<<20), hold("complete", 2<<20)
	complete.Finish()
	*now = now.Add(2 * StallTime)
	moving.Moved(ProgressBytes)
	trickle := hold("trickle", 1<<19)
	*now = now.Add(StallTime)
	moving.Moved(ProgressBytes)
	trickle.Moved(1)
	late := a.Open("late")
	if err := late.Grow(4 << 20); !errors.Is(err, ErrAccount) {
		t.Fatalf("got %v, want %v", err, ErrAccount)
	}
	if len(ended) != 1 || ended["large"] != 1 {
		t.Errorf("ended %v, want only the one with the most bytes times idleness", ended)
	}
	if !large.Finish() || moving.Finish() {
		t.Error("Finish doesn't tell which holder was ended")
	}
	large.Close()
	if err := late.Grow(4 << 20); err != nil {
		t.Errorf("after the end of a stalled holder: %v", err)
	}
	a.EndSlowest(Writing, 4)
	a.EndSlowest(Reading, 2)
	if ended["trickle"] != 1 || ended["old"] != 1 || ended["complete"] != 0 || ended["moving"] != 0 {
		t.Errorf("ended %v, want those that stall", ended)
	}
}

// Guards against the end of more holders than are in the way: what is free counts, too.
func TestNoMoreHoldersAreEndedThanIsShort(t *testing.T) {
	a, now := newTestAccount(20 << 20)
	ended := 0
	for _, name := range []string{"x", "y"} {
		r := a.Open(name)
		if err := r.Grow(4 << 20); err != nil {
			t.Fatal(err)
		}
		r.Begin(Reading, func() { ended++ })
	}
	*now = now.Add(2 * StallTime)
	late := a.Open("late")
	if err := late.Grow(12 << 20); !errors.Is(err, ErrAccount) {
		t.Fatalf("got %v, want %v", err, ErrAccount)
	}
	if ended != 1 {
		t.Errorf("%d holders of 4 MB were ended for 2 MB", ended)
	}
}

// Guards against bytes of the kernel that aren't refused, outlive their request, or keep small
// requests from the part that is theirs.
func TestFixedBytesOfReservations(t *testing.T) {
	a, _ := newTestAccount(1 << 20)
	large := a.Open("x")
	if err := large.Grow(800_000); err != nil {
		t.Fatal(err)
	}
	small := a.Open("y")
	if err := small.AddFixed(200_000); err != nil {
		t.Errorf("fixed bytes within the part of small requests: %v", err)
	}
	if err := small.AddFixed(200_000); !errors.Is(err, ErrAccount) {
		t.Errorf("fixed bytes above the account: got %v, want %v", err, ErrAccount)
	}
	if err := small.Grow(10_000); err != nil || a.Fixed() != 200_000 || a.Used() != 1_010_000 {
		t.Errorf("%d bytes are fixed and %d used, error %v", a.Fixed(), a.Used(), err)
	}
	small.Shrink(1000)
	if a.Used() != 1_001_000 {
		t.Errorf("%d bytes used after one has shrunk", a.Used())
	}
	small.Close()
	large.Close()
	if a.Fixed() != 0 || a.Used() != 0 {
		t.Errorf("%d bytes are fixed and %d used after all were closed", a.Fixed(), a.Used())
	}
}

// Guards against the end of clients that read well while others read little or nothing.
func TestSlowestWritersAreEndedFirst(t *testing.T) {
	a, now := newTestAccount(1 << 20)
	var ended []string
	write := func(name string) *Reservation {
		r := a.Open(name)
		r.Begin(Writing, func() { ended = append(ended, name) })
		return r
	}
	fast, slow, stalled := write("fast"), write("slow"), write("stalled")
	for range 10 {
		*now = now.Add(StallTime / 5)
		fast.Moved(slowWriteRate)
		slow.Moved(ProgressBytes)
	}
	if n := a.Blocked(Writing); n != 3 || a.Blocked(Reading) != 0 {
		t.Errorf("%d writers and %d readers are blocked", n, a.Blocked(Reading))
	}
	write("new")
	if n := a.EndSlowest(Writing, 1); n != 1 || len(ended) != 1 || ended[0] != "stalled" {
		t.Errorf("%d were ended: %v, want the one that takes nothing", n, ended)
	}
	if n := a.EndSlowest(Writing, 4); n != 1 || len(ended) != 2 || ended[1] != "slow" {
		t.Errorf("%d more were ended: %v, want the one below %d bytes a second", n, ended, slowWriteRate)
	}
	if fast.Finish() || !slow.Finish() || !stalled.Finish() {
		t.Error("Finish doesn't tell which holder was ended")
	}
}
