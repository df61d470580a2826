#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10.  They stand in harness2.py and
# need the standard library only, so that nothing is built or fetched: this
# only checks that they can be loaded, and that the deploy build has run.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/msgspec || {
    echo 'target/deps is missing: run the build of the deploy file' >&2
    exit 1
}
PYTHONPATH=review python3 -c 'import harness2'
