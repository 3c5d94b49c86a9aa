# Sourced by scripts that run knapweedslip-entry on loopback against the stand-in of the hosting platform. BUILD must name the build folder. Every
# process is started here and killed by id. Addresses are 127.A.x.y with a random A, so that parallel runs do not collide.

. "$(dirname "${BASH_SOURCE[0]}")/processes.sh"

KEY=caller-key

entry_ip() { # number, from 1
    echo "$PREFIX.$((1 + ($1 - 1) / 200)).$((($1 - 1) % 200 + 1))"
}

start_entry() { # number; the first APART daemons use the address at which the store can turn them away; ENTRY_SETTINGS are more lines of the settings
    local ip
    ip=$(entry_ip "$1")
    cat >"$RUN/entry-$1.yaml" <<END
name: entry-$1
availability_zone: zone-$((($1 - 1) % 3 + 1))
listen: "$ip:7000"
readiness_listen: "$ip:7001"
metrics_listen: "$ip:7002"
peer_listen: "$ip:7003"
cpu_share: 0.25
store_address: "$PREFIX.9.1:$([ "$1" -le "${APART:-0}" ] && echo 8501 || echo 8500)"
max_key_age_ms: 5000
resend_ratio: 0.2
resend_extra: 132
resend_window_s: 10
cold_share: 1.5
stop_grace_s: 8
address_reuse_s: 2
${ENTRY_SETTINGS:-}
END
    start "entry-$1" "${ENTRY_PROGRAM:-$BUILD/daemons/knapweedslip-entry}" --settings "$RUN/entry-$1.yaml"
}

config() { # prints the operators' configuration
    cat <<END
{"version":1,"limits":{},
"routes":[
{"name":"stream","host":"api","pathPrefix":"/stream/","routeType":"streaming","service":"llm","timeoutMs":${STREAM_TIMEOUT_MS:-8000},"latencyTargetMs":1000,"maxAttempts":3,"resumable":true},
{"name":"digest","host":"api","pathPrefix":"/digest/","routeType":"streaming","service":"app","timeoutMs":${STREAM_TIMEOUT_MS:-8000},"latencyTargetMs":1000,"maxAttempts":3,"resumable":true},
{"name":"notice","host":"api","pathPrefix":"/notice/","routeType":"streaming","service":"app","timeoutMs":${STREAM_TIMEOUT_MS:-8000},"latencyTargetMs":1000,"maxAttempts":3},
{"name":"once","host":"api","pathPrefix":"/once/","routeType":"non_idempotent","service":"app","timeoutMs":${CALL_TIMEOUT_MS:-1500},"latencyTargetMs":500,"maxAttempts":2},
{"name":"read","host":"api","pathPrefix":"/read/","routeType":"idempotent","service":"app","timeoutMs":${CALL_TIMEOUT_MS:-1500},"latencyTargetMs":${READ_TARGET_MS:-500},"maxAttempts":3}],
"services":[{"name":"app"},
{"name":"llm","backend":{"slots":26,"kvCapacity":1590000,"stride":4,"step_ms":5.95,"per_seq_ms":0.1,"context_per_k":0.01,"read_per_s":50700,"pairs_per_m":0.01,
"chunk":512,"loadsPerS":10,"loads_at_once":4,"formMs":100,"usual":{"prompt":100,"answer":100},
"modelList":[{"name":"model","size":1,"share":1.0,"loadS":1,"warmupS":0.1}]}}],
"tenants":[{"name":"caller","apiKeys":["$KEY"]},{"name":"other","apiKeys":["other-key"]}]}
END
}

start_hosting() { # entries, then options of the stand-in
    local entries=$1 n
    shift
    RUN=$(mktemp -d)
    PREFIX=127.$((${ADDRESS_NUMBER:-$((RANDOM % 200))} + 20))
    trap end_processes EXIT
    ENTRIES=$entries
    start hosting "$BUILD/standins/standin-hosting" --listen "$PREFIX.9.1:8500" --apart "$PREFIX.9.1:8501" --ip "$PREFIX.8.1" --zone zone-1 zone-2 zone-3 "$@"
    wait_until 10 "the stand-in listens" curl -sf "http://$PREFIX.9.1:8500/standin/counts" || return 1
    config | curl -sf -X PUT --data-binary @- "http://$PREFIX.9.1:8500/standin/key?key=op/config" >/dev/null
    for n in $(seq 1 "$entries"); do
        start_entry "$n"
    done
    wait_until 30 "all daemons are ready" all_ready
}

all_ready() {
    local n
    for n in $(seq 1 "$ENTRIES"); do
        curl -sf -o /dev/null "http://$(entry_ip "$n"):7001/-/readyz" || return 1
    done
}

send() { # entry path body [curl options]; prints the status
    local n=$1 path=$2 body=$3
    shift 3
    curl -s -o /dev/null -w '%{http_code}\n' -X POST -H "Host: api" -H "Authorization: Bearer $KEY" -H "Attempt-Id: $RANDOM$RANDOM$RANDOM" -H "Deadline-Ms: ${DEADLINE_HEADER:-8000}" \
        -H "Model: model" -H "Token-Usage: 100,100" -d "$body" --max-time 12 "$@" "http://$(entry_ip "$n"):7000$path"
}

# Prints the time on the clock of the history, in ms.
uptime_ms() {
    awk '{ printf "%d\n", $1 * 1000 }' /proc/uptime
}

history() {
    curl -sf "http://$PREFIX.9.1:8500/standin/history"
}

serves() { # path; all daemons serve it
    local n
    for n in $(seq 1 "$ENTRIES"); do
        [ "$(send "$n" "$1" "first")" = 200 ] || return 1
    done
}

# Sends innocent requests through all daemons until $RUN/stop exists: COUNT at a time, each with a body of its own, on the paths given in turn. Prints
# "status path" for each answer into $RUN/innocent, with INNOCENT_TIMES also the time when it was sent, with INNOCENT_IDS its Attempt-Id, which ends with that word. The Attempt-Id begins with "dN-" for daemon N.
# INNOCENT_KEY is their caller's key, INNOCENT_PROMPT the parts of their prompts: ROUND and NUMBER there make a part the request's own, GROUP is one of three.
start_innocents() { # count path...
    local count=$1
    shift
    (
        round=0
        key=${INNOCENT_KEY:-other-key}
        while [ ! -e "$RUN/stop" ]; do
            round=$((round + 1))
            sent=${INNOCENT_TIMES:+ $(uptime_ms)}
            for i in $(seq 1 "$count"); do
                path=${*:$((i % $# + 1)):1}
                [ "$i" = 1 ] || echo next
                printf 'url = "http://%s:7000%s"\nrequest = POST\nheader = "Host: api"\nheader = "Authorization: Bearer %s"\nheader = "Attempt-Id: d%s-%s-%s%s"\n' \
                    "$(entry_ip $((i % ENTRIES + 1)))" "$path" "$key" "$((i % ENTRIES + 1))" "$round" "$i" "${INNOCENT_IDS:+-$INNOCENT_IDS}"
                printf 'header = "Deadline-Ms: 8000"\nheader = "Model: model"\nheader = "Token-Usage: 100,100"\ndata = "innocent %s %s"\n' "$round" "$i"
                prompt=${INNOCENT_PROMPT:-}
                prompt=${prompt//ROUND/$round}
                prompt=${prompt//NUMBER/$i}
                [ -z "$prompt" ] || printf 'header = "Prompt-Prefix: %s"\n' "${prompt//GROUP/$((i % 3))}"
                printf 'output = "/dev/null"\nsilent\nmax-time = 12\nwrite-out = "%%{http_code} %s%s%s\\n"\n' "$path" "$sent" "${INNOCENT_IDS:+ d$((i % ENTRIES + 1))-$round-$i-$INNOCENT_IDS}"
            done >"$RUN/innocent.curl"
            curl -Z --parallel-max "$count" -K "$RUN/innocent.curl" >>"$RUN/innocent" 2>/dev/null
        done
    ) &
    INNOCENTS=$!
    process_pids+=("$INNOCENTS")
}

stop_innocents() {
    touch "$RUN/stop"
    wait "$INNOCENTS"
}

# Prints what became of the requests on a path that end upstreams: upstreams ended, time of the third end (or the one that ENDS names), requests that
# reached upstreams later than LIMIT ms after it, and the last one of all, in ms after that end.
crash_course() { # history path limit; the path may be a pattern, ENDS is the number of ends from which the limit counts
    grep "\"path\":\"$2\",\"crashes\":true" "$1" | awk -v limit="$3" -v ends="${ENDS:-3}" '
        { match($0, /"at_ms":[0-9]+/); at = substr($0, RSTART + 8, RLENGTH - 8) }
        /"kind":"ended"/ && ++ended == ends { third = at }
        /"kind":"arrived"/ { last = at; later += ended >= ends && at > third + limit }
        END { print ended + 0, third + 0, later + 0, last - third }'
}

# Calls run_case with the fields of each row, PARALLEL rows at a time, each in a shell with its own processes and a variable "status" of its own. Prints what
# they printed, in the order of their names; returns 1 if one has set its status.
run_rows() { # rows, whose fields are separated by |
    local results row pid running=() fields number=$RANDOM
    results=$(mktemp -d)
    for row in "$@"; do
        IFS='|' read -r -a fields <<<"$row"
        # Rows side by side have different addresses.
        number=$((number + 1))
        ADDRESS_NUMBER=$((number % 200))
        (
            status=0
            run_case "${fields[@]}"
            exit $status
        ) >"$results/${fields[0]}" 2>&1 &
        running+=("$!")
        if [ ${#running[@]} -ge "$PARALLEL" ]; then
            wait "${running[0]}" || touch "$results/failed"
            running=("${running[@]:1}")
        fi
    done
    for pid in "${running[@]}"; do
        wait "$pid" || touch "$results/failed"
    done
    [ ! -e "$results/failed" ]
    status=$?
    rm -f "$results/failed"
    cat "$results"/*
    rm -r "$results"
    return $status
}
