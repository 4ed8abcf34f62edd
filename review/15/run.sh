#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With
# TROUBLE=0, without the disruption. Needs the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/FrozenFront ] || exit 2
timeout --kill-after=5 115 target/review-3/FrozenFront review/15/record.txt
code=$?
[ $code -le 1 ] || exit 2
exit $code
