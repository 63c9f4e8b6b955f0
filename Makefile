# Everything is built into bin/; runs write only below out/.
SHELL := /bin/bash
GO ?= go
MODULES := share platform entry admin stand caller
PROGRAMS := entry:chive-entry admin:chivectl stand:chive-stand caller:chive-call
LINT_VERSION := v2.15.0
LINT := $(CURDIR)/bin/golangci-lint
SEED ?= 1
DURATION ?= 5m
FAULTS ?= all
HOSTS ?= 6

# Tests that KNOWN-RED.txt names at the start of a line, such as "TestCrowds/idle_connections: ...", are
# passed over.
RED := $(shell sed -n 's/^\(Test[^ :]*\): .*/\1/p' KNOWN-RED.txt 2>/dev/null | sed 's,/,$$/^,; s,.*,^&$$,' | paste -sd '|' -)
SKIP := $(if $(RED),-skip '$(RED)')
# Sets packages to all packages of a module but that of the soak.
PACKAGES := set -o pipefail && packages=$$($(GO) list ./... | grep -v '^chivepost/stand/internal/soak$$')

.PHONY: build demo soak platform-soak platform-soak-short test test-cores histories lint fmt vet tidy clean capacity

build:
	@mkdir -p bin
	@for p in $(PROGRAMS); do (cd $${p%%:*} && $(GO) build -o ../bin/$${p##*:} .) || exit 1; done

demo: build
	@scripts/demo

# A long run under faults drawn from SEED, such as: make soak SEED=7 DURATION=3m
soak: build
	@SEED=$(SEED) DURATION=$(DURATION) scripts/soak

# The same for hosts on the platform, against its stand-ins. FAULTS selects what is injected.
platform-soak: build
	@bin/chive-stand soak --faults $(FAULTS) --hosts $(HOSTS) --seed $(SEED) --duration $(DURATION) --dir out/platform-soak-$(FAULTS)-$(SEED)

# Short runs of four kinds, for CI.
platform-soak-short: build
	@bin/chive-stand soak --faults planned --seed 4 --duration 20s --dir out/platform-soak-short
	@bin/chive-stand soak --faults tainted --seed 11 --duration 24s --dir out/platform-soak-short
	@bin/chive-stand soak --faults resumed --seed 1 --duration 16s --dir out/platform-soak-short
	@bin/chive-stand soak --faults crowded --hosts 3 --seed 2 --duration 15s --dir out/platform-soak-short

# The race detector is on: most packages here share state between goroutines. It runs on
# one thread for each package: Go 1.26 gives the detector one context for all timers of a
# synctest bubble, and a run crashed in runtime.(*timer).maybeRunChan (SIGSEGV) with several.
# The load model has no goroutines, so it runs without the detector, which would take it
# five times as long.
#
# The package of the soak has no such bubble. It runs by itself after the others, on all cores:
# its crowds, callers and targets share the process of the test, which starves them on one thread.
test:
	@for m in $(MODULES); do (cd $$m && $(PACKAGES) && $(GO) test $(SKIP) -race -cpu 1 -count=1 $$packages) || exit 1; done
	@cd stand && $(GO) test $(SKIP) -race -count=1 ./internal/soak
	@cd entry && $(GO) test -count=1 ./internal/model

# The same tests on all cores, without the race detector.
test-cores:
	@for m in $(MODULES); do (cd $$m && $(PACKAGES) && $(GO) test $(SKIP) -count=1 $$packages) || exit 1; done
	@cd stand && $(GO) test $(SKIP) -count=1 ./internal/soak

# The randomised histories in full; make test runs fewer of them, under the race detector.
histories:
	@cd entry && $(GO) test -count=1 ./internal/node -histories 200

vet:
	@for m in $(MODULES); do (cd $$m && $(GO) vet ./...) || exit 1; done

$(LINT):
	@mkdir -p bin
	GOBIN=$(CURDIR)/bin $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

lint: $(LINT)
	@for m in $(MODULES); do (cd $$m && $(LINT) fmt --diff && $(LINT) run ./...) || exit 1; done

fmt: $(LINT)
	@for m in $(MODULES); do (cd $$m && $(LINT) fmt) || exit 1; done

tidy:
	@for m in $(MODULES); do (cd $$m && $(GO) mod tidy) || exit 1; done

clean:
	rm -rf bin out

# Runs the benchmarks behind docs/CAPACITY.md and extrapolates them; takes about three minutes.
CAPACITY_ENTRY := member slots claims config route queue peers node front
capacity:
	@mkdir -p out && uptime | tee out/capacity.txt
	cd share && $(GO) test -run '^$$' -bench . -benchtime 200ms -count 3 ./bundle >>../out/capacity.txt
	cd entry && $(GO) test -p 1 -run '^$$' -bench . -benchtime 200ms -count 3 $(CAPACITY_ENTRY:%=./internal/%) >>../out/capacity.txt
	@uptime | tee -a out/capacity.txt
	@cd entry && $(GO) test -count=1 -run '^TestCapacity$$' ./internal/bench -v -capacity $(CURDIR)/out/capacity.txt
