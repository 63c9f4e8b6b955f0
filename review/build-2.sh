#!/usr/bin/env bash
# Builds the stand-ins of the second review, which need nothing but Go's standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
cd review/standin2
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off CGO_ENABLED=0 go build -trimpath -buildvcs=false -o ../../target/review-standin-2 .
