#!/usr/bin/env bash
# Configures and builds one preset.
# usage: tools/build.sh [release|asan|tsan]
set -euo pipefail
cd "$(dirname "$0")/.."

preset=${1:-release}
cmake --preset "$preset" >/dev/null
cmake --build "build/$preset" -- --quiet -j "${GALENA_JOBS:-$(nproc)}"
