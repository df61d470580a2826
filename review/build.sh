#!/usr/bin/env bash
# Prepares the stand-ins of the cases.  They are plain Python and use only the
# libraries that the build of the deploy file puts into target/deps, so that
# nothing is fetched here: this only checks that all of them can be loaded.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD"
python3 -c 'import review.harness'
