#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cc; do
    name="$(basename "$source" .cc)"
    "${CXX:-g++}" -std=c++17 -O1 -Wall -Wextra -pthread -Ireview/standins-2 "$source" -o "target/review-2/$name"
done
