#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15: one program, which also plays the store, the replicas and the requesters.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -trimpath -o target/review-harness3 ./review/harness3
