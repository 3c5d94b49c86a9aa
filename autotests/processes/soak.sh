# Entry daemons under overlapping disruptions from seeds: stops, kills, suspensions, configurations, outages of the store, upstreams in trouble (knapweedslip-soak).
# Guards against requests that run twice, or run although they were refused with a promise, and against engines in two groups (TWICE, REFUSED, TWO).
# SEEDS, DAEMONS and SECONDS_OF_TROUBLE choose other runs; the logs of a run that breaks a rule are kept.
set -u
status=0
running=()
folder=$(mktemp -d)
number=$((RANDOM % 180 + 20))
for seed in ${SEEDS:-1 2 3}; do
    number=$((number + 1))
    timeout -k 5 300 "$BUILD/autotests/soak/knapweedslip-soak" --entry "${ENTRY_PROGRAM:-$BUILD/daemons/knapweedslip-entry}" --folder "$folder/$seed" --seed "$seed" \
        --daemons "${DAEMONS:-8}" --seconds "${SECONDS_OF_TROUBLE:-15}" --address-number "$number" &
    running+=("$!")
done
for pid in "${running[@]}"; do
    wait "$pid" || status=1
done
if [ $status -eq 0 ]; then
    rm -r "$folder"
else
    echo "FAILED: a rule was broken, or a run did not end; logs: $folder"
    head -n 5 "$folder"/*/breaches
fi
exit $status
