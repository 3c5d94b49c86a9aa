# A stalled reader of the log delays no requests: every request of a flood gets a response, log lines are dropped and counted, and the daemon stops
# cleanly.
set -u
. "$(dirname "$0")/../../examples/deployment.sh"
RUN=$(mktemp -d)
PREFIX=127.$((RANDOM % 200 + 20)).1.1
trap end_processes EXIT
cat >"$RUN/entry.yaml" <<YAML
name: flooded
availability_zone: a
listen: $PREFIX:7000
readiness_listen: $PREFIX:7001
metrics_listen: $PREFIX:7002
peer_listen: $PREFIX:7003
store_address: $PREFIX:7004
max_key_age_ms: 5000
resend_ratio: 0.2
resend_extra: 10
stop_grace_s: 8
YAML
mkfifo "$RUN/log"
# The reader keeps the pipe open but reads nothing until it is continued.
sh -c 'kill -STOP $$; exec cat' <>"$RUN/log" >"$RUN/read.jsonl" &
reader=$!
process_pids+=("$reader")
"$BUILD/daemons/knapweedslip-entry" --settings "$RUN/entry.yaml" >"$RUN/log" 2>"$RUN/errors" &
daemon=$!
process_pids+=("$daemon")
metric() {
    curl -sf "http://$PREFIX:7002/metrics" | sed -n "s/^$1 //p"
}
wait_until 10 "the daemon listens" curl -sf "http://$PREFIX:7002/metrics" || exit 1
requests=12000
# Without a store there is no configuration, so each request is refused and logged.
refused=$(curl -s --max-time 60 -o /dev/null -w '%{http_code}\n' "http://$PREFIX:7000/x[1-$requests]" | grep -c '^503$')
[ "$refused" -eq "$requests" ] || { echo "FAILED: $refused of $requests requests got status 503"; exit 1; }
dropped=$(metric knapweedslip_log_lines_dropped_total)
[ "${dropped%.*}" -gt 0 ] || { echo "FAILED: no line was dropped, dropped='$dropped'"; exit 1; }
kill -TERM "$daemon"
stopped() {
    ! kill -0 "$daemon"
}
wait_until 9 "the daemon stops cleanly while nobody reads its log" stopped || exit 1
wait "$daemon"
status=$?
[ $status -eq 0 ] || { echo "FAILED: exit status $status"; exit 1; }
echo "$refused requests answered, $dropped log lines dropped"
