#!/usr/bin/env bash
# Checks all C++ files of the project with clang-format and clang-tidy.
# usage: tools/lint.sh [--fix-format]
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t files < <(git ls-files --cached --others --exclude-standard \
    'src/*.cpp' 'src/*.h' 'platform/*.cpp' 'platform/*.h' 'testsuite/*.cpp' 'testsuite/*.h' ':!*.capnp.h')
if [ "${1:-}" = --fix-format ]; then
    clang-format -i "${files[@]}"
    exit 0
fi
clang-format --dry-run -Werror "${files[@]}"
cmake --preset release >/dev/null
report=$(mktemp)
trap 'rm -f "$report"' EXIT
status=0
printf '%s\n' "${files[@]}" | grep '\.cpp$' |
    xargs -P "${GALENA_JOBS:-$(nproc)}" -n 2 \
        clang-tidy --quiet -p build/release >"$report" 2>&1 || status=1
grep -vE '^[0-9]+ warnings? |^Suppressed |^Use -header-filter|^$' "$report" || true
exit "$status"
