#!/usr/bin/env bash
# Build the stand-ins of all cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/standins"
mkdir -p ../../target/review
GOWORK=off go build -o ../../target/review/ ./...
