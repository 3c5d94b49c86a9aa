# An upstream that answers with bytes without end, in any part of an answer, costs a request its time at most, and the daemon little memory; other requests are
# served. So do answers to orders, to the leader's requests for reports, and to the request that asks an upstream by its name. Guards against a daemon that
# collects what it cannot use until its VM has no memory left.
set -u
. "$(dirname "$0")/../../examples/hosting.sh"
# Time that the client gives, in ms, what the answer may take beyond it, and the memory of the smallest entry VM, in KB.
DEADLINE_MS=2000
SLACK_MS=500
MEMORY_KB=$((160 * 1024))
start_hosting 2 --engines 4 --services 4 || exit 1
paths=(/stream/a /read/a /once/a)
parts=(head fields informational size trailer body chunks)
for path in "${paths[@]}"; do
    wait_until 20 "$path is served by all daemons" serves "$path" || exit 1
done
start_innocents 10 "${paths[@]}"
# A client whose chunk has a size line without end.
endless_request() { # entry
    {
        printf 'POST /read/a HTTP/1.1\r\nHost: api\r\nAuthorization: Bearer %s\r\nAttempt-Id: endless-%s\r\nDeadline-Ms: 8000\r\nTransfer-Encoding: chunked\r\n\r\n5;' "$KEY" "$1"
        head -c 300000000 /dev/zero | tr '\0' x
    } >"/dev/tcp/$(entry_ip "$1")/7000"
} 2>/dev/null
# One at a time, so that each has the whole processor and connection, then all at once.
ask() { # path word entry
    local started answer
    started=$(date +%s%3N)
    answer=$(DEADLINE_HEADER=$DEADLINE_MS send "$3" "$1" "$2")
    echo "$1 $2 $answer $(($(date +%s%3N) - started))" >>"$RUN/answers"
}
for path in "${paths[@]}"; do
    for part in "${parts[@]}"; do
        ask "$path" "ENDLESS-${part^^}" 1
    done
done
senders=()
for path in "${paths[@]}"; do
    for part in "${parts[@]}"; do
        for i in 1 2 3 4; do
            ask "$path" "ENDLESS-${part^^}" 2 &
            senders+=($!)
        done
    done
done
for n in $(seq 1 "$ENTRIES"); do
    endless_request "$n" &
    senders+=($!)
done
wait "${senders[@]}"
# Two engines start anew, so that the leader gives them orders and asks them for reports; the entry of the first plain upstream comes back, so that daemons ask it
# by its name.
words() { # upstream words; prints the id
    curl -sf -X PUT -d "{\"first\":$1,\"count\":1,$2}" "http://$PREFIX.9.1:8500/standin/engines" | tr -d '[]"'
}
for part in "${parts[@]}"; do
    words 0 "\"faults\":{\"endless_order_reply\":\"$part\"}" >/dev/null
    words 1 "\"faults\":{\"endless_report\":\"$part\"}" >/dev/null
    words 0 '"lost":true' >/dev/null
    words 1 '"lost":true' >/dev/null
    upstream=$(words 4 "\"faults\":{\"endless_report\":\"$part\"}")
    curl -sf -X PUT "http://$PREFIX.9.1:8500/standin/removed-key?key=servers/$upstream" >/dev/null
    # They start after 2 s.
    sleep 3.5
done
stop_innocents
status=0
history >"$RUN/history"
for path in /-/order /-/report; do
    asked=$(grep '"kind":"endless"' "$RUN/history" | grep -c "\"path\":\"$path")
    echo "$path: answers without end: $asked"
    [ "$asked" -gt 0 ] || { echo "FAILED: no answer without end to $path"; status=1; }
done
sort "$RUN/answers" | awk '{print $1, $2, $3}' | uniq -c
slowest=$(awk '{print $4}' "$RUN/answers" | sort -n | tail -1)
echo "slowest answer $slowest ms"
[ "$slowest" -le $((DEADLINE_MS + SLACK_MS)) ] || { echo "FAILED: an answer took $slowest ms"; status=1; }
echo "answers to other callers: $(sort "$RUN/innocent" | uniq -c | tr '\n' ';')"
others=$(grep -vc '^200' "$RUN/innocent")
[ "$others" -eq 0 ] || { echo "FAILED: $others other requests were not answered"; status=1; }
for n in $(seq 1 "$ENTRIES"); do
    peak=$(sed -n 's/^VmHWM:[^0-9]*\([0-9]*\) kB/\1/p' "/proc/$(pid_of "entry-$n")/status")
    echo "entry-$n: peak memory ${peak:-none} KB"
    [ "${peak:-$((MEMORY_KB + 1))}" -le "$MEMORY_KB" ] || { echo "FAILED: entry-$n ended or used more than $MEMORY_KB KB"; status=1; }
done
for path in "${paths[@]}"; do
    wait_until 5 "$path is served by all daemons afterwards" serves "$path" || status=1
done
exit $status
