# Streams in which an event is spoilt or that break off, and upstreams that answer the request to continue one with something else than its events. Guards
# against rules ORDER and MIXED: streams that end as complete although events are missing, and texts or heads of errors in the middle of a stream. What a
# caller has is always the beginning of its stream, and all of it where the answer has its end. Engines that stop in the middle of an answer's head and close:
# guards against a 200 with an empty or short body that looks whole (MIXED, ORDER), and against orders and reports whose broken answers are believed.
set -u
. "$(dirname "$0")/../../examples/hosting.sh"
EVENTS=24
CALLERS=40
ROUNDS=10
# name, faults, least share of complete answers, word in the requests, route. The streams of the routes "digest", which may be continued, and "notice", which
# may not, come from a service without engines: guards against such a stream that breaks off inside an event and is passed on as complete. The faults stay within the resend budget (resend_ratio): where every stream can be continued, nearly all are.
cases=(
    "none|\"refused\":0|0.95"
    "spoilt|\"spoilt_streams\":0.1|0.95"
    "broken|\"broken_streams\":0.1|0.95"
    "signed-error|\"broken_streams\":0.1,\"resumed\":\"signed-error\"|0.8"
    "error|\"broken_streams\":0.1,\"resumed\":\"error\"|0.8"
    "refusal|\"broken_streams\":0.1,\"resumed\":\"refusal\"|0.8"
    "error-text|\"broken_streams\":0.1,\"resumed\":\"error-text\"|0.8"
    "closed|\"broken_streams\":0.1,\"resumed\":\"closed\"|0.8"
    "heads|\"broken_heads\":0.1|0.95"
    "heads-unsized|\"broken_heads\":0.1|0.95|UNSIZED"
    "heads-resumed|\"broken_heads\":0.1,\"broken_streams\":0.05|0.9"
    "heads-resumed-unsized|\"broken_heads\":0.1,\"broken_streams\":0.05|0.9|UNSIZED"
    "replies|\"broken_heads\":0.05,\"broken_replies\":0.3|0.95"
    "service|\"broken_streams\":0.1|0.95||digest"
    "service-unsized|\"broken_streams\":0.1|0.95|UNSIZED|digest"
    "service-spoilt|\"spoilt_streams\":0.1|0.95||digest"
    "service-heads|\"broken_heads\":0.1|0.95|UNSIZED|digest"
    "service-once-unsized|\"broken_streams\":0.1|0.8|UNSIZED|notice"
)

# Sends streams through all daemons; each answer goes to a file of its own, and "status exit-code file" to $RUN/streams.
send_streams() { # name word route
    local round i
    for round in $(seq 1 $ROUNDS); do
        for i in $(seq 1 $CALLERS); do
            [ "$i" = 1 ] || echo next
            printf 'url = "http://%s:7000/%s/%s"\nrequest = POST\nheader = "Host: api"\nheader = "Authorization: Bearer %s"\nheader = "Attempt-Id: %s-%s-%s"\n' \
                "$(entry_ip $((i % ENTRIES + 1)))" "$3" "$1" "$KEY" "$1" "$round" "$i"
            printf 'header = "Deadline-Ms: 8000"\nheader = "Model: model"\nheader = "Token-Usage: 100,100"\ndata = "stream %s %s %s"\n' "$round" "$i" "$2"
            printf 'output = "%s/body-%s-%s-%s"\nsilent\nmax-time = 12\nwrite-out = "%%{http_code} %%{exitcode} body-%s-%s-%s\\n"\n' "$RUN" "$1" "$round" "$i" "$1" "$round" "$i"
        done >"$RUN/streams.curl"
        curl -Z --parallel-max $CALLERS -K "$RUN/streams.curl" >>"$RUN/streams" 2>/dev/null
    done
}

# The groups of lost engines are formed again although each order and report may be answered with the beginning of an answer only.
lose_engines() { # name
    curl -sf -X PUT -d '{"first":0,"count":9,"lost":true}' "http://$PREFIX.9.1:8500/standin/engines" >/dev/null
    wait_until 30 "$1: all engines serve again" all_open || status=1
}

# All engines are open in a group.
all_open() {
    [ "$(curl -sf "http://$PREFIX.9.1:8500/-/kv-range?pathPrefix=servers/" | grep -o '"value":"[^"]*"' | cut -d '"' -f 4 | while read -r value; do
        base64 -d <<<"$value"
        echo
    done | grep -c '"state":"open"')" -ge 18 ]
}

run_case() { # name faults least-share word route
    local name=$1 route=${5:-stream} code ended file size complete=0 cut=0 refused=0 wrong=0
    curl -sf -X PUT -d "{\"first\":0,\"count\":100,\"faults\":{$2}}" "http://$PREFIX.9.1:8500/standin/engines" >/dev/null
    rm -f "$RUN/streams"
    [ "$name" != replies ] || lose_engines "$name"
    send_streams "$name" "${4:-}" "$route"
    curl -sf -X PUT -d '{"first":0,"count":100,"faults":{}}' "http://$PREFIX.9.1:8500/standin/engines" >/dev/null
    while read -r code ended file; do
        if [ "$code" != 200 ]; then
            refused=$((refused + 1))
        elif [ "$ended" = 0 ]; then
            complete=$((complete + 1))
            cmp -s "$RUN/$file" "$RUN/whole" || { echo "FAILED: $name: $file ended as complete and is not the stream"; wrong=$((wrong + 1)); }
        else
            cut=$((cut + 1))
            size=$(stat -c %s "$RUN/$file" 2>/dev/null || echo 0)
            [ "$size" = 0 ] || cmp -s -n "$size" "$RUN/$file" "$RUN/whole" || { echo "FAILED: $name: $file is not the beginning of the stream"; wrong=$((wrong + 1)); }
        fi
    done <"$RUN/streams"
    echo "$name: $complete streams complete, $cut cut, $refused not begun, $wrong wrong"
    [ $wrong -eq 0 ] || status=1
    awk -v complete=$complete -v all=$((ROUNDS * CALLERS)) -v least="$3" 'BEGIN { exit !(complete >= least * all) }' || { echo "FAILED: $name: only $complete streams complete"; status=1; }
    if [ "$route" = notice ]; then
        [ $cut -gt 0 ] || { echo "FAILED: $name: no stream was cut, so nothing is shown"; status=1; }
        return
    fi
    [ "$name" = none ] || [ "$(history | grep '"kind":"ran"' | grep -c "\"path\":\"/$route/$name\"")" -gt $((ROUNDS * CALLERS)) ] || { echo "FAILED: $name: no stream was sent again, so nothing is shown"; status=1; }
}

status=0
start_hosting 4 --engines 18 --services 3 --prefill-ms 30 --events $EVENTS --event-ms 6 --events-per-pass 4 --restart-ms 1500 || exit 1
for event in $(seq 0 $((EVENTS - 1))); do
    printf 'id: %s\ndata: token\n\n' "$event"
done >"$RUN/whole"
for route in stream digest notice; do
    wait_until 20 "streams of the route $route are served by all daemons" serves "/$route/a" || exit 1
done
# A daemon that has just started may resend less (resend_window_s).
sleep 11
for row in "${cases[@]}"; do
    IFS='|' read -r -a fields <<<"$row"
    [ $# -eq 0 ] || [ "$1" = "${fields[0]}" ] || continue
    run_case "${fields[@]}"
done
[ -z "${KEEP:-}" ] || cp -r "$RUN" "$KEEP"
exit $status
