package guard

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

func TestPanicIsLoggedWithItsStack(t *testing.T) {
	var lines []string
	logger := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	if err := Run(logger, "tests", func() { panic("odd message") }); err == nil || !strings.Contains(err.Error(), "odd message") {
		t.Errorf("got %v, want the panic", err)
	}
	if len(lines) != 1 || !strings.Contains(lines[0], "guard_test.go") || !strings.Contains(lines[0], "odd message") {
		t.Errorf("log lines %q, want one with the stack", lines)
	}
	if err := Run(logger, "tests", func() {}); err != nil {
		t.Errorf("got %v, want nil", err)
	}
}

// A background task goes on after a panic, and ends when it returns or with its context.
func TestTaskStartsAgainAfterAPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runs := 0
		Keep(t.Context(), logr.Discard(), "tests", func() {
			if runs++; runs < 4 {
				panic(runs)
			}
		})
		if runs != 4 {
			t.Errorf("ran %d times, want 4", runs)
		}
		ctx, cancel := context.WithCancel(t.Context())
		Keep(ctx, logr.Discard(), "tests", func() {
			cancel()
			panic("last")
		})
	})
}
