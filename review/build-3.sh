#!/usr/bin/env bash
# Prepares the stand-ins of the cases 11 to 15: harness3.py and the project's
# own in standins/.  They are plain Python and use only the libraries that the
# build of the deploy file puts into target/deps, so that nothing is fetched:
# this checks that all of them can be loaded.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/msgspec || {
    echo 'target/deps is missing: run the build of the deploy file' >&2
    exit 1
}
PYTHONPATH="$PWD/target/deps:$PWD" python3 -c 'import review.harness3'
