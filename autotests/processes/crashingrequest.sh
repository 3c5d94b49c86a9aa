# A request that ends every upstream which begins to run it, sent again and again through all daemons, reaches upstreams at most three times more once
# it has ended three and the daemons had time to tell each other; no other caller is refused for it. Guards against incident BUDGET.
set -u
. "$(dirname "$0")/../../examples/hosting.sh"
# Time in which all daemons have to know, in ms (contactMs of the smallest deployments), and sends allowed after it.
CONTACT_MS=3000
MAX_SENDS=3
start_hosting "${ENTRY_VMS:-8}" --engines 6 --services 6 --restart-ms 1000 || exit 1
# The last one's upstream ends after the head of an answer that has no length, so that the end looks like that of an answer.
paths=(/stream/a /read/a /once/a /stream/exit)
body_for() { # path
    [ "$1" = /stream/exit ] && echo CRASH-IN-ANSWER || echo "CRASH $1"
}
for path in "${paths[@]}"; do
    wait_until 20 "$path is served by all daemons" serves "$path" || exit 1
done
start_innocents "${INNOCENTS_AT_ONCE:-60}" "${paths[@]:0:3}"
# One after the other, so that none of them is on an upstream that another one ends.
for i in $(seq 1 "${SENDS:-20}"); do
    for path in "${paths[@]}"; do
        echo "$path $(send $((i % ENTRIES + 1)) "$path" "$(body_for "$path")")" >>"$RUN/crashing"
        sleep 0.13
    done
done
# Processes that have lost their memory must learn of the requests from what lasts.
for n in $(seq 1 "$ENTRIES"); do
    kill -KILL "$(pid_of "entry-$n")"
    wait "$(pid_of "entry-$n")" 2>/dev/null
done
for n in $(seq 1 "$ENTRIES"); do
    start_entry "$n"
done
wait_until 30 "all daemons are ready again" all_ready || exit 1
for path in "${paths[@]}"; do
    for n in $(seq 1 "$ENTRIES"); do
        echo "$path $(send "$n" "$path" "$(body_for "$path")")" >>"$RUN/crashing"
    done
done
stop_innocents
history >"$RUN/history"
status=0
for path in "${paths[@]}"; do
    grep "\"path\":\"$path\",\"crashes\":true" "$RUN/history" >"$RUN/course"
    third=$(grep '"kind":"ended"' "$RUN/course" | sed -n 's/.*"at_ms":\([0-9]*\).*/\1/p' | sed -n 3p)
    ended=$(grep -c '"kind":"ended"' "$RUN/course")
    later=$(grep '"kind":"arrived"' "$RUN/course" | sed -n 's/.*"at_ms":\([0-9]*\).*/\1/p' | awk -v from="$((${third:-0} + CONTACT_MS))" '$1 > from' | wc -l)
    last=$(grep '"kind":"arrived"' "$RUN/course" | sed -n 's/.*"at_ms":\([0-9]*\).*/\1/p' | tail -1)
    echo "$path: upstreams ended $ended, last send $((last - ${third:-0})) ms after the third end, sends later than $CONTACT_MS ms after the third $later, answers $(grep "^$path" "$RUN/crashing" | sort | uniq -c | tr '\n' ';')"
    [ -n "$third" ] || { echo "FAILED: $path: the request ended fewer than three upstreams, so nothing is shown"; status=1; }
    [ "$later" -le "$MAX_SENDS" ] || { echo "FAILED: $path: sent $later times after that, $MAX_SENDS are allowed"; status=1; }
done
echo "answers to innocent callers: $(sort "$RUN/innocent" | uniq -c | tr '\n' ';')"
innocent=$(grep -c '^429' "$RUN/innocent")
[ "$innocent" -eq 0 ] || { echo "FAILED: $innocent innocent requests were refused as ones that end upstreams"; status=1; }
grep -q '^200 /stream/a' "$RUN/innocent" || { echo "FAILED: no innocent stream was answered"; status=1; }
exit $status
