# A request that crashes every upstream it runs on, sent repeatedly through all gateways, costs at most two groups.
set -u
. "$(dirname "$0")/../../examples/deployment.sh"
export ENTRY_VMS=3
prepare_deployment doucko trencin-1 nitra-1 trnava-1
start_standins
start_daemons || exit 1
apply_plan 15 || exit 1
crashes() {
    local z
    for z in 1 2 3; do
        curl -sf "http://$PREFIX.2.$z:8018/standin/history"
    done | grep -c '"cause":"poison"'
}
last=0
for i in $(seq 1 12); do
    last=$(curl -s -o "$RUN/answer" -w '%{http_code}' -H "Authorization: Bearer $WORKSPACE_KEY" -H "X-Deadline-Ms: 8000" \
        -d "{\"model\":\"$MODEL\",\"prompt\":\"POISON\",\"max_tokens\":4}" http://$PREFIX.1.$((i % 3 + 1)):7000/v1/completions)
done
echo "groups lost $(crashes), last answer $last"
[ "$(crashes)" -le 2 ] || { echo "FAILED: more than two groups were lost"; exit 1; }
[ "$last" = 422 ] || { echo "FAILED: the request is not refused: $(cat "$RUN/answer")"; exit 1; }
grep -q poison-request "$RUN/answer" || { echo "FAILED: the response states no reason"; exit 1; }
curl -sf -H "Authorization: Bearer $WORKSPACE_KEY" -d "{\"model\":\"$MODEL\",\"prompt\":\"harmless\"}" http://$PREFIX.1.1:7000/v1/completions >/dev/null ||
    { echo "FAILED: a harmless request is refused"; exit 1; }
