# Invalid input gets a typed error that names the invalid part, and nothing is sent upstream.
set -u
. "$(dirname "$0")/../../examples/deployment.sh"
export ENTRY_VMS=1
prepare_deployment tsakalos attica-1 attica-2 attica-3
start_standins
start_daemons || exit 1
apply_plan 15 || exit 1
failures=0
url=http://$PREFIX.1.1:7000

expect() { # description status text curl-options...
    local what=$1 status=$2 text=$3 answer
    shift 3
    answer=$(curl -s -w '\n%{http_code}' "$@")
    if [ "${answer##*$'\n'}" != "$status" ] || [[ "$answer" != *"$text"* ]]; then
        echo "FAILED: $what: expected $status and '$text', got: $answer"
        failures=$((failures + 1))
    fi
}

expect_exit() { # description exit text command...
    local what=$1 status=$2 text=$3 output got
    shift 3
    output=$("$@" 2>&1)
    got=$?
    if [ $got -ne "$status" ] || [[ "$output" != *"$text"* ]]; then
        echo "FAILED: $what: expected exit $status and '$text', got $got: $output"
        failures=$((failures + 1))
    fi
}

auth="Authorization: Bearer $WORKSPACE_KEY"
before=$(service_runs | wc -l)
expect "no key" 401 "Authorization" -d '{}' $url/v1/completions
expect "wrong key" 401 "belongs to no workspace" -H "Authorization: Bearer nonsense-nonsense" -d '{}' $url/v1/completions
expect "not JSON" 400 "body: not a JSON object" -H "$auth" -d '{' $url/v1/completions
expect "no model" 400 "field model" -H "$auth" -d '{}' $url/v1/completions
expect "unknown model" 404 "urn:knapweedslip:problem:unknown-model" -H "$auth" -d '{"model":"x","prompt":"p"}' $url/v1/completions
expect "no prompt" 400 "field prompt" -H "$auth" -d "{\"model\":\"$MODEL\"}" $url/v1/completions
expect "bad messages" 400 "messages[0]" -H "$auth" -d "{\"model\":\"$MODEL\",\"messages\":[{\"role\":\"user\"}]}" $url/v1/chat/completions
expect "bad max_tokens" 400 "field max_tokens" -H "$auth" -d "{\"model\":\"$MODEL\",\"prompt\":\"p\",\"max_tokens\":0}" $url/v1/completions
expect "bad deadline" 400 "X-Deadline-Ms" -H "$auth" -H "X-Deadline-Ms: soon" -d "{\"model\":\"$MODEL\",\"prompt\":\"p\"}" $url/v1/completions
expect "wrong method" 400 "method" -H "$auth" $url/v1/completions
expect "unknown path" 404 "not-found" -H "$auth" $url/v2/nothing
expect "unknown service" 404 "unknown-service" -H "$auth" $url/services/nothing/x
head -c 2000000 /dev/zero | tr '\0' 'x' >"$RUN/large"
expect "body over the limit" 413 "body-too-large" -H "$auth" --data-binary @"$RUN/large" $url/v1/completions
expect "models" 200 "$MODEL" -H "$auth" $url/v1/models
expect "chat" 200 "chat.completion" -H "$auth" -d "{\"model\":\"$MODEL\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}" $url/v1/chat/completions
expect "key reused" 200 "" -H "$auth" -H "Idempotency-Key: a" -d '1' $url/services/$SERVICE/x
expect "key reused with another request" 422 "key-reused" -H "$auth" -H "Idempotency-Key: a" -d '2' $url/services/$SERVICE/x
expect "dump without key" 401 "operators" http://$PREFIX.1.1:7001/debug/state
expect "metrics" 200 "knapweedslip_first_token_ms_bucket" http://$PREFIX.1.1:7001/metrics
expect "admin without key" 401 "operators" http://$PREFIX.1.1:7020/v1/status
operator="Authorization: Bearer $(cat "$RUN/operator.key")"
expect "change without author" 400 "X-Author" -X POST -H "$operator" -d '{"state":"out"}' http://$PREFIX.1.1:7020/v1/zones/attica-1
expect "change without base" 428 "If-Match" -X PUT -H "$operator" -H "X-Author: a" -H "X-Reason: r" -d 'x' http://$PREFIX.1.1:7020/v1/plan
expect "bad zone state" 400 "field state" -X POST -H "$operator" -H "X-Author: a" -H "X-Reason: r" -d '{"state":"off"}' http://$PREFIX.1.1:7020/v1/zones/attica-1
expect "unknown zone" 422 "there is no" -X POST -H "$operator" -H "X-Author: a" -H "X-Reason: r" -d '{"state":"out"}' http://$PREFIX.1.1:7020/v1/zones/nowhere
expect_exit "stale base" 3 "is in force" ctl apply "$RUN/plan.yaml" --base 0 --author a --reason r
sed 's/state: in/state: inn/' "$RUN/plan.yaml" >"$RUN/bad.yaml"
expect_exit "bad sheet" 1 "'state' must be 'in' or 'out'" ctl check "$RUN/bad.yaml"
expect_exit "dry run" 0 "groups_taking_work" ctl zone attica-1 out --author a --reason r --dry-run
expect_exit "nobody listens" 4 "No connection" "$BUILD/tools/knapweedslipctl" --admin 127.0.0.1:1 --key-file "$RUN/operator.key" status
sed -e 's/store_timeout_ms.*//' -e 's/^listen:.*/listen: nowhere\nroute_polcy: x\nroute_policy: fastest/' "$RUN/gateway-1.yaml" >"$RUN/bad-gateway.yaml"
expect_exit "bad settings, address" 2 "'listen' must be ip:port" "$BUILD/daemons/knapweedslip-gateway" --settings "$RUN/bad-gateway.yaml"
expect_exit "bad settings, key" 2 "unknown key 'route_polcy'" "$BUILD/daemons/knapweedslip-gateway" --settings "$RUN/bad-gateway.yaml"
expect_exit "bad settings, policy" 2 "'fastest' is not one of" "$BUILD/daemons/knapweedslip-gateway" --settings "$RUN/bad-gateway.yaml" --check-settings
expect_exit "good settings" 0 "no findings" "$BUILD/daemons/knapweedslip-gateway" --settings "$RUN/gateway-1.yaml" --check-settings
# The hosting platform renders an empty value where it does not say whether engines check fencing tokens. A daemon that took it for an error would not start.
while IFS='|' read -r fence exit text; do
    printf 'name: e\navailability_zone: z\nlisten: 127.0.0.1:1\nreadiness_listen: 127.0.0.1:2\npeer_listen: 127.0.0.1:3\nstore_address: 127.0.0.1:4\nmax_key_age_ms: 5000\n' >"$RUN/entry.yaml"
    printf 'resend_ratio: 0.2\nresend_extra: 10\nstop_grace_s: 8\n%s\n' "$fence" >>"$RUN/entry.yaml"
    expect_exit "entry settings with '$fence'" "$exit" "$text" "$BUILD/daemons/knapweedslip-entry" --settings "$RUN/entry.yaml" --check-settings
done <<END
|0|no findings
engines_check_fence:|0|no findings
engines_check_fence: false|0|no findings
engines_check_fence: true|0|no findings
engines_check_fence: perhaps|2|engines_check_fence
END
[ "$(service_runs | wc -l)" -eq $((before + 1)) ] || { echo "FAILED: a refused call reached a service"; failures=$((failures + 1)); }
if grep -l -F -e "$(cat "$RUN/operator.key")" -e "$WORKSPACE_KEY" -e "$(cat "$RUN/peer.key")" "$RUN"/*.log; then
    echo "FAILED: a key is in a log"
    failures=$((failures + 1))
fi
if ctl dump $PREFIX.1.1:7001 | grep -qF -e "$(cat "$RUN/operator.key")" -e "$WORKSPACE_KEY" -e "$(cat "$RUN/peer.key")"; then
    echo "FAILED: a key is in a dump"
    failures=$((failures + 1))
fi
[ $failures -eq 0 ]
