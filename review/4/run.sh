#!/bin/sh
# Runs the case; build the deploy file and review/build.sh first. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/standin drain review/4/record.txt
