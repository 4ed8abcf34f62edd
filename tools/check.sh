#!/usr/bin/env bash
# Runs the formatter and the linter over the project's own sources.
# With file names as arguments, only over those.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files '*.cpp' '*.h')
fi
[ ${#files[@]} -eq 0 ] && exit 0
clang-format --dry-run -Werror "${files[@]}"
[ -f build/compile_commands.json ] || cmake -S . -B build -G Ninja >/dev/null
printf '%s\n' "${files[@]}" | { grep '\.cpp$' || true; } | xargs -r -P "$(nproc)" -n 1 clang-tidy -p build --quiet 2>&1 |
    { grep -v -E '^[0-9]+ warnings? (generated|treated)|^Suppressed|^Use -header-filter' || true; } | tee build/tidy.log
if grep -qE '(error|warning):' build/tidy.log; then exit 1; fi
