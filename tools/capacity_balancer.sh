#!/usr/bin/env bash
# Prints what a balancer's control part costs, one JSON line a size, for
# docs/CAPACITY.md: first the pure library, then real processes (a relay and
# another balancer beside a platform stand-in), idle for a while.
# usage: tools/capacity_balancer.sh [IDLE_SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."

idle=${1:-10}
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

# start NUMBER: a balancer; only one relay is wanted.
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
[spread]
relays = 1
[platform]
address = "$platform"
calls_per_second = 2000.0
calls_burst = 4000.0
END
    "$bin/galena-balancer" --config "$work/$1.toml" 2>"$work/$1.log" &
    pids+=($!)
    eval "pid_$1=$!"
}

cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
rss_kib() { awk '/^VmRSS/ {print $2}' "/proc/$1/status"; }
calls() { drive calls | tr -dc '0-9 {}:,a-z_"' | cut -d' ' -f2-; }

# measure SERVICES
measure() {
    "$bin/platform_standin" --listen "$platform" >/dev/null 2>&1 &
    pids+=($!)
    sleep 0.3
    drive fill "$1" 4 >/dev/null
    start 1
    drive wait_epoch "service-$(($1 - 1))" 4 60000 "$(http_of 1)" >/dev/null
    start 2
    drive wait_epoch "service-$(($1 - 1))" 4 60000 "$(http_of 2)" >/dev/null
    sleep 3
    local relay_before other_before calls_before
    relay_before=$(cpu_ticks "$pid_1")
    other_before=$(cpu_ticks "$pid_2")
    calls_before=$(calls)
    sleep "$idle"
    echo "{\"measure\":\"processes\",\"services\":$1,\"idle_s\":$idle," \
        "\"relay_rss_kib\":$(rss_kib "$pid_1"),\"other_rss_kib\":$(rss_kib "$pid_2")," \
        "\"relay_cpu_ticks\":$(($(cpu_ticks "$pid_1") - relay_before))," \
        "\"other_cpu_ticks\":$(($(cpu_ticks "$pid_2") - other_before))," \
        "\"tick_s\":$(awk "BEGIN {print 1 / $(getconf CLK_TCK)}")," \
        "\"calls_before\":$calls_before,\"calls_after\":$(calls)}"
    stop_all
}

for services in 50 200 600 1100; do
    measure "$services"
done
