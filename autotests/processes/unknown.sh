# A paid call whose response was lost ends as "unknown" for its caller and, without delay, for everyone who sends its key again. It never runs again.
set -u
. "$(dirname "$0")/../../examples/deployment.sh"
export ENTRY_VMS=2
prepare_deployment tsakalos attica-1 attica-2 attica-3
start_standins
start_daemons || exit 1
apply_plan 15 || exit 1
for z in 1 2 3; do
    set_fault $PREFIX.3.$z:8080 '{"lose_answers":1}'
done
first=$(call_service 1 key-u -H "X-Deadline-Ms: 60000" --max-time 20 -d '{"a":1}')
[[ "$first" == *'"run":"unknown"'* ]] || { echo "FAILED: first answer $first"; exit 1; }
for n in 1 2; do
    again=$(call_service $n key-u -H "X-Deadline-Ms: 60000" --max-time 20 -d '{"a":1}')
    [[ "$again" == *'outcome-unknown'* && "$again" == *'"run":"unknown"'* ]] || { echo "FAILED: gateway $n, sent again: '$again'"; exit 1; }
done
[ "$(service_runs | grep -c '^key-u$')" -eq 1 ] || { echo "FAILED: runs $(service_runs | grep -c '^key-u$')"; exit 1; }
# A call that the service refused before running it may be sent again with the same key.
for z in 1 2 3; do
    set_fault $PREFIX.3.$z:8080 '{"lose_answers":0,"refuse":true}'
done
refused=$(call_service 1 key-r --max-time 20 -d '{"a":1}')
[[ "$refused" == *'"run":"not-run"'* ]] || { echo "FAILED: refused call: $refused"; exit 1; }
for z in 1 2 3; do
    set_fault $PREFIX.3.$z:8080 '{"refuse":false}'
done
ran() {
    call_service 2 key-r --max-time 20 -d '{"a":1}' | grep -q '"echo"'
}
wait_until 20 "the refused call runs when sent again" ran || exit 1
[ "$(service_runs | grep -c '^key-r$')" -eq 1 ] || { echo "FAILED: runs of the refused call"; exit 1; }
