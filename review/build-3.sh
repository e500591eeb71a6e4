#!/usr/bin/env bash
# Build the stand-ins of the cases 11 to 14, without a network: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standins-3"
mkdir -p ../../target/review-3
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-3/standins .
