#!/usr/bin/env bash
# Builds the stand-ins of the cases. The program of the deploy file is built before.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -o target/review/cases ./review/_cases
