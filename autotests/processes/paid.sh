# Paid calls that are sent several times through random gateways run at most once, while gateways are killed and the store is slow, down or loses
# responses.
set -u
. "$(dirname "$0")/../../examples/deployment.sh"
export ENTRY_VMS=4
prepare_deployment tsakalos attica-1 attica-2 attica-3
start_standins
start_daemons || exit 1
apply_plan 15 || exit 1
# shellcheck disable=SC2046
"$BUILD/tools/knapweedslip-load" paid $(gateway_targets) --key-file "$RUN/workspace.key" --service "$SERVICE" --rate 20 --seconds 10 \
    --resends 4 --seed 7 --history "$RUN/paid.jsonl" >"$RUN/paid.txt" 2>&1 &
load=$!
store=$PREFIX.4.1:8500
sleep 1
set_fault $store '{"lose_answers":10}'
set_fault $PREFIX.3.1:8080 '{"lose_answers":5}'
sleep 1
kill -KILL "$(pid_of gateway-2)"
start_daemon gateway 2
set_fault $store '{"slow_ms":300}'
sleep 1
set_fault $store '{"slow_ms":0,"down":true}'
sleep 2
kill -KILL "$(pid_of gateway-3)"
set_fault $store '{"down":false,"lose_answers":10}'
sleep 1
start_daemon gateway 3
kill -STOP "$(pid_of gateway-4)"
sleep 1
kill -CONT "$(pid_of gateway-4)"
set_fault $PREFIX.3.2:8080 '{"crash":500}'
wait $load || { echo "FAILED: the load tool"; exit 1; }
cat "$RUN/paid.txt"
doubled=$(service_runs | sort | uniq -d | wc -l)
echo "runs $(service_runs | wc -l), keys that ran twice $doubled"
[ "$doubled" -eq 0 ] || { echo "FAILED: a paid call ran twice"; exit 1; }
[ "$(service_runs | wc -l)" -ge 50 ] || { echo "FAILED: too few calls ran to show anything"; exit 1; }
# A key for which every caller was told "not run" must not have run.
grep '"answer"' "$RUN/paid.jsonl" | sed 's/.*"subject":"\([^#"]*\)#[0-9]*","place":"\([^"]*\)".*/\1 \2/' |
    awk '{ seen[$1] = 1; if ($2 != "not-run") other[$1] = 1 } END { for (key in seen) if (!(key in other)) print key }' | sort >"$RUN/never"
service_runs | sort -u >"$RUN/ran"
[ -z "$(comm -12 "$RUN/never" "$RUN/ran")" ] || { echo "FAILED: reported as not run by every response, but ran: $(comm -12 "$RUN/never" "$RUN/ran")"; exit 1; }
