# Upstreams of a plain service turn calls away, send second copies of answers, cut answers short or reset connections. Guards against a late second copy of a
# refusal that is taken for the answer to the next call (rules TWICE and REFUSED): calls that may run only once ran at two upstreams, or were answered as not
# run although they ran. Also against a fix that turns such answers into refusals: callers are served about as often as without the fault.
set -u
. "$(dirname "$0")/../../examples/hosting.sh"
SERVICES=4
LOAD_S=8
# A daemon that has just started may resend less (resend_window_s), so that more callers are refused.
STARTED_S=11
# Least share of calls that are served, as a part of that in the row "none" before it, less the share of calls that the fault itself spoils.
MIN_SERVED=0.9
# name, path, share of the calls whose own answer the fault spoils, faults. Rows are compared with the last row "none" before them. Where upstreams often turn
# calls away, more calls are denied than run twice, as the users saw it: no other upstream is free.
cases=(
    "none|/once/a|0|\"refused\":0.167"
    "refusals-late|/once/a|0|\"refused\":0.167,\"copied_refusals\":0.3"
    "refusals-idle|/once/a|0|\"refused\":0.167,\"copied_refusals\":0.3,\"copies_while_idle\":true"
    "answers-late|/once/a|0|\"refused\":0.167,\"copied_refusals\":0.3,\"copied_answers\":0.3"
    "answers-late-repeatable|/read/a|0|\"refused\":0.167,\"copied_refusals\":0.3,\"copied_answers\":0.3"
    "streams|/stream/a|0|\"refused\":0.167,\"copied_refusals\":0.3"
    "cut-short|/once/a|0.1|\"refused\":0.167,\"cut\":0.1"
    "heads-cut|/once/a|0.1|\"refused\":0.167,\"broken_heads\":0.1"
    "heads-cut-repeatable|/read/a|0.1|\"refused\":0.167,\"broken_heads\":0.1"
    "reset|/once/a|0.1|\"refused\":0.167,\"reset\":0.1"
    "none-often|/once/a|0|\"refused\":0.5"
    "refusals-late-often|/once/a|0|\"refused\":0.5,\"copied_refusals\":0.3"
)

run_case() { # name path spoilt faults
    local name=$1 path=$2 calls served copies twice denied
    curl -sf -X PUT -d "{\"first\":0,\"count\":100,\"faults\":{$4}}" "http://$PREFIX.9.1:8500/standin/engines" >/dev/null
    rm -f "$RUN/stop" "$RUN/innocent"
    INNOCENT_IDS=$name
    history | wc -l >"$RUN/before"
    start_innocents "${CALLERS:-40}" "$path"
    sleep $LOAD_S
    stop_innocents
    curl -sf -X PUT -d '{"first":0,"count":100,"faults":{}}' "http://$PREFIX.9.1:8500/standin/engines" >/dev/null
    # What was sent before a caller left may still run.
    sleep 1
    history | tail -n "+$(($(cat "$RUN/before") + 1))" >"$RUN/history-$name"
    grep '"kind":"ran"' "$RUN/history-$name" | sed 's/.*"attempt":"\([^"]*\)".*/\1/' | sort | uniq -c | awk '{ print $2, $1 }' >"$RUN/ran"
    copies=$(grep -c '"kind":"late-copy"' "$RUN/history-$name")
    twice=$(awk '$2 > 1' "$RUN/ran" | wc -l)
    denied=$(awk 'NR == FNR { ran[$1] = 1; next } ($1 == 503 || $1 == 429 || $1 == 408 || $1 == 421) && ($3 in ran)' "$RUN/ran" "$RUN/innocent" | wc -l)
    calls=$(wc -l <"$RUN/innocent")
    served=$(grep -c '^200' "$RUN/innocent")
    [[ "$name" != none* ]] || baseline="$served $calls"
    echo "$name: $calls calls, late copies $copies, ran twice $twice, answered as not run and ran $denied, answers $(awk '{ print $1 }' "$RUN/innocent" | sort | uniq -c | tr '\n' ';')"
    [[ "$name" != *late* ]] || [ "$copies" -ge 10 ] || { echo "FAILED: $name: only $copies late copies, so nothing is shown"; status=1; }
    # Calls that may be repeated may run twice.
    [[ "$path" = /read/* ]] || [ "$twice" -eq 0 ] || { echo "FAILED: $name: $twice calls ran twice"; status=1; }
    [ "$denied" -eq 0 ] || { echo "FAILED: $name: $denied calls were answered as not run and ran"; status=1; }
    awk -v calls="$calls" -v served="$served" -v spoilt="$3" -v baseline="$baseline" -v least=$MIN_SERVED 'BEGIN { split(baseline, none, " ")
        exit !(calls > 0 && served / calls >= least * (none[1] / none[2] - spoilt)) }' || { echo "FAILED: $name: $served of $calls served, $baseline without the fault"; status=1; }
}

status=0
start_hosting 4 --engines 9 --services $SERVICES --prefill-ms 30 --events 3 || exit 1
for path in /once/a /read/a /stream/a; do
    wait_until 20 "$path is served by all daemons" serves "$path" || exit 1
done
sleep $STARTED_S
for row in "${cases[@]}"; do
    IFS='|' read -r -a fields <<<"$row"
    [ $# -eq 0 ] || [[ "${fields[0]}" = none* ]] || [ "$1" = "${fields[0]}" ] || continue
    run_case "${fields[@]}"
done
[ -z "${KEEP:-}" ] || cp -r "$RUN" "$KEEP"
exit $status
