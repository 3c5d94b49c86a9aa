#!/usr/bin/env bash
# Measures the slopes that need several processes: processor time per relayed token (at two rates) and per probe, bytes per probe, and the
# resident memory of an idle gateway. Prints them as --given options for 'knapweedslip-slopes measure', and the latency that the gateway adds.
set -eu
cd "$(dirname "$0")/.."
BUILD=${BUILD:-$PWD/build}
. examples/deployment.sh
export ENTRY_VMS=1
prepare_deployment tsakalos attica-1 attica-2 attica-3 >/dev/null
sed -i 's/group_requests: 16/group_requests: 64/' "$RUN/plan.yaml"
start_standins --token-ms 5 --first-token-ms 1
start_daemons >/dev/null
apply_plan 15 >/dev/null 2>&1

cpu_ms() { # process id; prints the user and system time used so far, in ms
    awk '{ print ($14 + $15) * 10 }' "/proc/$1/stat"
}
counter() { # address name
    curl -sf "http://$1/metrics" | awk -v name="$2" '$1 == name { print int($2) }'
}

gateway=$(pid_of gateway-1)
base_kb=$(awk '/VmRSS/ { print $2 }' "/proc/$gateway/status")
echo "idle gateway: $base_kb KB resident" >&2

sizes=()
for rate in 10 40; do
    before_cpu=$(cpu_ms "$gateway") before_tokens=$(counter "$PREFIX.1.1:7001" knapweedslip_tokens_total)
    "$BUILD/tools/knapweedslip-load" completions --target "$PREFIX.1.1:7000" --key-file "$RUN/workspace.key" --model "$MODEL" --rate $rate --seconds 5 \
        --max-tokens 200 >"$RUN/load-$rate.txt"
    after_cpu=$(cpu_ms "$gateway") after_tokens=$(counter "$PREFIX.1.1:7001" knapweedslip_tokens_total)
    sizes+=("$((after_cpu - before_cpu)) $((after_tokens - before_tokens))")
    echo "rate $rate: $((after_tokens - before_tokens)) tokens, $((after_cpu - before_cpu)) ms of processor time; $(tail -n 1 "$RUN/load-$rate.txt")" >&2
done
relay=$(printf '%s\n' "${sizes[@]}" | awk 'NR == 1 { c = $1; t = $2 } NR == 2 { print ($1 - c) * 1000 / ($2 - t) }')

# The controller probes 57 VMs 4 times a second. The figure includes placement and gossip.
controller=$(pid_of controller-1)
before_cpu=$(cpu_ms "$controller")
sleep 5
after_cpu=$(cpu_ms "$controller")
probe=$(awk -v ms=$((after_cpu - before_cpu)) 'BEGIN { print ms * 1000 / (57 * 4 * 5) }')
echo "controller: $((after_cpu - before_cpu)) ms of processor time in 5 s for 1140 probes" >&2
probe_bytes=$(curl -s -o /dev/null -w '%{size_request} %{size_header} %{size_download}' "http://$PREFIX.2.1:8001/control/status" | awk '{ print $1 + $2 + $3 }')

# Added latency: time to first byte through the gateway and directly from the engine, with one request at a time.
direct() {
    curl -s -o /dev/null -w '%{time_starttransfer}\n' -H "X-Request-Id: d" -H "X-Group-Generation: $generation" -d '{"prompt":"x","max_tokens":1}' "http://$PREFIX.2.1:8001/v1/completions"
}
through() {
    curl -s -o /dev/null -w '%{time_starttransfer}\n' -H "Authorization: Bearer $WORKSPACE_KEY" -d "{\"model\":\"$MODEL\",\"prompt\":\"x\",\"max_tokens\":1,\"stream\":true}" "http://$PREFIX.1.1:7000/v1/completions"
}
generation=$(curl -sf "http://$PREFIX.2.1:8001/control/status" | sed 's/.*"generation":\([0-9]*\).*/\1/')
for kind in direct through; do
    for _ in $(seq 1 200); do $kind; done | sort -n >"$RUN/$kind.txt"
    awk -v kind=$kind '{ v[NR] = $1 * 1000 } END { printf "%s: first byte p50 %.2f ms, p99 %.2f ms (200 requests)\n", kind, v[int(NR * 0.5)], v[int(NR * 0.99)] }' "$RUN/$kind.txt" >&2
done

echo "--given process_base_mb=$(awk -v kb="$base_kb" 'BEGIN { print kb / 1000 }') probe_us=$probe probe_bytes=$probe_bytes relay_us_per_token=$relay"
