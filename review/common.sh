# Sourced by the run.sh of a case, which then calls run_case. Starts the daemons with the command of the deploy file and the
# scenario of the case, which review/build.sh builds.
set -u
CASE_DIR=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
SCENARIO=$ROOT/target/review/$(basename "$CASE_DIR")
ENTRY=${ENTRY:-$ROOT/target/daemons/knapweedslip-entry}
loops=()

end_processes() {
    local n running=1
    touch "$RUN/stop"
    [ -z "${scenario:-}" ] || kill -KILL "$scenario" 2>/dev/null
    # The loops of keep_running end once their daemons have ended.
    while [ "$running" = 1 ]; do
        running=0
        for n in $(seq 1 "${#loops[@]}"); do
            if kill -0 "${loops[$((n - 1))]}" 2>/dev/null; then
                running=1
                kill -KILL "$(cat "$RUN/pid-$n")" 2>/dev/null
            fi
        done
        sleep 0.1
    done
    rm -rf "$RUN"
}

# Runs a daemon, and again whenever it has ended, as the platform does.
keep_running() { # number
    cd "$ROOT" || exit
    while [ ! -e "$RUN/stop" ]; do
        KNAPWEEDSLIP_NODE_FILE="$RUN/entry-$1.yaml" "$ENTRY" >>"$RUN/entry-$1.log" 2>&1 &
        echo $! >"$RUN/pid-$1.new"
        mv "$RUN/pid-$1.new" "$RUN/pid-$1"
        wait $!
        status=$?
        [ -e "$RUN/stop" ] && exit
        echo "daemon $1 has ended with status $status" >>"$RUN/ends"
        sleep 0.5
    done
}

write_settings() { # number; the keys of deploy/entry.yaml
    cat >"$RUN/entry-$1.yaml" <<END
name: "entry-$1"
availability_zone: "zone-$((($1 - 1) % 3 + 1))"
listen: "127.0.0.1:${ports[$((4 * $1 - 3))]}"
readiness_listen: "127.0.0.1:${ports[$((4 * $1 - 2))]}"
metrics_listen: "127.0.0.1:${ports[$((4 * $1 - 1))]}"
peer_listen: "127.0.0.1:${ports[$((4 * $1))]}"
cpu_share: 0.25
store_address: "127.0.0.1:${ports[0]}"
lease_ms: 1000
max_key_age_ms: 5000
resend_ratio: 0.2
resend_extra: 134
resend_window_s: 10
cold_share: 1.5
stop_grace_s: 8
address_reuse_s: 2
END
}

run_case() { # number of daemons
    local count=$1 n listen="" ready="" status
    if [ ! -x "$SCENARIO" ] || [ ! -x "$ENTRY" ]; then
        echo "build the deploy file's target and run review/build.sh first"
        exit 2
    fi
    RUN=$(mktemp -d)
    trap end_processes EXIT
    mapfile -t ports < <("$SCENARIO" ports $((4 * count + 1)))
    for n in $(seq 1 "$count"); do
        write_settings "$n"
        keep_running "$n" 2>/dev/null &
        loops+=($!)
        listen="$listen,127.0.0.1:${ports[$((4 * n - 3))]}"
        ready="$ready,127.0.0.1:${ports[$((4 * n - 2))]}"
    done
    "$SCENARIO" "${TROUBLE:-1}" "${ports[0]}" "${listen#,}" "${ready#,}" "$RUN" "$CASE_DIR/record.txt" &
    scenario=$!
    wait "$scenario"
    status=$?
    [ ! -e "$RUN/ends" ] || cat "$RUN/ends" >>"$CASE_DIR/record.txt"
    [ -z "${KEEP:-}" ] || cp -r "$RUN" "$KEEP"
    grep -a "result:" "$CASE_DIR/record.txt"
    case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
}
