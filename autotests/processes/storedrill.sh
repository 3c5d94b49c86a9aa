# The store comes back from a copy that is some seconds old, and gives out revisions and leases again. Guards against rule CONFIG: a configuration at a lower
# revision than the one known was ignored for good, so that a key that had been taken away stayed valid. Also against a configuration or an evacuation that
# goes back while the store shows the older state, and against a leader whose orders engines refuse since its fencing token is lower than the one before.
set -u
. "$(dirname "$0")/../../examples/hosting.sh"
COPY_AGE_S=5
AWAY_MS=1000
# Time in which a new configuration is in force at all daemons (configApplyMs), and in which a key that was taken away is refused (revokeMs), in ms.
APPLY_MS=2000
REVOKE_MS=5000
# name, daemons, time after the return in which the operators and upstreams write again, and in which the daemons do not reach the store yet, both in ms. In
# the second, the next configuration is written, and the revision then passes the one that the daemons know.
cases=(
    "lower|6|0|0"
    "higher|6|0|900"
    "later|6|1500|0"
    "relayed-lower|20|0|0"
    "relayed-higher|20|0|900"
)
SKIPPED_REVISIONS=100000
# Rows at a time.
PARALLEL=3

put_config() { # version, routes to add, keys of the second caller
    local text
    text=$(config)
    text=${text/'"version":1'/"\"version\":$1"}
    text=${text/'"routes":['/"\"routes\":[$2"}
    text=${text/'["other-key"]'/"$3"}
    curl -sf -X PUT --data-binary "$text" "http://$PREFIX.9.1:8500/standin/key?key=op/config" >/dev/null
}

route() { # name
    echo "{\"name\":\"$1\",\"host\":\"api\",\"pathPrefix\":\"/$1/\",\"routeType\":\"idempotent\",\"service\":\"app\",\"timeoutMs\":1500,\"latencyTargetMs\":500,\"maxAttempts\":3},"
}

ask() { # daemon path key; prints the status
    KEY=$3 send "$1" "$2" "x"
}

# Asks every daemon for a path again and again until $RUN/stop-asking exists; prints "daemon status" for each answer.
keep_asking() { # path
    local n
    while [ ! -e "$RUN/stop-asking" ]; do
        for n in $(seq 1 "$ENTRIES"); do
            echo "$n $(ask "$n" "$1" "$KEY")"
        done
        sleep 0.05
    done
}

all_answer() { # path key status
    local n
    for n in $(seq 1 "$ENTRIES"); do
        [ "$(ask "$n" "$1" "$2")" = "$3" ] || return 1
    done
}

# Waits until all daemons answer so, and checks that this takes no longer than the limit from the time SINCE on.
in_time() { # description limit-ms path key status
    local took
    while ! all_answer "$3" "$4" "$5" && [ $(($(uptime_ms) - since)) -lt 20000 ]; do
        sleep 0.05
    done
    took=$(($(uptime_ms) - since))
    echo "$name: $1 after $took ms"
    [ $took -le "$2" ] || { echo "FAILED: $name: $1 only after $took ms, $2 are allowed"; status=1; }
}

run_case() { # name daemons again-ms apart-ms
    local name=$1 since asking out first wrong arrived fenced calls
    start_hosting "$2" --engines 9 --services 6 --prefill-ms 5 --events 3 || { status=1; return; }
    wait_until 20 "/stream/a is served by all daemons" serves /stream/a || { status=1; return; }
    wait_until 20 "/read/a is served by all daemons" serves /read/a || { status=1; return; }
    sleep 3
    curl -sf -X PUT -d '{"copy":true}' "http://$PREFIX.9.1:8500/standin/faults" >/dev/null
    sleep $((COPY_AGE_S - 2))
    put_config 2 "$(route added)" '["other-key"]'
    curl -sf -X PUT -d '{}' "http://$PREFIX.9.1:8500/standin/key?key=op/evacuate/zone-3" >/dev/null
    since=$(uptime_ms)
    in_time "the route added before the drill is served" $APPLY_MS /added/a "$KEY" 200
    sleep 2
    # The plain upstreams of zone-3: their numbers follow the nine engines.
    out=$(for i in 11 14; do curl -sf -X PUT -d "{\"first\":$i,\"count\":1,\"faults\":{}}" "http://$PREFIX.9.1:8500/standin/engines"; done | tr -d '[]"' | sed 's/i-/ i-/g')
    history | wc -l >"$RUN/before"
    keep_asking /added/a >"$RUN/asked" &
    asking=$!
    process_pids+=("$asking")
    curl -sf "http://$PREFIX.9.1:8500/standin/counts" >"$RUN/counts-before"
    curl -sf -X PUT -d "{\"drill_ms\":$AWAY_MS,\"again_ms\":$3,\"apart_ms\":$4,\"skip\":$SKIPPED_REVISIONS}" "http://$PREFIX.9.1:8500/standin/faults" >/dev/null
    sleep "$(awk -v ms=$((AWAY_MS + $3 + ($4 > 0 ? $4 / 2 : 1000))) 'BEGIN { print ms / 1000 }')"
    put_config 3 "$(route added)$(route third)" '[]'
    sleep "$(awk -v ms=$(($4 / 2)) 'BEGIN { print ms / 1000 }')"
    since=$(uptime_ms)
    in_time "the route added after it is served" $APPLY_MS /third/a "$KEY" 200
    in_time "the key taken away is refused" $REVOKE_MS /read/a other-key 401
    sleep 1
    touch "$RUN/stop-asking"
    wait "$asking"
    wrong=$(awk '$2 == 404 || $2 == 401 || $2 == 403' "$RUN/asked" | wc -l)
    arrived=0
    for first in $out; do
        arrived=$((arrived + $(history | tail -n "+$(($(cat "$RUN/before") + 1))" | grep '"kind":"arrived"' | grep -c "\"engine\":\"$first\"")))
    done
    # A group is formed anew by whoever leads now.
    curl -sf -X PUT -d '{"first":0,"count":9,"lost":true}' "http://$PREFIX.9.1:8500/standin/engines" >/dev/null
    sleep 2.5
    wait_until 15 "streams are served by all daemons after all engines were replaced" serves /stream/a || status=1
    fenced=$(cat "$RUN"/entry-*.log | grep '"name":"order-failed"' | grep -c '"reply":"fenced"')
    curl -sf "http://$PREFIX.9.1:8500/standin/counts" >"$RUN/counts-after"
    calls=$(cat "$RUN"/entry-*.log | grep -c '"name":"store-era-risen"')
    echo "$name: $(wc -l <"$RUN/asked") answers on the route known before, $wrong of them as if it were not there; $arrived requests to the evacuated zone; $fenced orders refused for" \
        "their fencing token; $calls of $2 daemons saw the era rise; $(cat "$RUN"/entry-*.log | grep -c '"name":"leadership-taken"') terms"
    [ "$wrong" -eq 0 ] || { echo "FAILED: $name: $wrong answers went back to the older configuration"; status=1; }
    [ "$arrived" -eq 0 ] || { echo "FAILED: $name: $arrived requests reached the evacuated zone"; status=1; }
    [ "$fenced" -eq 0 ] || { echo "FAILED: $name: engines refused $fenced orders for their fencing token"; status=1; }
    [ -z "${KEEP:-}" ] || cp -r "$RUN" "$KEEP-$name"
    end_processes
    process_pids=()
}

selected=()
for row in "${cases[@]}"; do
    name=${row%%|*}
    [ $# -eq 0 ] || [ "$1" = "$name" ] || continue
    selected+=("$row")
done
run_rows "${selected[@]}"
