#!/usr/bin/env bash
# Builds the tests named as arguments, or everything, with AddressSanitizer and
# UndefinedBehaviorSanitizer in build-sanitize/ and runs them there. A finding ends its
# program and fails the test.
set -euo pipefail
cd "$(dirname "$0")/.."
bash tools/install.sh
flags="-fsanitize=address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer"
cmake -S . -B build-sanitize -G Ninja -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS_DEBUG="-O1 -g1 $flags" -DCMAKE_EXE_LINKER_FLAGS="$flags" >/dev/null
cmake --build build-sanitize --parallel "${JOBS:-$(nproc)}" --target "${@:-all}"
export ASAN_OPTIONS=detect_stack_use_after_return=1 UBSAN_OPTIONS=print_stacktrace=1
names=$(IFS='|'; echo "${*:-.*}")
ctest --test-dir build-sanitize --output-on-failure --timeout 600 -j 2 -R "^($names)\$"
