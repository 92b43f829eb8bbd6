#!/usr/bin/env bash
# Replicates rules and rosters to four real balancers with a platform stand-in.
# New versions must be active on all balancers within 2 s, also with late,
# duplicated and reordered watch events. During an outage of the platform,
# restarted balancers must get the newest versions from their peers and must not
# fall back to older ones.
set -euo pipefail
cd "$(dirname "$0")/../.."

bin=build/release/bin
work=$(mktemp -d)
base=${GALENA_SPREAD_PORT:-32100}
platform=127.0.0.1:$base
declare -A pids

stop_all() {
    for name in "${!pids[@]}"; do
        kill "${pids[$name]}" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap stop_all EXIT

fail() {
    echo "spread: FAILED: $*"
    tail -n 20 "$work"/*.log
    exit 1
}

drive() {
    "$bin/spread_driver" "$platform" "$@"
}

http_of() { echo "127.0.0.1:$((base + 10 * $1 + 3))"; }
rpc_of() { echo "127.0.0.1:$((base + 10 * $1 + 4))"; }

# write_settings NUMBER SEEDS: writes the settings file of balancer NUMBER.
write_settings() {
    cat >"$work/$1.toml" <<END
instance = "b-$1"
data_centre = "dc-1"
drain_time = "100 ms"
[packets]
listen = "127.0.0.1:$((base + 10 * $1 + 1))"
agents = "127.0.0.1:$((base + 10 * $1 + 2))"
[control]
http = "$(http_of "$1")"
rpc = "$(rpc_of "$1")"
[spread]
seeds = [$2]
exchange_interval = "300 ms"
relay_lease = "3 s"
[platform]
address = "$platform"
END
}

start() {
    "$bin/galena-balancer" --config "$work/$1.toml" >>"$work/$1.log" 2>&1 &
    pids[$1]=$!
}

# stop NUMBER: shuts down a balancer gracefully; it must exit with 0.
stop() {
    kill -TERM "${pids[$1]}"
    wait "${pids[$1]}" || fail "balancer $1 exited with $?"
    unset "pids[$1]"
}

wait_ready() {
    for _ in $(seq 100); do
        if drive get "$(http_of "$1")" /readyz | grep -q '^200'; then
            return
        fi
        sleep 0.05
    done
    fail "balancer $1 is not ready: $(drive get "$(http_of "$1")" /readyz)"
}

all_http=$(for i in 1 2 3 4; do http_of "$i"; done)
rules() { printf 'udp 10.9.0.1:5683 -> orders # Jana\nudp 10.9.0.2:%s -> photos # Jana\n' "$1"; }

"$bin/platform_standin" --listen "$platform" >"$work/platform.log" 2>&1 &
pids[platform]=$!
for i in 1 2 3 4; do
    write_settings "$i" "\"$(rpc_of 1)\", \"$(rpc_of 2)\""
    start "$i"
done
sleep 0.5
drive get "$(http_of 1)" /readyz | grep -q '^503 unready: no rules are known' ||
    fail "a balancer without rules must be unready and report the reason"

drive rules "$(rules 1)" >/dev/null || fail "first rules were not accepted"
# shellcheck disable=SC2086
drive wait_rules 1 2000 $all_http || fail "first rules not active in time"
for i in 1 2 3 4; do wait_ready "$i"; done

drive join orders 1 >/dev/null
# shellcheck disable=SC2086
drive wait_epoch orders 1 2000 $all_http ||
    fail "first roster not active in time"

echo "spread: late, duplicated and reordered watch events"
drive faults '{"watch":{"late_ms":100,"duplicate":0.3,"reorder":0.3}}' >/dev/null
for version in 2 3 4 5; do
    drive rules "$(rules "$version")" >/dev/null
    drive join orders "$version" >/dev/null
    # shellcheck disable=SC2086
    drive wait_rules "$version" 2000 $all_http ||
        fail "rules $version not active in time"
done
# shellcheck disable=SC2086
drive wait_epoch orders 5 2000 $all_http || fail "roster not active in time"

echo "spread: outage; one balancer restarts and gets its state from its peers"
drive faults '{"outage":true}' >/dev/null
stop 4
start 4
drive wait_rules 5 2000 "$(http_of 4)" || fail "no rules from peers"
drive wait_epoch orders 5 2000 "$(http_of 4)" || fail "no roster from peers"
wait_ready 4
for i in 1 2 3; do
    stop "$i"
    start "$i"
    drive wait_rules 5 3000 "$(http_of "$i")" ||
        fail "rules 5 not active in time on balancer $i"
    wait_ready "$i"
done

echo "spread: a new balancer without peers stays unready in the outage"
write_settings 5 ""
start 5
sleep 2
drive get "$(http_of 5)" /readyz >"$work/unready"
grep -q '^503 unready: no rules are known; platform: .*; peers: ' "$work/unready" ||
    fail "new balancer: $(cat "$work/unready")"

echo "spread: the outage ends"
drive faults '{}' >/dev/null
drive wait_rules 5 20000 "$(http_of 5)" ||
    fail "rules 5 not active in time on the new balancer"
drive rules "$(rules 6)" >/dev/null || drive rules "$(rules 6)" >/dev/null
# shellcheck disable=SC2086
drive wait_rules 6 2000 $all_http "$(http_of 5)" ||
    fail "rules 6 not active in time after the outage"

count_relays() {
    for at in $all_http "$(http_of 5)"; do drive get "$at" /status; done |
        grep -c '"relay":true' || true
}
for _ in $(seq 100); do
    relays=$(count_relays)
    [ "$relays" -eq 2 ] && break
    sleep 0.1
done
echo "spread: relays=$relays of 5 balancers"
[ "$relays" -eq 2 ] || fail "expected two relays"
for i in 1 2 3 4 5; do stop "$i"; done
echo "spread: passed"
