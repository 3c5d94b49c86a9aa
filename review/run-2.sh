# Sourced by the run.sh of a case. Runs its program from the root of the repository for 110 s at most; the daemons that the program starts end with it.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
program="target/review-2/case-$(basename "$folder")"
[ -x "$program" ] && [ -x target/daemons/knapweedslip-entry ] || exit 2
timeout -k 5 110 "$program" "$folder/record.txt" &
pid=$!
trap 'kill "$pid" 2>/dev/null; exit 2' TERM INT
wait "$pid"
status=$?
case $status in
0 | 1) exit $status ;;
*) exit 2 ;;
esac
