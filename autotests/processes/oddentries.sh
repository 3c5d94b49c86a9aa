# Another writer leaves odd entries among those of the upstreams: deeply nested, numbers that are too large, ports out of range, bytes that cannot be read.
# Guards against daemons that end, or stop following the store, and against the same where entries are relayed from daemon to daemon (report of other
# operators, rule LOST).
set -u
. "$(dirname "$0")/../../examples/hosting.sh"
# Time in which a new configuration is in force at all daemons (configApplyMs), in ms.
APPLY_MS=2000

put_entry() { # name; the value comes on standard input
    curl -sf -X PUT --data-binary @- "http://$PREFIX.9.1:8500/standin/key?key=servers/odd-$1" >/dev/null
}

nested() { # depth bracket
    head -c "$1" /dev/zero | tr '\0' "$2"
}

# A usable entry but for one field.
entry_with() { # field value
    local text='{"service":"app","address":"127.0.0.1:1","zone":"zone-1","version":"1","slots":26,"state":"ready","coldLeftMs":0,"seq":1,"born":1,"SPARE":0}'
    [[ "$text" == *"\"$1\":"* ]] || { echo "${text/SPARE/$1}" | sed "s|\"$1\":0|\"$1\":$2|"; return; }
    echo "$text" | sed -E "s|\"$1\":(\"[^\"]*\"\|[0-9]+)|\"$1\":$2|"
}

put_odd_entries() { # round
    local i=0 value field
    nested 100000 '[' | put_entry "$1-deep-open"
    { nested 100000 '['; nested 100000 ']'; } | put_entry "$1-deep"
    { printf '{"service":"app","address":'; nested 100000 '['; nested 100000 ']'; printf '}'; } | put_entry "$1-deep-field"
    { printf '{"service":"'; nested 1000000 x; printf '"}'; } | put_entry "$1-long"
    printf '\377\376\000{"service":' | put_entry "$1-bytes"
    printf '' | put_entry "$1-empty"
    for field in slots coldLeftMs seq born address state service group modelList domain; do
        for value in 18446744073709551616 9223372036854775807 -9223372036854775808 1e308 -1 null '"127.0.0.1:99999"' '"127.0.0.1:-1"' '[[[]]]' '{"epoch":18446744073709551615,"rank":-5}'; do
            i=$((i + 1))
            # Nothing listens at these addresses, so that calls there go on elsewhere: only what is decoded and followed is of interest.
            entry_with "$field" "$value" | sed 's|"service":"app"|"service":"odd"|' | put_entry "$1-$i"
        done
    done
}

run_case() { # daemons
    local n since took
    start_hosting "$1" --engines 9 --services 6 --prefill-ms 5 --events 3 --restart-ms 1000 || { status=1; return; }
    for path in /stream/a /read/a; do
        wait_until 20 "$path is served by all daemons" serves "$path" || { status=1; return; }
    done
    for n in 1 2 3; do
        put_odd_entries "$n"
        sleep 0.5
    done
    for n in $(seq 1 "$ENTRIES"); do
        kill -0 "$(pid_of "entry-$n")" 2>/dev/null || { echo "FAILED: daemon $n of $1 has ended"; status=1; }
    done
    config | sed 's|"routes":\[|"routes":[{"name":"added","host":"api","pathPrefix":"/added/","routeType":"idempotent","service":"app","timeoutMs":1500,"latencyTargetMs":500,"maxAttempts":3},|; s|"version":1|"version":2|' \
        | curl -sf -X PUT --data-binary @- "http://$PREFIX.9.1:8500/standin/key?key=op/config" >/dev/null
    since=$(uptime_ms)
    wait_until 20 "the route added afterwards is served by all daemons" serves /added/a || status=1
    took=$(($(uptime_ms) - since))
    [ $took -le $APPLY_MS ] || { echo "FAILED: the route added afterwards is served only after $took ms, $APPLY_MS are allowed"; status=1; }
    # All upstreams are replaced, so that only daemons that follow the list find the new ones.
    curl -sf -X PUT -d '{"first":0,"count":15,"lost":true}' "http://$PREFIX.9.1:8500/standin/engines" >/dev/null
    sleep 2
    for path in /stream/a /read/a; do
        wait_until 20 "$path is served by all daemons after all upstreams were replaced" serves "$path" || status=1
    done
    for n in $(seq 1 "$ENTRIES"); do
        kill -0 "$(pid_of "entry-$n")" 2>/dev/null || { echo "FAILED: daemon $n of $1 has ended"; status=1; }
    done
    echo "$1 daemons: a route added after the odd entries is served after $took ms; $(cat "$RUN"/entry-*.log | grep -c '"name":"upstream-unreadable"') entries were logged as unreadable"
    [ -z "${KEEP:-}" ] || cp -r "$RUN" "$KEEP-$1"
    end_processes
    process_pids=()
}

status=0
run_case 4
# With more than 16 daemons, most get the entries from another one.
run_case 20
exit $status
