# Many clients at once send bodies that are too long or never end, and keep their connections open; or they open connections and send nothing. The daemon
# lives, its memory stays within that of the smallest entry VM, its open descriptors leave room for connections to upstreams, and an ordinary request is
# answered. Guards against a sum over connections that nothing bounds: 300 such clients took 1,864 MB. Each row has a daemon of its own.
set -u
. "$(dirname "$0")/../../examples/hosting.sh"
# Clients at once that send bodies, and bound of the daemon's memory, in KB: that of the smallest entry VM.
CLIENTS=96
MEMORY_KB=$((160 * 1024))
# Clients that only connect, the descriptors that the daemon may open there, and the bound of those in use: an eighth is left for upstreams, peers and the store.
CONNECTIONS=300
DESCRIPTORS=256
OPEN_DESCRIPTORS=224
HEAD="POST /read/a HTTP/1.1\r\nHost: api\r\nAuthorization: Bearer $KEY\r\nAttempt-Id: client\r\nDeadline-Ms: 8000\r\n"
GATEWAY_HEAD="POST /v1/completions HTTP/1.1\r\nHost: api\r\nContent-Type: application/json\r\n"
BODIES=$(mktemp -d)
status=0
clients=()

fail() {
    echo "FAILED: $*"
    status=1
}

# Bodies are written once and sent by all clients.
{
    printf '10000\r\n'
    head -c 65536 /dev/zero | tr '\0' x
    printf '\r\n'
} >"$BODIES/chunk"
for _ in $(seq 63); do cat "$BODIES/chunk"; done >"$BODIES/chunks"
yes "$(printf '1\r\nx\r')" | head -n 400000 >"$BODIES/tiny"
head -c $((4 * 1024 * 1024 - 1)) /dev/zero | tr '\0' x >"$BODIES/plain"

# Each writes the request of one kind of client. None of them completes a request.
announced() { # Content-Length far over the limit, of which a part is sent
    printf '%bContent-Length: 1000000000\r\n\r\n' "$1"
    cat "$BODIES/plain" "$BODIES/plain"
}
withheld() { # Content-Length at the limit, one byte is missing
    printf '%bContent-Length: 4194304\r\n\r\n' "$1"
    cat "$BODIES/plain"
}
unannounced() { # chunks far over the limit
    printf '%bTransfer-Encoding: chunked\r\n\r\n' "$1"
    cat "$BODIES/chunks" "$BODIES/chunks" "$BODIES/chunks" "$BODIES/chunks"
}
chunked() { # large chunks that stop short of the limit and of the end
    printf '%bTransfer-Encoding: chunked\r\n\r\n' "$1"
    cat "$BODIES/chunks"
}
tiny() { # chunks of one byte that do not end
    printf '%bTransfer-Encoding: chunked\r\n\r\n' "$1"
    cat "$BODIES/tiny"
}
mixed() {
    local kinds=(announced withheld unannounced chunked tiny)
    "${kinds[$((RANDOM % 5))]}" "$1"
}
silent() {
    :
}
unfinished() { # a head that does not end
    printf '%b' "$1"
}

client() { # kind ip head number
    exec 3<>"/dev/tcp/$2/7000" || exit 0
    "$1" "$3" >&3
    touch "$RUN/crowd/$4"
    exec sleep 60
}

crowd() { # count kind ip head
    local n
    mkdir -p "$RUN/crowd"
    rm -f "$RUN"/crowd/*
    clients=()
    for n in $(seq "$1"); do
        client "$2" "$3" "$4" "$n" 2>/dev/null &
        clients+=($!)
        process_pids+=($!)
    done
    # A client whose connection is closed while it writes ends, so the count may stay below.
    wait_until 20 "the clients have sent" crowd_has_sent >/dev/null
}

crowd_has_sent() {
    local n
    for n in "${!clients[@]}"; do
        [ -e "$RUN/crowd/$((n + 1))" ] || ! kill -0 "${clients[$n]}" || return 1
    done
}

crowd_leaves() {
    kill -KILL "${clients[@]}" 2>/dev/null
    wait "${clients[@]}" 2>/dev/null
}

check_daemon() { # row process
    local pid peak open
    pid=$(pid_of "$2")
    peak=$(sed -n 's/^VmHWM:[^0-9]*\([0-9]*\) kB/\1/p' "/proc/$pid/status" 2>/dev/null)
    open=$(find "/proc/$pid/fd" -mindepth 1 2>/dev/null | wc -l)
    echo "$1: peak memory ${peak:-none} KB, open descriptors $open"
    [ -n "$peak" ] || fail "$1: the daemon has ended"
    [ "${peak:-0}" -le $MEMORY_KB ] || fail "$1: the daemon used more than $MEMORY_KB KB"
    [ -z "${3:-}" ] || [ "$open" -le "$3" ] || fail "$1: $open descriptors are open, $3 are allowed"
}

entry_row() { # kind count; the daemon may open DESCRIPTORS if count is CONNECTIONS
    local bound="" answer
    [ "$2" -ne $CONNECTIONS ] || bound=$OPEN_DESCRIPTORS
    start_hosting 1 --engines 2 --services 2 >/dev/null || { fail "$1: the daemon does not start"; return; }
    wait_until 20 "a call is served" entry_answers || fail "$1: no call is served before the crowd"
    crowd "$2" "$1" "$(entry_ip 1)" "$HEAD"
    wait_until 20 "an ordinary call is answered" entry_answers || fail "$1: no ordinary call is answered while the crowd is connected"
    check_daemon "entry, $1" entry-1 "$bound"
    crowd_leaves
    wait_until 20 "an ordinary call is answered" entry_answers || fail "$1: no ordinary call is answered afterwards"
    [ -n "$bound" ] || {
        answer=$(send 1 /read/a "@$BODIES/plain")
        [ "$answer" = 200 ] || fail "$1: a single call within the limits is answered $answer"
    }
    end_row
}

entry_answers() {
    [ "$(send 1 /read/a ordinary)" = 200 ]
}

gateway_answers() {
    [ "$(call_service 1 "k$RANDOM$RANDOM" -o /dev/null -w '%{http_code}' -d ordinary)" = 200 ]
}

gateway_row() { # kind
    prepare_deployment tsakalos attica-1 attica-2 attica-3
    echo "max_body_bytes: 4194304" >>"$RUN/gateway-1.yaml"
    start_standins
    start_daemons || { fail "$1: the daemons do not start"; return; }
    ctl apply "$RUN/plan.yaml" --base 0 --author test --reason "first plan" >/dev/null || fail "$1: the plan is not accepted"
    wait_until 30 "a call is served" gateway_answers || fail "$1: no call is served before the crowd"
    crowd $CLIENTS "$1" "$PREFIX.1.1" "${GATEWAY_HEAD}Authorization: Bearer $WORKSPACE_KEY\r\n"
    wait_until 20 "an ordinary call is answered" gateway_answers || fail "$1: no ordinary call is answered while the crowd is connected"
    check_daemon "gateway, $1" gateway-1
    crowd_leaves
    wait_until 20 "an ordinary call is answered" gateway_answers || fail "$1: no ordinary call is answered afterwards"
    end_row
}

end_row() {
    end_processes
    process_pids=()
}

for kind in announced withheld unannounced chunked tiny mixed; do
    entry_row $kind $CLIENTS
done
cat >"$BODIES/limited" <<END
#!/usr/bin/env bash
ulimit -n $DESCRIPTORS
exec "$BUILD/daemons/knapweedslip-entry" "\$@"
END
chmod +x "$BODIES/limited"
ENTRY_PROGRAM=$BODIES/limited
for kind in silent unfinished; do
    entry_row $kind $CONNECTIONS
done
. "$(dirname "$0")/../../examples/deployment.sh"
export ENTRY_VMS=1
for kind in withheld unannounced chunked tiny mixed; do
    gateway_row $kind
done
exit $status
