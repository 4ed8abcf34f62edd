#!/usr/bin/env bash
# Configures and builds everything in build/. Programs are written to build/bin/.
set -euo pipefail
cd "$(dirname "$0")/.."
bash tools/install.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build
