#!/usr/bin/env bash
# Builds the stand-in that the cases in review/4 and above start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -tags review -o target/review-standin-2 ./review/standin-2
