#!/usr/bin/env bash
# Runs the formatter and the linter on the project's sources, or only on the files
# given as arguments. Skips a file that passed before, until the file, a project
# header that it includes or the linter's configuration changes. The results are
# cached in build/tidy/.
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
mkdir -p build/tidy

lint() {
    local key
    key=$({ clang-tidy --version; cat .clang-tidy; g++ -std=c++17 -I. -MM "$1" | tr -d '\\' | tr ' ' '\n' | grep '\.\(cpp\|h\)$' | xargs cat; } 2>/dev/null | sha256sum | cut -d' ' -f1)
    [ -f "build/tidy/$key" ] && return 0
    local output
    if output=$(clang-tidy -p build --quiet "$1" 2>/dev/null) && ! grep -qE '(error|warning):' <<<"$output"; then
        touch "build/tidy/$key"
    else
        echo "$output"
        return 1
    fi
}
export -f lint
printf '%s\n' "${files[@]}" | { grep '\.cpp$' || true; } | xargs -r -P "$(nproc)" -I{} bash -c 'lint {}'
