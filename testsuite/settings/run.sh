#!/usr/bin/env bash
# Checks the balancer's command line and settings file. All errors of a file
# must be reported at once, each with line and column, and nothing may be
# started.
set -euo pipefail
cd "$(dirname "$0")/../.."

balancer=build/release/bin/galena-balancer
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# expect CODE ARGUMENT...: runs the balancer, which must exit with CODE, and
# writes its output to $work/out.
expect() {
    local expected=$1 code=0
    shift
    timeout 10 "$balancer" "$@" >"$work/out" 2>&1 || code=$?
    if [ "$code" -ne "$expected" ]; then
        echo "settings: FAILED: '$*' exited with $code, not $expected"
        cat "$work/out"
        exit 1
    fi
}

cat >"$work/good.toml" <<'END'
instance = "b-1"
data_centre = "dc-1"
[packets]
listen = "127.0.0.1:32901"
agents = "127.0.0.1:32902"
[control]
http = "127.0.0.1:32903"
rpc = "127.0.0.1:32904"
[platform]
address = "127.0.0.1:32900"
END
cat >"$work/bad.toml" <<'END'
instance = "B 1"
drain_time = "5 seconds"
log_level = "loud"
[packets]
listen = "somewhere"
agents = "127.0.0.1:32902"
threads = 0
[control]
http = "127.0.0.1:32903"
[platform]
address = "127.0.0.1:32900"
call_deadline = 5
[speed]
fast = true
END
cat >"$work/expected" <<END
$work/bad.toml:1:1: instance must be a name in quotes: 1 to 63 of a-z, 0-9 and -
$work/bad.toml:1:1: data_centre is missing
$work/bad.toml:2:1: drain_time must be a time with its unit, such as "150 ms" (us, ms, s, min, h)
$work/bad.toml:3:1: log_level must be debug, info, warning or error
$work/bad.toml:5:1: packets.listen 'somewhere' is not an IP address and port
$work/bad.toml:7:1: packets.threads must be from 1 to 64
$work/bad.toml:8:2: control.rpc is missing
$work/bad.toml:12:1: platform.call_deadline must be a time with its unit, such as "150 ms" (us, ms, s, min, h)
$work/bad.toml:13:2: speed is not a known section
END

expect 0 --help
grep -q -- '--config' "$work/out"
expect 0 --version
grep -q '^galena-balancer [0-9]' "$work/out"
expect 2
expect 2 --config "$work/good.toml" --colour red
expect 2 --config "$work/good.toml" stray
expect 3 --config "$work/absent.toml"
expect 0 --config "$work/good.toml" --check
expect 3 --config "$work/bad.toml" --check
diff "$work/expected" "$work/out"
expect 3 --config "$work/bad.toml"
diff "$work/expected" "$work/out"
sed 's/32904/32903/' "$work/good.toml" >"$work/twice.toml"
expect 1 --config "$work/twice.toml"
grep -q 'event=start_failed' "$work/out"
echo "settings: passed"
