#!/usr/bin/env bash
# Builds the programs that the scripts of the review start, besides those of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-rig ./review/rig
