#!/usr/bin/env bash
# Plays one scenario: starts the stand-ins, then the proxies with the command of the deploy file.
# Usage: run-case.sh SCENARIO PROXIES RECORD. Exit code: 1 broken, 0 held, 2 not run.
set -u
scenario=$1
proxies=$2
record=$3
cd "$(dirname "$0")/../.." || exit 2
stand=target/review-2/stand
proxy=$(sed -n 's/^run = "\(.*\)"/\1/p' deploy/system.toml)
[ -x "$stand" ] && [ -x "$proxy" ] || { echo "build first: the deploy file's command, review/build-2.sh"; exit 2; }
folder=$(mktemp -d)
pids=()
standPid=
cleanup() {
    [ -n "$standPid" ] && kill "$standPid" 2>/dev/null
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$folder"
}
trap cleanup EXIT
trap 'exit 2' TERM INT

timeout -k 2 110 "$stand" "$scenario" "$proxies" "$folder" "$record" &
standPid=$!
for _ in $(seq 100); do
    [ -f "$folder/proxies" ] && break
    sleep 0.05
done
[ -f "$folder/proxies" ] || exit 2
: >"$folder/pids"
while read -r settings; do
    SHALLOTWALK_BOOT=$settings "$proxy" >"$settings.log" 2>&1 &
    pids+=("$!")
    echo "$!" >>"$folder/pids"
done <"$folder/proxies"
wait "$standPid"
result=$?
standPid=
[ "$result" -le 2 ] || result=2
exit "$result"
