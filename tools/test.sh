#!/usr/bin/env bash
# Installs the packages, builds everything and runs all tests. Tests listed in
# KNOWN-RED.txt also run and their results are printed, but they do not fail the run.
set -uo pipefail
cd "$(dirname "$0")/.."
bash tools/build.sh || exit 1

known=$(grep -oE '^test: *[A-Za-z0-9_]+' KNOWN-RED.txt 2>/dev/null | sed 's/^test: *//' | paste -sd'|')
if [ -n "$known" ]; then
    ctest --test-dir build --output-on-failure -j 6 -E "^($known)\$"
else
    ctest --test-dir build --output-on-failure -j 6
fi
result=$?
for name in ${known//|/ }; do
    if ctest --test-dir build -R "^$name\$" >/dev/null; then
        echo "KNOWN-RED: $name passes now; remove its entry from KNOWN-RED.txt."
    else
        echo "KNOWN-RED: $name still fails, as listed."
    fi
done
exit $result
