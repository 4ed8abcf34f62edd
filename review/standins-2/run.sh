#!/usr/bin/env bash
# Runs the stand-in $1 for the case in folder $2, in a temporary folder, for 120 s at most.
# Ends all processes that it started: they end with the stand-in.
set -uo pipefail
root="$(cd "$(dirname "$0")/../.." && pwd)"
program="$root/target/bin/arbutus-platform"
standin="$root/target/review-2/$1"
if [ ! -x "$program" ] || [ ! -x "$standin" ]; then
    echo "build the deploy file and run review/build-2.sh first" >&2
    exit 2
fi
folder="$(mktemp -d "${TMPDIR:-/tmp}/case-XXXXXX")"
trap 'rm -rf "$folder"' EXIT
timeout --kill-after=2 115 "$standin" "$program" "$folder" "$2/record.txt"
status=$?
[ "${KEEP_LOGS:-0}" = 1 ] && mkdir -p "$2/logs" && cp "$folder"/*.log "$2/logs/"
case $status in
0 | 1) exit $status ;;
*) exit 2 ;;
esac
