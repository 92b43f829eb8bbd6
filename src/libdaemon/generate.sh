#!/usr/bin/env bash
# Makes control.capnp.h and control.capnp.c++ from control.capnp. Their output
# is committed; run this after a change of the schema.
set -euo pipefail
cd "$(dirname "$0")"
capnp compile -oc++ control.capnp
