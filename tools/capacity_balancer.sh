#!/usr/bin/env bash
# Measures the cost of a balancer's control logic for docs/CAPACITY.md and prints
# a line of JSON for each number of services: first for the decision library,
# then for real processes (two relays and another balancer with a platform
# stand-in), which are idle at first and then receive changes of one roster.
# usage: tools/capacity_balancer.sh [IDLE_SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."

idle=${1:-20}
changes=50
bin=build/release/bin
base=${GALENA_CAPACITY_PORT:-32500}
platform=127.0.0.1:$base
work=$(mktemp -d)
pids=()

stop_all() {
    for pid in "${pids[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    pids=()
}
trap 'stop_all; rm -rf "$work"' EXIT

tools/build.sh release >&2
"$bin/balancer_capacity"

drive() { "$bin/spread_driver" "$platform" "$@"; }
http_of() { echo "127.0.0.1:$((base + 10 * $1 + 3))"; }

# start NUMBER: starts a balancer; the first two become relays.
start() {
    cat >"$work/$1.toml" <<END
instance = "b-$1"
data_centre = "dc-1"
drain_time = "0 ms"
[packets]
listen = "127.0.0.1:$((base + 10 * $1 + 1))"
agents = "127.0.0.1:$((base + 10 * $1 + 2))"
[control]
http = "$(http_of "$1")"
rpc = "127.0.0.1:$((base + 10 * $1 + 4))"
[platform]
address = "$platform"
calls_per_second = 2000.0
calls_burst = 4000.0
END
    "$bin/galena-balancer" --config "$work/$1.toml" >"$work/$1.log" 2>&1 &
    pids+=($!)
    eval "pid_$1=$!"
}

cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
rss_kib() { awk '/^VmRSS/ {print $2}' "/proc/$1/status"; }
calls() { drive calls | tr -dc '0-9 {}:,a-z_"' | cut -d' ' -f2-; }

# snapshot NAME: prints the CPU ticks of each balancer and the platform calls so
# far as members of a JSON object.
snapshot() {
    echo "\"relay_ticks_$1\":$(cpu_ticks "$pid_1"),\"relay2_ticks_$1\":$(cpu_ticks "$pid_2"),\"other_ticks_$1\":$(cpu_ticks "$pid_3"),\"calls_$1\":$(calls)"
}

# measure SERVICES: prints the measurements with that number of services.
measure() {
    "$bin/platform_standin" --listen "$platform" >/dev/null 2>&1 &
    pids+=($!)
    sleep 0.3
    drive fill "$1" 4 >/dev/null
    local all started
    all="$(http_of 1) $(http_of 2) $(http_of 3)"
    for i in 1 2 3; do
        start "$i"
        drive wait_epoch "service-$(($1 - 1))" 4 60000 "$(http_of "$i")" >/dev/null
    done
    sleep 5
    local before after changed
    before=$(snapshot start)
    sleep "$idle"
    after=$(snapshot idle)
    started=$(date +%s%N)
    for i in $(seq "$changes"); do
        drive join service-0 "$((10 + i))" >/dev/null
    done
    # shellcheck disable=SC2086
    drive wait_epoch service-0 "$((4 + changes))" 10000 $all >/dev/null
    changed=$(snapshot changed)
    echo "{\"measure\":\"processes\",\"services\":$1,\"idle_s\":$idle,\"changes\":$changes," \
        "\"changes_ms\":$((($(date +%s%N) - started) / 1000000))," \
        "\"tick_ms\":$((1000 / $(getconf CLK_TCK)))," \
        "\"relay_rss_kib\":$(rss_kib "$pid_1"),\"relay2_rss_kib\":$(rss_kib "$pid_2"),\"other_rss_kib\":$(rss_kib "$pid_3")," \
        "$before,$after,$changed}"
    stop_all
}

for services in 50 200 600 1100; do
    measure "$services"
done
