# Clients open streams and stop reading, for a while or for good. The engines' streams go on meanwhile, the daemon's memory stays within that of the smallest
# entry VM, the streams of other clients are whole, and what a slow client has is the beginning of its stream, and all of it where the answer has its end. Guards
# against a client that stops the reading from an engine, against memory that clients take without a bound, and against streams that end as complete although
# events are missing. Each row has a daemon of its own.
set -u
. "$(dirname "$0")/../../examples/hosting.sh"
# Memory of the smallest entry VM, in KB.
MEMORY_KB=$((160 * 1024))
EVENTS=128
# More than the sockets on the way hold: 16 MiB for each stream.
PADDING=131000
OTHERS=10
# name, slow clients, client_backlog_bytes, client_backlog_total_bytes, what becomes of the slow clients: they get their whole streams late, are cut for this
# reason, or leave
rows=(
    "late|3|25165824|67108864|whole"
    "late-resumed|3|25165824|67108864|whole"
    "late-stopped|3|25165824|67108864|whole"
    "never|12|262144|67108864|client-full"
    "never-in-sum|12|25165824|4194304|total-spent"
    "leaving|3|25165824|67108864|left"
)

fail() {
    echo "FAILED: $*"
    status=1
}

# Opens a stream and reads it once $RUN/read exists; the pipe stops curl before. Writes "status exit-code" to $RUN/slow-N.
slow_client() { # number
    curl -sN -w '%{stderr}%{http_code} ' -X POST -H "Host: api" -H "Authorization: Bearer $KEY" -H "Attempt-Id: slow-$1" -H "Deadline-Ms: 8000" -H "Model: model" \
        -H "Token-Usage: 100,100" -d "slow $1 PADDED-$PADDING" --max-time 60 "http://$(entry_ip 1):7000/stream/slow" 2>"$RUN/slow-$1" | {
        until [ -e "$RUN/read" ]; do sleep 0.1; done
        cat >"$RUN/body-slow-$1"
    }
    echo "${PIPESTATUS[0]}" >>"$RUN/slow-$1"
}

# Opens a stream, reads nothing and closes the connection once $RUN/read exists.
leaving_client() { # number
    exec 3<>"/dev/tcp/$(entry_ip 1)/7000" || exit 1
    printf 'POST /stream/slow HTTP/1.1\r\nHost: api\r\nAuthorization: Bearer %s\r\nAttempt-Id: slow-%s\r\nDeadline-Ms: 8000\r\nModel: model\r\n' "$KEY" "$1" >&3
    printf 'Token-Usage: 100,100\r\nContent-Length: 23\r\n\r\nPADDED-%s PAUSES-30' $PADDING >&3
    until [ -e "$RUN/read" ]; do sleep 0.1; done
}

# Prints what a metric of the daemon says.
metric() { # name with its labels
    curl -sf "http://$(entry_ip 1):7002/metrics" | awk -v name="$1" '$1 == name { value = $2 } END { printf "%.0f\n", value }'
}

streams_ended() { # count; as many of the slow clients' streams were written by their engines
    [ "$(history | grep '"kind":"streamed"' | grep -c '"path":"/stream/slow"')" -ge "$1" ]
}

has_cut() { # reason
    [ "$(metric "knapweedslip_clients_cut_total{reason=\"$1\"}")" -gt 0 ]
}

ended_all() { # reason; no request runs although the clients do not read
    [ "$(metric knapweedslip_running)" = 0 ] && has_cut "$1"
}

holds() {
    [ "$(metric knapweedslip_client_backlog_bytes)" -gt 0 ]
}

holds_nothing() {
    [ "$(metric knapweedslip_client_backlog_bytes)" = 0 ] && [ "$(metric knapweedslip_running)" = 0 ]
}

other_stream() { # number; prints the status
    curl -s -o "$RUN/body-other-$1" -w '%{http_code}' -X POST -H "Host: api" -H "Authorization: Bearer other-key" -H "Attempt-Id: other-$1" -H "Deadline-Ms: 8000" \
        -H "Model: model" -H "Token-Usage: 100,100" -d "other $1" --max-time 12 "http://$(entry_ip 1):7000/stream/other"
}

other_streams() { # name; the other clients' streams are whole, whatever the slow ones do
    local i served=0 running=()
    for i in $(seq $OTHERS); do
        other_stream "$i" >"$RUN/other-$i" &
        running+=($!)
    done
    wait "${running[@]}"
    for i in $(seq $OTHERS); do
        [ "$(cat "$RUN/other-$i")" = 200 ] || continue
        served=$((served + 1))
        cmp -s "$RUN/body-other-$i" "$RUN/short" || fail "$1: the stream of another client is not whole"
    done
    [ $served -gt 0 ] || fail "$1: no stream of another client was served"
}

check_slow() { # name count must-be-whole
    local n code ended size whole=0 cut=0
    for n in $(seq "$2"); do
        read -r code ended <"$RUN/slow-$n"
        size=$(stat -c %s "$RUN/body-slow-$n" 2>/dev/null || echo 0)
        if [ "$code" != 200 ]; then
            [ "$3" = 0 ] || fail "$1: a slow client was answered $code"
        elif [ "$ended" = 0 ]; then
            whole=$((whole + 1))
            cmp -s "$RUN/body-slow-$n" "$RUN/long" || fail "$1: the stream of a slow client ended as complete and is not whole"
        else
            cut=$((cut + 1))
            [ "$size" = 0 ] || cmp -s -n "$size" "$RUN/body-slow-$n" "$RUN/long" || fail "$1: a slow client has something else than the beginning of its stream"
        fi
    done
    echo "$1: $whole slow clients got their whole stream, $cut were cut"
    [ "$3" = 0 ] || [ $whole -eq "$2" ] || fail "$1: $cut slow clients that read late were cut"
    [ "$3" = 1 ] || [ $whole -eq 0 ] || fail "$1: $whole clients that never read got all of their stream"
}

run_case() { # the fields of a row
    local name=$1 count=$2 check=$5 n peak clients=()
    ENTRY_SETTINGS=$(printf 'client_backlog_bytes: %s\nclient_backlog_total_bytes: %s' "$3" "$4")
    start_hosting 1 --engines 4 --services 0 --prefill-ms 30 --events $EVENTS --event-ms 5 >/dev/null || { fail "$name: the daemon does not start"; return; }
    wait_until 20 "streams are served" serves /stream/a || fail "$name: no stream is served before"
    for n in $(seq 0 $((EVENTS - 1))); do
        printf 'id: %s\ndata: token\n\n' "$n"
    done >"$RUN/short"
    printf '%*s' $PADDING '' | tr ' ' x >"$RUN/padding"
    for n in $(seq 0 $((EVENTS - 1))); do
        printf 'id: %s\ndata: token' "$n"
        cat "$RUN/padding"
        printf '\n\n'
    done >"$RUN/long"
    # A daemon that has just started may resend less (resend_window_s).
    [ "$name" != late-resumed ] || { sleep 11; curl -sf -X PUT -d '{"first":0,"count":100,"faults":{"broken_streams":1}}' "http://$PREFIX.9.1:8500/standin/engines" >/dev/null; }
    for n in $(seq "$count"); do
        if [ "$check" = left ]; then leaving_client "$n" & else slow_client "$n" & fi
        clients+=($!)
        process_pids+=($!)
    done
    other_streams "$name"
    case $check in
    whole) wait_until 20 "$name: the engines' streams end while their clients do not read" streams_ended "$count" || status=1 ;;
    left) wait_until 20 "$name: bytes are held" holds || status=1 ;;
    *) wait_until 20 "$name: all slow clients are cut" ended_all "$check" || status=1 ;;
    esac
    curl -sf -X PUT -d '{"first":0,"count":100,"faults":{}}' "http://$PREFIX.9.1:8500/standin/engines" >/dev/null
    [ "$name" != late-stopped ] || kill -TERM "$(pid_of entry-1)"
    peak=$(sed -n 's/^VmHWM:[^0-9]*\([0-9]*\) kB/\1/p' "/proc/$(pid_of entry-1)/status" 2>/dev/null)
    touch "$RUN/read"
    wait "${clients[@]}"
    if [ "$check" = whole ]; then
        check_slow "$name" "$count" 1
    elif [ "$check" != left ]; then
        check_slow "$name" "$count" 0
    fi
    if [ "$name" != late-stopped ]; then
        wait_until 10 "$name: nothing is held and no request runs afterwards" holds_nothing || status=1
        peak=$(sed -n 's/^VmHWM:[^0-9]*\([0-9]*\) kB/\1/p' "/proc/$(pid_of entry-1)/status" 2>/dev/null)
    fi
    [ "$name" != late-resumed ] || [ "$(metric knapweedslip_resumed_total)" -gt 0 ] || fail "$name: no stream was resumed, so nothing is shown"
    echo "$name: peak memory ${peak:-none} KB"
    [ "${peak:-$((MEMORY_KB + 1))}" -le $MEMORY_KB ] || fail "$name: the daemon ended or used more than $MEMORY_KB KB"
    [ -z "${KEEP:-}" ] || cp -r "$RUN" "$KEEP/$name"
    end_processes
    process_pids=()
}

status=0
for row in "${rows[@]}"; do
    IFS='|' read -r -a fields <<<"$row"
    [ $# -eq 0 ] || [ "$1" = "${fields[0]}" ] || continue
    run_case "${fields[@]}"
done
exit $status
