# A planned stop of one entry daemon while its requests run. Guards against requests that a daemon passed on, among them those that may run only once, and ended without any answer
# when the time for its stop was over (LOST). Each request gets an answer, also one that cannot end in time; a stream that has begun is cut, so that it does not
# look complete; "not run" is true; nothing that may run once runs twice; what ends in time is not disturbed.
set -u
. "$(dirname "$0")/../../examples/hosting.sh"
PARALLEL=${PARALLEL:-4}
COUNT=12
export CALL_TIMEOUT_MS=20000 STREAM_TIMEOUT_MS=20000 READ_TARGET_MS=15000
# name, path, body, signals and other events after the requests were sent, how the requests end: status and curl's exit status, with * for any.
rows=(
    "calls-in-time|/once/x|WORKS-3000|TERM|200 0"
    "reads-in-time|/read/x|WORKS-3000|TERM|200 0"
    "streams-in-time|/stream/x|WORKS-1500|TERM|200 0"
    "calls-too-long|/once/x|WORKS-15000|TERM|502 0"
    "reads-too-long|/read/x|WORKS-15000|TERM|502 0"
    "streams-not-begun|/stream/x|WORKS-15000|TERM|502 0"
    "streams-begun|/stream/x|PAUSES-600|TERM|200 18"
    "signals|/once/x|WORKS-15000|TERM HUP TERM INT HUP TERM|502 0"
    "configuration|/once/x|WORKS-15000|TERM config HUP|502 0"
    "leader|/once/x|WORKS-15000|leader|502 0"
    "just-started|/once/x|WORKS-15000|restart|502 0"
    "late|/once/x||late|* *"
)

# Sends COUNT requests to a daemon, each on a connection of its own; "status exit-status" goes to $RUN/ends.
send_requests() { # entry path body
    local i
    for i in $(seq 1 $COUNT); do
        [ "$i" = 1 ] || echo next
        printf 'url = "http://%s:7000%s"\nrequest = POST\nheader = "Host: api"\nheader = "Authorization: Bearer %s"\nheader = "Attempt-Id: stop-%s"\n' "$(entry_ip "$1")" "$2" "$KEY" "$i"
        printf 'header = "Deadline-Ms: 18000"\nheader = "Model: model"\nheader = "Token-Usage: 100,100"\ndata = "%s %s"\n' "$3" "$i"
        printf 'output = "/dev/null"\nsilent\nmax-time = 25\nwrite-out = "%%{http_code} %%{exitcode}\\n"\n'
    done >"$RUN/requests.curl"
    curl -Z --parallel-immediate --parallel-max $COUNT -K "$RUN/requests.curl" >"$RUN/ends" 2>/dev/null
}

# A request on a connection that was kept before the stop. Prints its status, or nothing if the connection closes without an answer.
late_request() { # descriptor deadline-ms
    printf 'POST /once/late HTTP/1.1\r\nHost: api\r\nAuthorization: Bearer %s\r\nAttempt-Id: late-%s\r\nDeadline-Ms: %s\r\nContent-Length: 9\r\n\r\nWORKS-100' "$KEY" "$2" "$2" >&"$1"
    head -n 1 <&"$1" | cut -d ' ' -f 2
}

fail() {
    echo "FAILED: $*"
    status=1
}

run_case() { # name path body events ends
    local name=$1 stopped=1 event pid ran code ended daemon_status began took kept shorter longer
    start_hosting 3 --engines 9 --services 6 --prefill-ms 30 --events 25 --event-ms 20 || exit 1
    wait_until 20 "calls are served by all daemons" serves /once/a || exit 1
    wait_until 20 "streams are served by all daemons" serves /stream/a || exit 1
    [ "$4" != leader ] || stopped=$(grep -l '"name":"leadership-taken' "$RUN"/entry-*.log | head -n 1 | sed 's/.*entry-\([0-9]*\).log/\1/')
    if [ "$4" = restart ]; then
        kill -KILL "$(pid_of "entry-$stopped")"
        wait "$(pid_of "entry-$stopped")" 2>/dev/null
        start_entry "$stopped"
        wait_until 10 "the daemon is ready again" all_ready || exit 1
    fi
    pid=$(pid_of "entry-$stopped")
    if [ "$4" = late ]; then
        exec {kept}<>"/dev/tcp/$(entry_ip "$stopped")/7000" {shorter}<>"/dev/tcp/$(entry_ip "$stopped")/7000" {longer}<>"/dev/tcp/$(entry_ip "$stopped")/7000"
        # The daemon ends as soon as it has nothing left to do.
        send_requests "$stopped" /once/x WORKS-6000 &
        sleep 0.5
        kill -TERM "$pid"
        sleep 1
        [ "$(late_request "$kept" 1000)" = 200 ] || fail "$name: a call early in the stop is not served"
        sleep 3
        [ "$(late_request "$shorter" 1000)" = 200 ] || fail "$name: a call that ends in time is not served"
        began=$(uptime_ms)
        [ "$(late_request "$longer" 15000)" = 503 ] || fail "$name: a call that may not end in time is not refused"
        took=$(($(uptime_ms) - began))
        [ "$took" -lt 500 ] || fail "$name: the refusal took $took ms"
        wait "$pid" || fail "$name: the daemon ended with status $?"
        return
    fi
    send_requests "$stopped" "$2" "$3" &
    sleep 0.5
    for event in $4; do
        case $event in
        config) config | sed 's/"version":1/"version":2/' | curl -sf -X PUT --data-binary @- "http://$PREFIX.9.1:8500/standin/key?key=op/config" >/dev/null ;;
        leader | restart) kill -TERM "$pid" ;;
        *) kill -"$event" "$pid" ;;
        esac
        sleep 0.2
    done
    wait "$pid"
    daemon_status=$?
    wait $!
    ran=$(history | grep '"kind":"ran"' | grep -c '"attempt":"stop-')
    echo "$name: $(sort "$RUN/ends" | uniq -c | awk '{ printf "%s times status %s, curl %s; ", $1, $2, $3 }')$ran ran"
    [ $daemon_status -eq 0 ] || fail "$name: the daemon ended with status $daemon_status"
    [ "$(wc -l <"$RUN/ends")" -eq $COUNT ] || fail "$name: not all requests have ended"
    while read -r code ended; do
        [ "$code $ended" = "$5" ] || fail "$name: a request ended with status $code, curl $ended instead of $5"
    done <"$RUN/ends"
    [ "$2" != /once/x ] || [ "$ran" -eq $COUNT ] || fail "$name: $ran of $COUNT calls ran that may run once"
}

selected=()
for row in "${rows[@]}"; do
    [ $# -eq 0 ] || [ "$1" = "${row%%|*}" ] || continue
    selected+=("$row")
done
run_rows "${selected[@]}"
