# Upstreams that leave, and whose list entry says so or is removed, while their answers say nothing: nothing that a caller sends later than the bound reaches
# them, whatever older word of them the list shows, and through daemons that the store turns away or that have just started. Guards against daemons that take
# back what they knew, or that use removed entries after an outage of their own (rule DRAIN, incident of issue 46).
set -u
. "$(dirname "$0")/../../examples/hosting.sh"
DRAIN_MS=2000
# Time for which a request may already be underway then, in ms.
UNDERWAY_MS=200
COPY_AGE_S=2
# name, path, first upstream of 9 engines and 4 plain ones, words, disturbance. "copy": the store comes back from a copy older than the word. "turned-away":
# for 9 s the store serves all but one daemon, and drops its history. "turned-away-long": for 13 s it serves all but three, which lose their registrations, and the
# word comes after that; an entry that says so is removed 2.5 s later. "stopped-long": the three stand still instead. "lost-in-outage": the store is away for all for 3 s and drops the entries of all plain
# upstreams, which write them again soon after: no caller may be refused. "resends" and "resumed": the other
# upstreams break a share of their answers off. "slow" and "lost": answers of the store take 600 ms longer, or a third of them is lost. "forgotten": the store
# drops its history right before and after the word. "answered": the upstream says it in its answers alone, and a daemon is bound by what it has passed on
# itself. A name that ends with -20 has 20 daemons. "restart": one daemon is killed and started again after the word. "lapsed": the entry
# lapses and comes back, and the upstream must be used again. "hidden": the store does not show heartbeats, so that a removal may be a lapse; the upstream's
# answers say that it leaves once no request reaches it.
cases=(
    "listed|/read/a|9|\"listed\":true|none"
    "listed-late|/read/a|9|\"listed\":true,\"late_report_ms\":3000,\"quiet_ms\":7000|none"
    "listed-late-paid|/once/a|9|\"listed\":true,\"late_report_ms\":3000,\"quiet_ms\":7000|none"
    "listed-late-head|/stream/a|0|\"listed\":true,\"late_report_ms\":3000,\"quiet_ms\":7000|none"
    "listed-late-restart|/read/a|9|\"listed\":true,\"late_report_ms\":4000,\"quiet_ms\":7000|restart"
    "removed-late|/read/a|9|\"unlisted\":true,\"late_report_ms\":3000|none"
    "removed-late-restart|/read/a|9|\"unlisted\":true,\"late_report_ms\":4000|restart"
    "removed-late-hidden|/read/a|9|\"unlisted\":true,\"late_report_ms\":3000|hidden"
    "listed-copy|/read/a|9|\"listed\":true|copy"
    "removed-copy|/read/a|9|\"unlisted\":true|copy"
    "listed-turned-away|/read/a|9|\"listed\":true|turned-away"
    "removed-turned-away|/read/a|9|\"unlisted\":true|turned-away"
    "listed-turned-away-long|/read/a|9|\"listed\":true|turned-away-long"
    "removed-turned-away-long|/read/a|9|\"unlisted\":true|turned-away-long"
    "removed-turned-away-long-paid|/once/a|9|\"unlisted\":true|turned-away-long"
    "removed-turned-away-long-head|/stream/a|0|\"unlisted\":true|turned-away-long"
    "removed-stopped-long|/read/a|9|\"unlisted\":true|stopped-long"
    "lost-in-outage|/read/a|9|\"quiet_ms\":3500|lost-in-outage"
    "listed-turned-away-long-20|/read/a|9|\"listed\":true|turned-away-long"
    "removed-late-paid|/once/a|9|\"unlisted\":true,\"late_report_ms\":3000|none"
    "removed-late-head|/stream/a|0|\"unlisted\":true,\"late_report_ms\":3000|none"
    "listed-late-resends|/read/a|9|\"listed\":true,\"late_report_ms\":3000,\"quiet_ms\":7000|resends"
    "removed-late-resends|/read/a|9|\"unlisted\":true,\"late_report_ms\":3000|resends"
    "listed-late-resumed|/stream/a|0|\"listed\":true,\"late_report_ms\":3000,\"quiet_ms\":7000|resumed"
    "removed-late-resumed|/stream/a|0|\"unlisted\":true,\"late_report_ms\":3000|resumed"
    "answered-resends|/read/a|9|\"leaving\":true|answered-resends"
    "answered-resumed|/stream/a|0|\"leaving\":true|answered-resumed"
    "answered-paid|/once/a|9|\"leaving\":true|answered"
    "listed-slow|/read/a|9|\"listed\":true|slow"
    "removed-slow|/read/a|9|\"unlisted\":true|slow"
    "listed-lost|/read/a|9|\"listed\":true|lost"
    "removed-lost|/read/a|9|\"unlisted\":true|lost"
    "listed-forgotten|/read/a|9|\"listed\":true|forgotten"
    "removed-forgotten|/read/a|9|\"unlisted\":true|forgotten"
    "lapsed|/read/a|9|\"quiet_ms\":6000|lapsed"
)
# Rows at a time.
PARALLEL=3

words() { # words; prints the id of the upstream
    curl -sf -X PUT -d "{\"first\":$first,\"count\":1,$1}" "http://$PREFIX.9.1:8500/standin/engines" | tr -d '[]"'
}

faults() { # faults of the store
    curl -sf -X PUT -d "$1" "http://$PREFIX.9.1:8500/standin/faults" >/dev/null
}

# Prints how many requests reached the upstream that callers had sent after the given time, and the last one, in ms after the word.
arrivals() { # upstream word-ms from-ms
    awk -v engine="\"engine\":\"$1\"" -v word="$2" -v from="$3" '
        /"kind":"arrived"/ && index($0, engine) { match($0, /"at_ms":[0-9]+/); at = substr($0, RSTART + 8, RLENGTH - 8)
          late += at > from; last = at > from ? at - word : last }
        END { print late + 0, last + 0 }' "$RUN/history"
}

# Prints the ids of the processes of the first three daemons.
first_daemons() {
    local n
    for n in 1 2 3; do
        pid_of "entry-$n"
    done
}

# Sets how the answers of all upstreams but the one that leaves are spoiled.
spoil() { # faults
    curl -sf -X PUT -d "{\"first\":$((first + 1)),\"count\":12,\"faults\":{$1}}" "http://$PREFIX.9.1:8500/standin/engines" >/dev/null
}

# As arrivals, but only requests through daemons that had passed an answer of the upstream on which said so, and counted from then on.
arrivals_after_answers() { # upstream word-ms
    awk -v engine="\"engine\":\"$1\"" -v word="$2" -v limit="$((DRAIN_MS + UNDERWAY_MS))" '
        index($0, engine) { match($0, /"at_ms":[0-9]+/); at = substr($0, RSTART + 8, RLENGTH - 8)
          match($0, /"attempt":"d[0-9]+-/); daemon = substr($0, RSTART, RLENGTH)
          if (index($0, "\"kind\":\"said-leaving\"") && !(daemon in said)) { said[daemon] = at }
          if (index($0, "\"kind\":\"arrived\"")) { late += (daemon in said) && at - said[daemon] > limit; last = (daemon in said) ? at - word : last } }
        END { print late + 0, last + 0 }' "$RUN/history"
}

run_case() { # name path first words disturbance
    local name=$1 path=$2 first=$3 said=$4 disturbance=$5 options=() daemons=7 word engine upstreams late
    [[ "$name" != *-20 ]] || daemons=20
    [ "$disturbance" != turned-away ] || APART=1
    [ "$disturbance" != turned-away-long ] || APART=3
    [ "$disturbance" != hidden ] || options=(--hide-heartbeats)
    start_hosting $daemons --engines 9 --services 4 --prefill-ms 10 --events 5 "${options[@]}" || { status=1; return; }
    wait_until 20 "$path is served by all daemons" serves "$path" || { status=1; return; }
    start_innocents 35 "$path"
    sleep 3
    [ "$disturbance" != copy ] || { faults '{"copy":true}'; sleep $COPY_AGE_S; }
    # A watch that waits already is still answered.
    [ "$disturbance" != turned-away ] || { faults '{"turned_away_ms":9000}'; sleep 1; }
    [ "$disturbance" != turned-away-long ] || { faults '{"turned_away_ms":13000}'; sleep 6; }
    [ "$disturbance" != stopped-long ] || { kill -STOP $(first_daemons); sleep 6; }
    [ "$disturbance" != lost-in-outage ] || faults '{"store_down_ms":3000}'
    case $disturbance in
    *resends) spoil '"reset":0.3' ;;
    *resumed) spoil '"broken_streams":0.3' ;;
    slow) faults '{"troubled_ms":12000,"slow_ms":600}' ;;
    lost) faults '{"troubled_ms":12000,"lost":0.33}' ;;
    forgotten) faults '{"forget":true}' ;;
    esac
    word=$(uptime_ms)
    engine=$(words "$said")
    case $disturbance in
    copy)
        faults '{"drill_ms":300,"again_ms":1000,"apart_ms":0,"skip":0}'
        ;;
    turned-away)
        sleep 4
        faults '{"forget":true}'
        sleep 3
        ;;
    forgotten)
        faults '{"forget":true}'
        sleep 1
        faults '{"forget":true}'
        ;;
    turned-away-long | stopped-long)
        sleep 2.5
        words '"unlisted":true' >/dev/null
        faults '{"forget":true}'
        sleep 4.5
        [ "$disturbance" != stopped-long ] || kill -CONT $(first_daemons)
        ;;
    lost-in-outage)
        upstreams=$(curl -sf -X PUT -d "{\"first\":$first,\"count\":4,$said}" "http://$PREFIX.9.1:8500/standin/engines" | tr -d '[]"' | tr ',' ' ')
        sleep 2
        for engine in $upstreams; do
            curl -sf -X PUT "http://$PREFIX.9.1:8500/standin/removed-key?key=servers/$engine" >/dev/null
        done
        ;;
    restart)
        sleep 1
        kill -KILL "$(pid_of entry-1)"
        wait "$(pid_of entry-1)" 2>/dev/null
        start_entry 1
        ;;
    hidden)
        sleep 1
        words '"unlisted":true,"leaving":true' >/dev/null
        ;;
    lapsed)
        sleep 3.7
        curl -sf -X PUT "http://$PREFIX.9.1:8500/standin/removed-key?key=servers/$engine" >/dev/null
        ;;
    esac
    sleep 6
    stop_innocents
    history >"$RUN/history"
    if [[ "$disturbance" = answered* ]]; then
        late=$(arrivals_after_answers "$engine" "$word")
        grep -q '"kind":"said-leaving"' "$RUN/history" || { echo "FAILED: $name: no answer said that the upstream leaves"; status=1; }
    else
        late=$(arrivals "$engine" "$word" $((word + DRAIN_MS + UNDERWAY_MS)))
    fi
    echo "$name: sent later than the bound, and the last after the word in ms: $late; answers $(sort "$RUN/innocent" | uniq -c | tr '\n' ';')"
    if [ "$disturbance" = lost-in-outage ]; then
        ! grep -qv '^200' "$RUN/innocent" || { echo "FAILED: $name: callers are refused although all upstreams live"; status=1; }
    elif [ "$disturbance" = lapsed ]; then
        # Reports go on after 6 s.
        [ "$(arrivals "$engine" "$word" $((word + 7500)) | cut -d' ' -f1)" -gt 0 ] || { echo "FAILED: $name: an upstream that lives is not used"; status=1; }
    else
        [ "${late%% *}" = 0 ] || { echo "FAILED: $name: requests reach an upstream that leaves"; status=1; }
    fi
    grep -q '^200' "$RUN/innocent" || { echo "FAILED: $name: no caller was answered"; status=1; }
    [ -z "${KEEP:-}" ] || cp -r "$RUN" "$KEEP-$name"
    end_processes
    process_pids=()
}

selected=()
for row in "${cases[@]}"; do
    name=${row%%|*}
    [ $# -eq 0 ] || [[ " $* " = *" $name "* ]] || continue
    selected+=("$row")
done
run_rows "${selected[@]}"
