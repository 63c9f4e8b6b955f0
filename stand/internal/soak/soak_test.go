package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"chivepost/platform/store"
)

// build returns the path of chive-entry, built from this tree.
func build(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "chive-entry")
	cmd := exec.Command("go", "build", "-o", binary, ".")
	cmd.Dir = filepath.Join("..", "..", "..", "entry")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build chive-entry: %v\n%s", err, out)
	}
	return binary
}

// regressions are seeds that once failed, each with its cause. Seeds 7 and 8 are
// played as well, so that there is always a run.
var regressions = map[uint64]string{}

// TestRealHostsUnderFaults plays short runs of real processes.
func TestRealHostsUnderFaults(t *testing.T) {
	binary := build(t)
	seeds := []uint64{7, 8}
	for seed := range regressions {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		res, err := Run(context.Background(), Options{
			Binary: binary, Dir: t.TempDir(), Seed: seed, Duration: 8 * time.Second, Hosts: 3, Callers: 4, Out: io.Discard,
		})
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		t.Logf("seed %d: faults %v, counts %v, answered after the faults %.3f", seed, res.Faults, res.Counts, res.AnsweredRatio)
		for _, b := range res.Violations {
			t.Errorf("seed %d: %s", seed, b)
		}
		if res.Counts["answered"] == 0 {
			t.Errorf("seed %d: nothing was answered", seed)
		}
	}
}

// The checks are only worth something if they fail where a promise is broken.
func TestLedgerFindsBrokenPromises(t *testing.T) {
	tests := []struct {
		name string
		do   func(l *ledger)
		want string
	}{
		{"a request that no caller sent", func(l *ledger) { l.ran("x", "t", "a", "", time.Time{}) }, "no caller sent"},
		{"twice", func(l *ledger) {
			l.sent("x", true, "k", "a")
			l.ran("x", "t", "a", "", time.Time{})
			l.ran("x", "u", "a", "", time.Time{})
		}, "2. time"},
		{"refused after it has run", func(l *ledger) {
			l.sent("x", true, "k", "a")
			l.ran("x", "t", "a", "", time.Time{})
			l.refused("x")
		}, "told that it has not"},
		{"runs after it was refused", func(l *ledger) {
			l.sent("x", true, "k", "a")
			l.refused("x")
			l.ran("x", "t", "a", "", time.Time{})
		}, "told that it never will"},
		{"another account", func(l *ledger) { l.sent("x", false, "k", "a"); l.ran("x", "t", "b", "", time.Time{}) }, "runs for account"},
		{"the key itself", func(l *ledger) { l.sent("x", false, "k", "a"); l.ran("x", "t", "a", "Token k", time.Time{}) }, "caller's key"},
		{"a leaving target", func(l *ledger) {
			l.sent("x", false, "k", "a")
			l.calm = time.Now().Add(-time.Minute)
			l.ran("x", "t", "a", "", time.Now().Add(-drainTime-time.Second))
		}, "began to leave"},
		{"a key that was taken away", func(l *ledger) {
			l.calm = time.Now().Add(-time.Minute)
			l.revoked["k"] = time.Now().Add(-applyTime - time.Second)
			l.sent("x", false, "k", "a")
			l.ran("x", "t", "a", "", time.Time{})
		}, "key was taken away"},
		{"a late answer", func(l *ledger) {
			l.calm = time.Now().Add(-time.Minute)
			l.sent("x", false, "k", "a")
			l.requests["x"].at = time.Now().Add(-callTimeout - time.Second)
			l.answered("x")
		}, "has its answer after"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newLedger()
			test.do(l)
			if len(l.breaches) != 1 || !strings.Contains(l.breaches[0], test.want) {
				t.Errorf("breaches %q, want one with %q", l.breaches, test.want)
			}
		})
	}
}

// server answers what it reads.
func server(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

func TestProxyFaults(t *testing.T) {
	for _, test := range []struct {
		name   string
		fault  linkFault
		passes bool
		ends   bool
	}{
		{"fine", linkFine, true, false},
		{"delayed", linkDelayed, true, false},
		{"reset", linkReset, false, true},
		{"one way", linkOneWay, false, false},
		{"silent", linkSilent, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			p, err := newProxy(server(t))
			if err != nil {
				t.Fatal(err)
			}
			defer p.close()
			p.set(test.fault)
			c, err := net.Dial("tcp", p.address())
			if err != nil && test.ends {
				return // it may end before the dial is over
			}
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			_, _ = io.WriteString(c, "x")
			_ = c.SetReadDeadline(time.Now().Add(4 * delay))
			var one [1]byte
			_, err = c.Read(one[:])
			if passes := err == nil; passes != test.passes {
				t.Errorf("read: %v, want it to pass: %v", err, test.passes)
			}
			if ended := err != nil && !errors.Is(err, os.ErrDeadlineExceeded); ended != test.ends {
				t.Errorf("read: %v, want the connection to end: %v", err, test.ends)
			}
		})
	}
}

// The client of the platform's store reads what the stand-in holds.
func TestMetaStore(t *testing.T) {
	s := newMetaStore()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() { _ = http.Serve(l, s) }() //nolint:gosec // a test on the loopback
	c := store.New(l.Addr().String(), http.DefaultClient)
	ctx := context.Background()
	for _, kv := range [][2]string{{"a", "1"}, {"b", "2"}, {"a", "3"}} {
		if err := c.Put(ctx, "keyed.x", kv[0], []byte(kv[1])); err != nil {
			t.Fatal(err)
		}
	}
	records, end, err := c.Newest(ctx, "keyed.x")
	if err != nil || end != 3 || len(records) != 2 || string(records[1].Value) != "3" {
		t.Errorf("newest %+v, end %d, %v", records, end, err)
	}
	records, next, err := c.Read(ctx, "keyed.x", 1, 0)
	if err != nil || next != 3 || len(records) != 2 || records[0].Key != "b" {
		t.Errorf("read %+v, next %d, %v", records, next, err)
	}
	go func() {
		time.Sleep(30 * time.Millisecond)
		s.put("keyed.x", "a", nil)
	}()
	records, next, err = c.Read(ctx, "keyed.x", 3, 2*time.Second)
	if err != nil || next != 4 || len(records) != 1 || !records[0].IsRemoval() {
		t.Errorf("read that waits %+v, next %d, %v", records, next, err)
	}
	s.forget("keyed.x")
	if _, _, err := c.Read(ctx, "keyed.x", 1, 0); !store.IsTrimmed(err) {
		t.Errorf("read of history: %v, want an error that says it is gone", err)
	}
	if records, end, err = c.Newest(ctx, "keyed.x"); err != nil || end != 4 || len(records) != 1 {
		t.Errorf("newest after the history is dropped %+v, end %d, %v", records, end, err)
	}
}
