# The store goes down right after it accepted a change, a daemon is replaced during the outage, a controller is paused past its lease, and a group
# member crashes while it streams. The change must take effect and never revert, and each response must be complete or end with an explicit error.
set -u
. "$(dirname "$0")/../../examples/deployment.sh"
export ENTRY_VMS=4
prepare_deployment tsakalos attica-1 attica-2 attica-3
start_standins --token-ms 10
start_daemons || exit 1
apply_plan 15 || exit 1
store=$PREFIX.4.1:8500
view_index() { # gateway
    ctl dump $PREFIX.1.$1:7001 | sed 's/.*"view_index":\([0-9]*\),"confirmation.*/\1/'
}
# shellcheck disable=SC2046
"$BUILD/tools/knapweedslip-load" completions $(gateway_targets) --key-file "$RUN/workspace.key" --model "$MODEL" --rate 25 --seconds 14 --max-tokens 40 --allow-cut \
    --history "$RUN/load.jsonl" >"$RUN/load.txt" 2>&1 &
load=$!
sleep 1
ctl zone attica-2 out --author test --reason "switch work" >/dev/null || { echo "FAILED: the change was refused"; exit 1; }
set_fault $store '{"down":true}'
closed=$(awk '{print int($1 * 1000)}' /proc/uptime)
wanted=$(view_index 1)
# A gateway is replaced during the outage. It must get the plan from its peers and serve requests.
kill -KILL "$(pid_of gateway-3)"
start_daemon gateway 3
serves() {
    [ "$(gateway_status "$1" /readyz)" = 200 ] && [ "$(view_index "$1")" -ge "$wanted" ]
}
for n in 1 2 3 4; do
    wait_until 20 "gateway-$n has the change and serves during the outage" serves $n || exit 1
done
# Changes are refused during the outage.
ctl zone attica-2 in --author test --reason "too early" >/dev/null 2>&1 && { echo "FAILED: a change was accepted without a store"; exit 1; }
# A group member crashes, and its streams resume at other groups.
set_fault $PREFIX.2.1:8002 '{"crash":1000}'
sleep 3
opened=$(awk '{print int($1 * 1000)}' /proc/uptime)
set_fault $store '{"down":false}'
wait_until 20 "the zone comes back" ctl zone attica-2 in --author test --reason "done" || exit 1
# The controller that holds a domain is paused past its lease and then continued.
holder=$(ctl --output json status | grep -o '"controller":"controller-[0-9]"' | head -1 | sed 's/.*"\(controller-[0-9]\)"/\1/')
kill -STOP "$(pid_of "$holder")"
sleep 8
kill -CONT "$(pid_of "$holder")"
wait $load
status=$?
cat "$RUN/load.txt"
late=$(curl -sf "http://$PREFIX.2.2:8001/standin/history" | grep '"kind":"run"' | sed 's/.*"at_ms":\([0-9]*\).*/\1/' |
    awk -v from=$((closed + 5000)) -v to="$opened" '$1 > from && $1 < to' | wc -l)
[ "$late" -eq 0 ] || { echo "FAILED: $late requests started in the zone later than 5 s after it went out of service"; exit 1; }
[ $status -eq 0 ] || { echo "FAILED: a response was wrong or broken"; exit 1; }
# Only the gateway that was killed may have cut connections.
cut_elsewhere=$(grep '"cut"' "$RUN/load.jsonl" | sed 's/.*"subject":"\([^"]*\)".*/\1/' | while read -r request; do
    grep -F "\"$request\"" "$RUN/load.jsonl" | grep '"invoke"' | grep -v "$PREFIX.1.3:7000"
done)
[ -z "$cut_elsewhere" ] || { echo "FAILED: cut by a gateway that was not killed: $cut_elsewhere"; exit 1; }
wait_until 40 "all groups are warm again" has_warm_groups 15 || exit 1
doubled=$(ctl --output json status | grep -o '"vms":\[[^]]*\]' | tr ',[]' '\n\n\n' | grep '^"' | grep -v vms | sort | uniq -d)
[ -z "$doubled" ] || { echo "FAILED: VMs in two groups: $doubled"; exit 1; }
for log in "$RUN"/*.log; do
    if grep -q '"name":"plan-adopted"' "$log"; then
        grep '"name":"process-started"\|"name":"plan-adopted"' "$log" | sed 's/.*process-started.*/0/; s/.*"index":"\([0-9]*\)".*/\1/' |
            awk -v log_="$log" '$1 == 0 { last = 0; next } $1 < last { print "FAILED: " log_ " returned to index " $1; bad = 1 } { last = $1 } END { exit bad }' || exit 1
    fi
done
