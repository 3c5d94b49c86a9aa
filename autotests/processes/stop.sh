# A planned stop breaks no response, leases are released instead of left to expire, and leaving upstreams finish their requests.
set -u
. "$(dirname "$0")/../../examples/deployment.sh"
export ENTRY_VMS=3
prepare_deployment doucko trencin-1 nitra-1 trnava-1
start_standins --token-ms 20
start_daemons || exit 1
apply_plan 15 || exit 1
# shellcheck disable=SC2046
"$BUILD/tools/knapweedslip-load" completions $(gateway_targets) --key-file "$RUN/workspace.key" --model "$MODEL" --rate 15 --seconds 8 --max-tokens 60 \
    --history "$RUN/load.jsonl" >"$RUN/load.txt" 2>&1 &
load=$!
sleep 2
# An engine VM announces that it leaves.
set_fault $PREFIX.2.1:8001 '{"leaving":true}'
sleep 1
kill -TERM "$(pid_of gateway-1)" "$(pid_of controller-1)" "$(pid_of admin-1)"
for name in gateway-1 controller-1 admin-1; do
    wait "$(pid_of $name)" || { echo "FAILED: $name did not stop cleanly"; exit 1; }
done
grep -q '"name":"domain-released' "$RUN/controller-1.log" || ! grep -q '"name":"domain-claimed' "$RUN/controller-1.log" ||
    { echo "FAILED: the controller's domains were not handed over"; exit 1; }
wait $load
status=$?
cat "$RUN/load.txt"
[ $status -eq 0 ] || { echo "FAILED: a response was wrong or broken"; exit 1; }
grep -q '^whole ' "$RUN/load.txt" || { echo "FAILED: no complete responses"; exit 1; }
all_held() {
    local held=0 n
    for n in 2 3; do
        held=$((held + $(ctl_at $n dump $PREFIX.1.$n:7011 | grep -o '"held":true' | wc -l)))
    done
    [ $held -ge 7 ]
}
ctl_at() {
    "$BUILD/tools/knapweedslipctl" --admin "$PREFIX.1.$1:7020" --key-file "$RUN/operator.key" "${@:2}"
}
wait_until 20 "every domain has a holder again" all_held || exit 1
left_group() {
    ! ctl_at 2 --output json status | grep -o '"vms":\[[^]]*\]' | grep -q '"trencin-1-1"'
}
wait_until 30 "the leaving VM is in no group" left_group || exit 1
