#!/bin/sh
# Builds the stand-ins of the scripts into review/bin. It needs nothing but Go.
set -e
cd "$(dirname "$0")/standin"
GOWORK=off go build -trimpath -o ../bin/standin .
