#!/usr/bin/env bash
# Builds the stand-ins that the scripts under review/ start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -tags review -o target/review-standin ./review/standin
