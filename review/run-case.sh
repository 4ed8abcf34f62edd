#!/usr/bin/env bash
# Runs the case with the number $1 and writes record.txt in its folder; leaves out the
# disruption if $2 is 0. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case
# could not run.
cd "$(dirname "$0")/.." || exit 2
[ -x target/bin/arbutus-platform ] && [ -x "review/bin/case-$1" ] || exit 2
folder=$(mktemp -d) || exit 2
timeout -k 2 110 "review/bin/case-$1" "review/$1/record.txt" "$folder" "$2"
result=$?
[ -n "${KEEP_LOGS:-}" ] && echo "logs: $folder" || rm -rf "$folder"
[ $result -le 1 ] && exit $result
exit 2
