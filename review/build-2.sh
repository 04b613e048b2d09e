#!/usr/bin/env bash
# Builds the program that plays the cases 6 to 10, with their stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -o target/review-2 ./review/_cases2
