# A request that many callers send at the same time is not refused as one that ends upstreams when all upstreams are lost at one moment for another
# reason. Guards against innocent callers that are refused: the request was on each upstream that ended, and nothing else was on all of them.
set -u
. "$(dirname "$0")/../../examples/hosting.sh"
SERVICES=3
export DEADLINE_HEADER=1500 READ_TARGET_MS=150
start_hosting "${ENTRY_VMS:-8}" --engines 0 --services $SERVICES --restart-ms 1200 --prefill-ms 100 || exit 1
wait_until 20 "/read/a is served by all daemons" serves /read/a || exit 1
start_innocents 20 /read/a
sends=()
for i in $(seq 1 400); do
    send $((i % ENTRIES + 1)) /read/hot "the same for all" >>"$RUN/hot" &
    sends+=("$!")
    sleep 0.01
    [ "$i" != 100 ] || curl -sf -X PUT -d "{\"first\":0,\"count\":$SERVICES,\"lost\":true}" "http://$PREFIX.9.1:8500/standin/engines" >/dev/null
done
wait "${sends[@]}"
stop_innocents
echo "answers to the hot request $(sort "$RUN/hot" | uniq -c | tr '\n' ';') to others $(sort "$RUN/innocent" | uniq -c | tr '\n' ';')"
[ -z "${KEEP:-}" ] || cp -r "$RUN" "$KEEP"
refused=$(cat "$RUN/hot" "$RUN/innocent" | grep -c '^429')
[ "$refused" -eq 0 ] || { echo "FAILED: $refused innocent requests were refused as ones that end upstreams"; exit 1; }
