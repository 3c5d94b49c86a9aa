# Sourced by scripts that start processes, whose logs go to the folder RUN. Every process is ended by its id.

process_pids=()

end_processes() {
    [ ${#process_pids[@]} -eq 0 ] || kill -KILL "${process_pids[@]}" 2>/dev/null || true
    [ ${#process_pids[@]} -eq 0 ] || wait "${process_pids[@]}" 2>/dev/null || true
}

start() { # log-name command...
    local log=$1
    shift
    "$@" >>"$RUN/$log.log" 2>&1 &
    process_pids+=($!)
    eval "pid_${log//[^a-zA-Z0-9]/_}=$!"
}

pid_of() {
    local variable="pid_${1//[^a-zA-Z0-9]/_}"
    echo "${!variable}"
}

wait_until() { # seconds description command...; returns 1 on timeout
    local limit=$((SECONDS + $1)) what=$2
    shift 2
    until "$@" >/dev/null 2>&1; do
        if [ $SECONDS -ge $limit ]; then
            echo "FAILED: $what (not within the time limit)"
            return 1
        fi
        sleep 0.1
    done
}
