# One part of prompts ends every upstream that begins to answer on it. Requests with that part come at any daemon, no two alike; sound ones share their
# caller and their other parts. Guards against incident BUDGET of issue 34: each such request was new to the account of ends, so upstreams were ended
# without limit. They reach upstreams at most three times more once five have ended and the daemons had time to tell each other; sound callers are served.
set -u
. "$(dirname "$0")/../../examples/hosting.sh"
# Time in which all daemons have to know, in ms (contactMs of the smallest deployments), and requests allowed after it.
CONTACT_MS=3000
MAX_SENDS=3
# Upstreams that may end at 8 and at 90 daemons, where the requests come five times a second: the users' aim.
MAX_ENDED=10
MAX_ENDED_AT_90=12
export ENDS=5 INNOCENT_KEY=$KEY INNOCENT_TIMES=1
# name, daemons, engines, words by part, prompts of the requests with it, prompts of sound ones, pause between two requests with it in s, their
# number, time after which all daemons are killed in s (0: never)
cases=(
    "reset|8|27|bad1=CRASH|a1:40,bad1:300,bGROUP:100,cNUMBER:50|a1:40,bGROUP:100,cNUMBERROUND:50|0.2|60|0"
    "first|8|27|bad1=CRASH|bad1:300,a1:40,bGROUP:100,cNUMBER:50|a1:40,bGROUP:100,cNUMBERROUND:50|0.2|60|0"
    "silent|8|27|bad1=CRASH-SILENT|a1:40,bGROUP:100,bad1:300,cNUMBER:50|a1:40,bGROUP:100,cNUMBERROUND:50|0.2|60|0"
    "answered|8|27|bad1=CRASH-IN-ANSWER|a1:40,bad1:300,bGROUP:100,cNUMBER:50|a1:40,bGROUP:100,cNUMBERROUND:50|0.2|60|0"
    "in-event|8|27|bad1=CRASH-IN-EVENT|a1:40,bad1:300,bGROUP:100,cNUMBER:50|a1:40,bGROUP:100,cNUMBERROUND:50|0.2|60|0"
    "restarts|8|27|bad1=CRASH|a1:40,bad1:300,bGROUP:100,cNUMBER:50|a1:40,bGROUP:100,cNUMBERROUND:50|0.2|60|8"
    "fast|8|27|bad1=CRASH|a1:40,bad1:300,bGROUP:100,cNUMBER:50|a1:40,bGROUP:100,cNUMBERROUND:50|0.1|120|0"
    "unsized|8|27|bad1=CRASH a1=UNSIZED|a1:40,bad1:300,bGROUP:100,cNUMBER:50|a1:40,bGROUP:100,cNUMBERROUND:50|0.2|60|0"
    "always-two|8|27|bad1=CRASH|a1:40,bad1:300,bad2:100,cNUMBER:50|a1:40,bGROUP:100,cNUMBERROUND:50|0.2|60|0"
    "companion|8|27|bad1=CRASH|a1:40,bad1:300,c0ffee:100,cNUMBER:50|a1:40,c0ffee:100,cNUMBERROUND:50|0.2|60|0"
    "ninety|90|90|bad1=CRASH|a1:40,bad1:300,bGROUP:100,cNUMBER:50|a1:40,bGROUP:100,cNUMBERROUND:50|0.2|60|0"
)
# Rows that are only run by name: they take most of a machine.
by_hand=" ninety "
# Rows at a time.
PARALLEL=3

send_crashing() { # prompt pause count kill-after
    local i n prompt sends=() started=$SECONDS killed=0
    for i in $(seq 1 "$3"); do
        prompt=${1//NUMBER/$i}
        send $((i % ENTRIES + 1)) "/stream/part-$i" "body $i" -H "Prompt-Prefix: ${prompt//GROUP/$((i % 3))}" >>"$RUN/crashing" &
        sends+=("$!")
        sleep "$2"
        if [ "$4" -gt 0 ] && [ $killed = 0 ] && [ $((SECONDS - started)) -ge "$4" ]; then
            killed=1
            for n in $(seq 1 "$ENTRIES"); do
                kill -KILL "$(pid_of "entry-$n")"
                wait "$(pid_of "entry-$n")" 2>/dev/null
                start_entry "$n"
            done
        fi
    done
    wait "${sends[@]}"
}

# Prints how many of the sound requests that were sent from BEGIN to END were answered, and how many there were.
answered() { # begin end
    awk -v begin="$1" -v end="$2" '$3 >= begin && $3 < end { ++sent; answered += $1 == 200 } END { print answered + 0, sent + 0 }' "$RUN/innocent"
}

run_case() { # name daemons engines words crashing-prompt sound-prompt pause count kill-after
    local name=$1 course before later refused first parts word max_ended=$MAX_ENDED
    parts=()
    for word in $4; do
        parts+=(--part "$word")
    done
    [ "$2" -lt 90 ] || max_ended=$MAX_ENDED_AT_90
    INNOCENT_PROMPT=$6
    start_hosting "$2" --engines "$3" --services 0 --restart-ms 1500 --silent-ms 3000 --prefill-ms 30 "${parts[@]}" || { status=1; return; }
    if ! wait_until 20 "/stream/a is served by all daemons" serves /stream/a; then
        status=1
        return
    fi
    start_innocents 40 /stream/sound
    sleep 3
    first=$(uptime_ms)
    send_crashing "$5" "$7" "$8" "$9"
    stop_innocents
    history >"$RUN/history"
    read -r -a course <<<"$(crash_course "$RUN/history" '/stream/part-[0-9]*' "$CONTACT_MS")"
    read -r -a before <<<"$(answered 0 "$first")"
    read -r -a later <<<"$(answered $((course[1] + 2 * CONTACT_MS)) 99999999999)"
    refused=$(grep -c '^429' "$RUN/innocent")
    echo "$name: upstreams ended ${course[0]}, sent later than $CONTACT_MS ms after the fifth end ${course[2]}, last ${course[3]} ms after it; sound ones answered" \
        "${before[0]} of ${before[1]} before, ${later[0]} of ${later[1]} later, $refused refused with 429; answers with the part" \
        "$(sort "$RUN/crashing" | uniq -c | tr '\n' ';') to sound callers $(awk '{ print $1 }' "$RUN/innocent" | sort | uniq -c | tr '\n' ';')"
    [ "${course[0]}" -ge 5 ] || { echo "FAILED: $name: fewer than five upstreams ended, so nothing is shown"; status=1; }
    [ "${course[0]}" -le "$max_ended" ] || { echo "FAILED: $name: ${course[0]} upstreams ended, the aim is $max_ended"; status=1; }
    [ "${course[2]}" -le "$MAX_SENDS" ] || { echo "FAILED: $name: sent ${course[2]} times after that, $MAX_SENDS are allowed"; status=1; }
    [ "$refused" -eq 0 ] || { echo "FAILED: $name: $refused sound requests were refused as ones that end upstreams"; status=1; }
    [ "${later[1]}" -ge 20 ] || { echo "FAILED: $name: only ${later[1]} sound requests came later, so nothing is shown"; status=1; }
    [ $((2 * later[0] * before[1])) -ge $((before[0] * later[1])) ] || { echo "FAILED: $name: sound requests are answered less than half as often"; status=1; }
    [ -z "${KEEP:-}" ] || cp -r "$RUN" "$KEEP-$name"
    end_processes
    process_pids=()
}

selected=()
for row in "${cases[@]}"; do
    name=${row%%|*}
    [ "${1:-}" = "$name" ] || { [ $# -eq 0 ] && [[ $by_hand != *" $name "* ]]; } || continue
    selected+=("$row")
done
run_rows "${selected[@]}"
