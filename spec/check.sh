#!/bin/sh
# Verifies the properties of each model, and that the checker detects the deliberate fault that -DFAULT puts into the model.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# verify MODEL SPIN_FLAGS PAN_FLAGS prints the number of errors that the checker found.
verify() {
  dir=$(mktemp -d "$work/XXXXXX")
  (
    cd "$dir"
    # shellcheck disable=SC2086
    spin $2 -a "$here/$1.pml" >spin.log 2>&1 || { cat spin.log >&2; exit 1; }
    gcc -O2 -w -DVECTORSZ=4096 -DNFAIR=3 -o pan pan.c
    # shellcheck disable=SC2086
    ./pan -m200000 $3 >pan.log 2>&1 || true
    sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log | head -1
  )
}

# check MODEL PAN_FLAGS [SPIN_FLAGS] exits with an error if the model violates a property, or if the fault is not detected.
check() {
  flags=${3:-}
  errors=$(verify "$1" "$flags" "$2")
  fault_errors=$(verify "$1" "-DFAULT" "$2")
  if [ "$errors" != 0 ]; then echo "spec $1: the model breaks a property ($errors)"; exit 1; fi
  if [ "$fault_errors" = 0 ] || [ -z "$fault_errors" ]; then echo "spec $1: the deliberate fault was not found"; exit 1; fi
  echo "spec $1 $flags: properties hold, deliberate fault found"
}

check claim ""
check bundle "-a -f"
check room "-a -f"
check lease ""
check lease "" "-DFENCED"
