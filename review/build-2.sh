#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -o target/review-2 ./review/_stand2
