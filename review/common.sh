# Sourced by the run.sh of a case, which then calls run_case. Starts the daemons with the command of the deploy file and a scenario of review/scenario.cc.
set -u
CASE_DIR=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
SCENARIO=${SCENARIO:-$ROOT/target/review/scenario}
ENTRY=${ENTRY:-$ROOT/target/daemons/knapweedslip-entry}
pids=()

end_processes() {
    [ ${#pids[@]} -eq 0 ] || kill -KILL "${pids[@]}" 2>/dev/null
    [ ${#pids[@]} -eq 0 ] || wait "${pids[@]}" 2>/dev/null
    rm -rf "$RUN"
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

run_case() { # scenario, number of daemons
    local name=$1 count=$2 n listen="" ready="" status
    if [ ! -x "$SCENARIO" ] || [ ! -x "$ENTRY" ]; then
        echo "build the deploy file's target and run review/build.sh first"
        exit 2
    fi
    RUN=$(mktemp -d)
    trap end_processes EXIT
    mapfile -t ports < <("$SCENARIO" ports $((4 * count + 1)))
    for n in $(seq 1 "$count"); do
        write_settings "$n"
        (cd "$ROOT" && KNAPWEEDSLIP_NODE_FILE="$RUN/entry-$n.yaml" exec "$ENTRY") >"$RUN/entry-$n.log" 2>&1 &
        pids+=($!)
        listen="$listen,127.0.0.1:${ports[$((4 * n - 3))]}"
        ready="$ready,127.0.0.1:${ports[$((4 * n - 2))]}"
    done
    local daemons
    daemons=$(IFS=,; echo "${pids[*]}")
    timeout 115 "$SCENARIO" "$name" "${TROUBLE:-1}" "${ports[0]}" "${listen#,}" "${ready#,}" "$daemons" "$CASE_DIR/record.txt" &
    pids+=($!)
    wait $!
    status=$?
    for n in $(seq 1 "$count"); do
        if ! kill -0 "${pids[$((n - 1))]}" 2>/dev/null; then
            echo "daemon $n has ended" >>"$CASE_DIR/record.txt"
        fi
    done
    [ -z "${KEEP:-}" ] || cp -r "$RUN" "$KEEP"
    grep -a "result:" "$CASE_DIR/record.txt"
    case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
}
