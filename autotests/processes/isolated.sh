# A daemon that reaches neither the store nor more than half of the daemons stops accepting requests, responds at once with a Retry-After, and
# accepts requests again when it is reconnected. Frames signed with another secret have no effect.
set -u
. "$(dirname "$0")/../../examples/deployment.sh"
export ENTRY_VMS=2
prepare_deployment tsakalos attica-1 attica-2 attica-3
start_standins
start_daemons || exit 1
apply_plan 15 || exit 1
others=("$(pid_of controller-1)" "$(pid_of admin-1)" "$(pid_of gateway-2)" "$(pid_of controller-2)" "$(pid_of admin-2)")
ready() {
    [ "$(gateway_status 1 /readyz)" = "$1" ]
}
wait_until 10 "the gateway is ready" ready 200 || exit 1
set_fault $PREFIX.4.1:8500 '{"down":true}'
kill -STOP "${others[@]}"
wait_until 20 "the isolated gateway is not ready" ready 503 || exit 1
answer=$(curl -s -i -H "Authorization: Bearer $WORKSPACE_KEY" -d "{\"model\":\"$MODEL\",\"prompt\":\"p\"}" "http://$PREFIX.1.1:7000/v1/completions")
[[ "$answer" == *"stale-configuration"* && "$answer" == *"Retry-After: "* ]] || { echo "FAILED: $answer"; exit 1; }
kill -CONT "${others[@]}"
wait_until 20 "the gateway is ready again with its peers alone" ready 200 || exit 1
curl -sf -H "Authorization: Bearer $WORKSPACE_KEY" -d "{\"model\":\"$MODEL\",\"prompt\":\"p\"}" "http://$PREFIX.1.1:7000/v1/completions" >/dev/null || { echo "FAILED: no answer"; exit 1; }
# A daemon with another peer secret is rejected and logged.
set_fault $PREFIX.4.1:8500 '{"down":false}'
mkdir "$RUN/stranger"
cp "$RUN"/operator.key "$RUN/stranger/"
echo "some-other-peer-secret" >"$RUN/stranger/peer.key"
sed -e 's/^name: .*/name: stranger/' -e "s/$PREFIX.1.1:700/$PREFIX.1.9:700/" "$RUN/gateway-1.yaml" >"$RUN/stranger/gateway.yaml"
start stranger "$BUILD/daemons/knapweedslip-gateway" --settings "$RUN/stranger/gateway.yaml"
rejected() {
    grep -q '"name":"peer-rejected"' "$RUN"/gateway-*.log "$RUN"/controller-*.log "$RUN"/admin-*.log
}
wait_until 20 "the stranger is rejected" rejected || exit 1
ctl dump $PREFIX.1.1:7001 | grep -q stranger && { echo "FAILED: the stranger became a member"; exit 1; }
exit 0
