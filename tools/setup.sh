#!/usr/bin/env bash
# Installs the packages needed to build and test galenafork.
# usage: tools/setup.sh
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t packages < tools/packages.txt
missing=()
for package in "${packages[@]}"; do
    if ! dpkg-query -W -f '${db:Status-Status}' "$package" 2>/dev/null |
        grep -qx installed; then
        missing+=("$package")
    fi
done
if [ "${#missing[@]}" -eq 0 ]; then
    echo "setup: every package is installed"
    exit 0
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}"
