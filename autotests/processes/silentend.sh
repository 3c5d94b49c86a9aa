# A request that ends every upstream which begins to run it, whose connections then stay silent instead of breaking, or at whose address a successor
# listens at once, reaches upstreams at most three times more once it has ended three and the daemons had time to tell each other; no other caller is
# refused for it. Guards against incident BUDGET of issue 31: an end that shows only by silence was not counted.
set -u
. "$(dirname "$0")/../../examples/hosting.sh"
# Time in which all daemons have to know, in ms (contactMs of the smallest deployments), and requests allowed after it.
CONTACT_MS=3000
MAX_SENDS=3
export DEADLINE_HEADER=1500 READ_TARGET_MS=150
# name, path, word in the body, engines, upstreams of the plain service, how long an upstream stays away and how long its connections stay silent, in ms,
# further options of the stand-in
cases=(
    "reset-read|/read/a|CRASH|0|3|1200|0"
    "silent-read|/read/a|CRASH-SILENT|0|3|1200|1000"
    "silent-read-many|/read/a|CRASH-SILENT|0|24|3000|1000"
    "silent-once|/once/a|CRASH-SILENT|0|6|1200|1000"
    "silent-stream|/stream/a|CRASH-SILENT|9|1|1200|3000"
    "dark-read|/read/a|CRASH-DARK|0|3|1200|1200"
    "dark-read-many|/read/a|CRASH-DARK|0|24|3000|3000"
    "successor-read|/read/a|CRASH|0|3|0|0"
    "reborn-read|/read/a|CRASH-DARK|0|4|2000|2000|--keep-ids --register-ms 350"
    "reborn-once|/once/a|CRASH-DARK|0|4|2000|2000|--keep-ids --register-ms 350"
    "reborn-stream|/stream/a|CRASH-DARK|9|1|2000|2000|--keep-ids --register-ms 350"
)

send_crashing() { # path body
    local i sends=()
    for i in $(seq 1 "${SENDS:-60}"); do
        send $((i % ENTRIES + 1)) "$1" "$2" >>"$RUN/crashing" &
        sends+=("$!")
        sleep 0.2
    done
    wait "${sends[@]}"
}

run_case() { # name path word engines services restart-ms silent-ms options
    local name=$1 path=$2 word=$3 course innocent options
    read -r -a options <<<"${8:-}"
    start_hosting "${ENTRY_VMS:-8}" --engines "$4" --services "$5" --restart-ms "$6" --silent-ms "$7" --prefill-ms 30 "${options[@]}" || { status=1; return; }
    if ! wait_until 20 "$path is served by all daemons" serves "$path"; then
        status=1
        return
    fi
    start_innocents "${INNOCENTS_AT_ONCE:-20}" "$path"
    send_crashing "$path" "$word"
    stop_innocents
    history >"$RUN/history"
    read -r -a course <<<"$(crash_course "$RUN/history" "$path" "$CONTACT_MS")"
    echo "$name: upstreams ended ${course[0]}, sent later than $CONTACT_MS ms after the third end ${course[2]}, last ${course[3]} ms after it;" \
        "answers $(sort "$RUN/crashing" | uniq -c | tr '\n' ';') to innocent callers $(sort "$RUN/innocent" | uniq -c | tr '\n' ';')"
    [ "${course[0]}" -ge 3 ] || { echo "FAILED: $name: the request ended fewer than three upstreams, so nothing is shown"; status=1; }
    [ "${course[2]}" -le "$MAX_SENDS" ] || { echo "FAILED: $name: sent ${course[2]} times after that, $MAX_SENDS are allowed"; status=1; }
    innocent=$(grep -c '^429' "$RUN/innocent")
    [ "$innocent" -eq 0 ] || { echo "FAILED: $name: $innocent innocent requests were refused as ones that end upstreams"; status=1; }
    [ -z "${KEEP:-}" ] || cp -r "$RUN" "$KEEP-$name"
    end_processes
    process_pids=()
}

status=0
for row in "${cases[@]}"; do
    IFS='|' read -r -a fields <<<"$row"
    # dark-read is a step of its own, darkend.sh.
    [ "${1:-}" = "${fields[0]}" ] || { [ $# -eq 0 ] && [ "${fields[0]}" != dark-read ]; } || continue
    run_case "${fields[@]}"
done
exit $status
