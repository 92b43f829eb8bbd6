#!/usr/bin/env bash
# Prints what a balancer's control part costs, one JSON line a size, for
# docs/CAPACITY.md.
# usage: tools/capacity_balancer.sh
set -euo pipefail
cd "$(dirname "$0")/.."

tools/build.sh release >&2
build/release/bin/balancer_capacity
