#!/usr/bin/env bash
# Generates control.capnp.h and control.capnp.c++ from control.capnp. Both are
# committed; run this script after each change of the schema.
set -euo pipefail
cd "$(dirname "$0")"
capnp compile -oc++ control.capnp
