#!/bin/sh
# Builds the program of the scripts, with the stand-ins that they start. The project's own program is built by the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -trimpath -o target/review-cases ./review/_cases
