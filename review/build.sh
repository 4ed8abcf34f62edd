#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into review/bin/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for source in review/*/Case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++17 -O1 -Wall -Wextra -I. -pthread -o "review/bin/case-$number" "$source" review/standins/*.cpp
done
