# Engines that say in their answers that they leave, or turn requests away for some time, get no requests that they do not want, and no caller is refused
# while another engine is free. Guards against daemons that read only the list of upstreams (rules DRAIN and BUDGET).
set -u
. "$(dirname "$0")/../../examples/hosting.sh"
ENGINES=6
SERVICES=6
# Time after the first answer that says that an engine leaves, from which on the daemon that passed it on may send it nothing (drainMs), and the time for
# which a request may already be underway then, in ms.
DRAIN_MS=2000
UNDERWAY_MS=200
# Requests that a daemon may send to an engine from this long after it was turned away, in ms, until the time that the engine gave.
TURNED_AWAY_MS=500
MAX_TURNED_AWAY=2
# Longest time by which a return may be later than the moment that the engines gave: all callers together must not return at once.
MAX_SPREAD_S=1.5
# name, path, first engine, how many, what they say, how long the store is away in ms, what is checked. An engine that the list names too may get no
# request at all after its first word, so nothing need be seen of it there. With "restarts" all daemons are killed and started after the engine has said
# it, and what they did before is not counted; with "head-restarts" a new leader may close the engine's group before a request reaches it.
cases=(
    "leaving-upstream|/read/a|6|1|\"leaving\":true|0|leaving"
    "leaving-head|/stream/a|0|1|\"leaving\":true|0|leaving"
    "leaving-listed|/read/a|7|1|\"leaving\":true,\"listed\":true|0|listed"
    "leaving-store-away|/read/a|8|1|\"leaving\":true|3000|leaving"
    "leaving-head-store-away|/stream/a|1|1|\"leaving\":true|3000|leaving"
    "turned-away-upstreams|/read/a|9|2|\"turn_away_ms\":4000|0|turned-away"
    "turned-away-heads|/stream/a|2|2|\"turn_away_ms\":4000|0|turned-away"
    "turned-away-by-all|/read/a|6|6|\"turn_away_ms\":4000|0|none-free"
    "leaving-restarts|/read/a|6|1|\"leaving\":true|0|restarts"
    "leaving-head-restarts|/stream/a|4|1|\"leaving\":true|0|head-restarts"
)

engine_words() { # first count words
    curl -sf -X PUT -d "{\"first\":$1,\"count\":$2,$3}" "http://$PREFIX.9.1:8500/standin/engines"
}

# Prints the requests that reached engines which had said that they leave, through a daemon that had passed that on long before, and the daemons.
late_after_leaving() {
    awk -v limit="$((DRAIN_MS + UNDERWAY_MS))" '
        { match($0, /"at_ms":[0-9]+/); at = substr($0, RSTART + 8, RLENGTH - 8)
          match($0, /"engine":"[^"]*"/); engine = substr($0, RSTART, RLENGTH)
          match($0, /"attempt":"d[0-9]+-/); daemon = substr($0, RSTART, RLENGTH); pair = engine daemon }
        /"kind":"said-leaving"/ && daemon != "" && !(pair in said) { said[pair] = at }
        /"kind":"arrived"/ && (pair in said) && at - said[pair] > limit { ++late; daemons[daemon] = 1 }
        END { print late + 0, length(daemons) }' "$1"
}

# Prints the pairs of daemon and engine with more requests than allowed after the engine had turned the daemon away, all pairs, and the most requests.
sent_after_turned_away() {
    awk -v grace="$TURNED_AWAY_MS" -v allowed="$MAX_TURNED_AWAY" '
        { match($0, /"at_ms":[0-9]+/); at = substr($0, RSTART + 8, RLENGTH - 8)
          match($0, /"engine":"[^"]*"/); engine = substr($0, RSTART, RLENGTH)
          match($0, /"attempt":"d[0-9]+-/); daemon = substr($0, RSTART, RLENGTH); pair = engine daemon }
        /"kind":"turned-away"/ && daemon != "" && !(pair in since) {
            match($0, /"until_ms":[0-9]+/); until[pair] = substr($0, RSTART + 11, RLENGTH - 11); since[pair] = at }
        /"kind":"arrived"/ && (pair in since) && at > since[pair] + grace && at < until[pair] { ++sent[pair] }
        END { for (pair in since) { most = sent[pair] > most ? sent[pair] : most; over += sent[pair] > allowed }
              print over + 0, length(since), most + 0 }' "$1"
}

# Sends one request through each daemon while no engine is free, and checks that it is refused at once with a true time to return.
check_refusals() { # path until (seconds of the wall clock)
    local n answer
    for n in $(seq 1 "$ENTRIES"); do
        answer=$(send "$n" "$1" "probe" -w '%{http_code} %{time_total} %header{retry-after}\n' | tail -1)
        awk -v until="$2" -v now="$EPOCHREALTIME" -v spread="$MAX_SPREAD_S" -v n="$n" '{ back = now + $3
            if ($1 != 503 || $2 > 0.3 || back < until - 0.1 || back > until + spread) {
                printf "FAILED: daemon %d: status %s after %s s, Retry-After %s, %.2f s after the engines take requests again\n", n, $1, $2, $3, back - until; exit 1 } }' \
            <<<"$answer" || status=1
    done
}

restart_daemons() {
    local n
    for n in $(seq 1 "$ENTRIES"); do
        kill -KILL "$(pid_of "entry-$n")"
        wait "$(pid_of "entry-$n")" 2>/dev/null
    done
    history | wc -l >"$RUN/before"
    for n in $(seq 1 "$ENTRIES"); do
        start_entry "$n"
    done
    wait_until 30 "all daemons are ready again" all_ready || status=1
}

run_case() { # name path first count words store-away-ms check
    local name=$1 path=$2 first=$3 count=$4 words=$5 store_away=$6 check=$7 refused until engine arrived
    rm -f "$RUN/stop" "$RUN/innocent"
    start_innocents "${CALLERS:-40}" "$path"
    sleep 1
    history | wc -l >"$RUN/before"
    [ "$store_away" = 0 ] || curl -sf -X PUT -d "{\"store_down_ms\":$store_away}" "http://$PREFIX.9.1:8500/standin/faults" >/dev/null
    engine=$(engine_words "$first" "$count" "$words" | tr -d '[]"')
    history | wc -l >"$RUN/after"
    if [[ "$check" = *restarts ]]; then
        sleep 1
        restart_daemons
    fi
    until=$(awk -v now="$EPOCHREALTIME" 'BEGIN { printf "%.3f", now + 4 }')
    if [ "$check" = none-free ]; then
        sleep 1
        check_refusals "$path" "$until"
    fi
    sleep 4.5
    stop_innocents
    # Nothing that the store's outage caused may reach the next case.
    [ "$store_away" = 0 ] || sleep 2
    history | tail -n "+$(cat "$RUN/before")" >"$RUN/history-$name"
    refused=$(grep -vc '^200' "$RUN/innocent")
    echo "$name: answers $(sort "$RUN/innocent" | uniq -c | tr '\n' ';') sent later after leaving, by daemons: $(late_after_leaving "$RUN/history-$name")," \
        "pairs over the limit after being turned away, all pairs, most requests: $(sent_after_turned_away "$RUN/history-$name")"
    # Callers of daemons that were killed get no answer, and daemons that have just started may resend less.
    [[ "$check" != *restarts ]] || refused=0
    if [ "$check" = leaving ] || [ "$check" = restarts ]; then
        # The leader asks heads for reports and may close the group before a request reaches the head: then none may reach it at all.
        arrived=$(history | tail -n "+$(($(cat "$RUN/after") + 1))" | grep '"kind":"arrived"' | grep -c "\"engine\":\"$engine\"")
        if ! grep -q '"kind":"said-leaving"' "$RUN/history-$name" && { [[ "$path" != /stream/* ]] || [ "$arrived" -gt 0 ]; }; then
            echo "FAILED: $name: no engine said that it leaves"
            status=1
        fi
    elif [ "$check" = turned-away ] || [ "$check" = none-free ]; then
        grep -q '"kind":"turned-away"' "$RUN/history-$name" || { echo "FAILED: $name: no engine turned a request away"; status=1; }
    fi
    [ "$(late_after_leaving "$RUN/history-$name")" = "0 0" ] || { echo "FAILED: $name: requests reach engines that leave"; status=1; }
    [ "$(sent_after_turned_away "$RUN/history-$name" | cut -d' ' -f1)" = 0 ] || { echo "FAILED: $name: requests reach engines that turned them away"; status=1; }
    [ "$check" = none-free ] || [ "$refused" = 0 ] || { echo "FAILED: $name: $refused callers were refused although engines were free"; status=1; }
}

status=0
# A daemon that has just started may resend less (resend_window_s), so that more callers are refused.
STARTED_S=11
start_hosting "${ENTRY_VMS:-8}" --engines $ENGINES --services $SERVICES --events 5 || exit 1
for path in /stream/a /read/a; do
    wait_until 20 "$path is served by all daemons" serves "$path" || exit 1
done
sleep "$STARTED_S"
for row in "${cases[@]}"; do
    IFS='|' read -r -a fields <<<"$row"
    [ $# -gt 0 ] && [ "$1" != "${fields[0]}" ] && continue
    run_case "${fields[@]}"
done
[ -z "${KEEP:-}" ] || cp -r "$RUN" "$KEEP"
exit $status
