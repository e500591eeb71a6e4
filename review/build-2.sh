#!/usr/bin/env bash
# Builds the stand-ins of the cases 7 to 10 into target/review-2. The build of the deploy file comes before.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
mkdir -p ../../target/review-2
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-2/standins-2 .
