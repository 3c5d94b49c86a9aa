# Engines are lost one after the other while others are free, then a whole domain several times in a row, under a part that all prompts share: no caller is
# refused for it. Guards against refusing what is popular in place of what ends upstreams, and against a part of incident BUDGET of issue 34: a daemon
# went on sending to an engine that it knew to have ended until the list dropped it, and each such send spent from the shared resend budget.
set -u
. "$(dirname "$0")/../../examples/hosting.sh"
LOST=22
INNOCENT_PROMPT=a1:40,bGROUP:100,cNUMBERROUND:50

start_hosting 8 --engines 27 --services 0 --restart-ms 1500 --prefill-ms 30 || exit 1
wait_until 20 "streams are served by all daemons" serves /stream/a || exit 1
start_innocents 80 /stream/a
for i in $(seq 1 $LOST); do
    curl -sf -X PUT -d "{\"first\":$i,\"count\":1,\"lost\":true}" "http://$PREFIX.9.1:8500/standin/engines" >/dev/null
    sleep 1
done
for i in 1 2 3 4 5 6; do
    curl -sf -X PUT -d '{"first":0,"count":9,"lost":true}' "http://$PREFIX.9.1:8500/standin/engines" >/dev/null
    sleep 1.8
done
stop_innocents
status=0
answered=$(grep -c '^200' "$RUN/innocent")
all=$(wc -l <"$RUN/innocent")
refused=$(grep -c '^[45]0[39]\|^429' "$RUN/innocent")
turned_away=$(cat "$RUN"/entry-*.log | grep -c 'refused with status 421')
# Each daemon's own log: requests that it sent to an engine after it had found out that this one has ended.
read -r known sent <<<"$(for n in $(seq 1 "$ENTRIES"); do cat "$RUN/entry-$n.log"; done | awk '
    { match($0, /"process":"[^"]*"/); key = substr($0, RSTART, RLENGTH); match($0, /"upstream":"[^"]*"/); key = key substr($0, RSTART, RLENGTH) }
    /"name":"upstream-withheld"/ && /"reason":"ended"/ { known += !(key in ended); ended[key] = 1 }
    /"name":"call-sent"/ && (key in ended) { ++sent }
    END { print known + 0, sent + 0 }')"
echo "$LOST engines lost one after the other, then a domain of nine six times: $answered of $all answered, $refused refused; daemons found $known times that an engine had ended and sent it" \
    "$sent requests afterwards; successors turned $turned_away requests away"
[ "$refused" -eq 0 ] || { echo "FAILED: $refused sound requests were refused although engines were free"; status=1; }
[ "$known" -ge "$LOST" ] || { echo "FAILED: only $known ends were found out"; status=1; }
[ "$sent" -eq 0 ] || { echo "FAILED: $sent requests were sent to engines that their daemons knew to have ended"; status=1; }
exit $status
