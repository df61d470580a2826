#!/usr/bin/env bash
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if it did not run.
# With TROUBLE=0 it does the same without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
export PYTHONPATH="$PWD/target/deps:$PWD"
python3 -W ignore "$here/case.py" &
pid=$!
# The processes that were started end with the script.
trap 'kill -TERM "$pid"' INT TERM
wait "$pid"
code=$?
case $code in
    0 | 1) exit "$code" ;;
    *) wait "$pid"; exit 2 ;;
esac
