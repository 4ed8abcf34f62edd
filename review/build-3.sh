#!/usr/bin/env bash
# Builds the stand-ins of review/11 to review/15 into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/stand-ins-3/*.cc; do
    name=$(basename "$source" .cc)
    g++ -std=c++17 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread -o "target/review-3/$name" "$source"
done
