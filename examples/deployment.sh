# Sourced by scripts that run a complete deployment on loopback. BUILD must name the build folder. Every process is started here and killed by id.
# Addresses are 127.A.x.y with a random A, so that parallel runs do not collide.

. "$(dirname "${BASH_SOURCE[0]}")/processes.sh"

start_daemon() { # role number
    start "$1-$2" "$BUILD/daemons/knapweedslip-$1" --settings "$RUN/$1-$2.yaml"
}

ctl() {
    "$BUILD/tools/knapweedslipctl" --admin "$PREFIX.1.1:7020" --key-file "$RUN/operator.key" "$@"
}

start_standins() { # engine options...
    start platform "$BUILD/standins/standin-platform" --listen "$PREFIX.4.1:8500"
    local z
    for z in 1 2 3; do
        start "engines-$z" "$BUILD/standins/standin-engine" --ip "$PREFIX.2.$z" --port 8001 --count 18 --vm-prefix "${ZONES[$((z - 1))]}-" "$@"
        start "service-$z" "$BUILD/standins/standin-service" --listen "$PREFIX.3.$z:8080" --vm "$SERVICE-$z" --cold-ms 1000
    done
    wait_until 10 "the platform stand-in listens" curl -sf "http://$PREFIX.4.1:8500/standin/counts"
    curl -sf -X PUT --data-binary @"$RUN/vms.json" "http://$PREFIX.4.1:8500/standin/vms" >/dev/null
}

start_daemons() { # all roles on all entry VMs
    local n role
    for n in $(seq 1 "${ENTRY_VMS:-8}"); do
        for role in gateway controller admin; do
            start_daemon $role "$n"
        done
    done
    wait_until 20 "the daemons have found each other" has_quorum
}

apply_plan() { # number of warm upstreams to wait for
    ctl apply "$RUN/plan.yaml" --base 0 --author test --reason "first plan" --wait >/dev/null || return 1
    wait_until 40 "$1 upstreams are warm" has_warm_groups "$1"
}

set_fault() { # address json
    curl -sf -X PUT -d "$2" "http://$1/standin/faults" >/dev/null
}

gateway_status() { # gateway path
    curl -s -o /dev/null -w '%{http_code}' "http://$PREFIX.1.$1:7001$2"
}

call_service() { # gateway key curl-options...
    local gateway=$1 key=$2
    shift 2
    curl -s -H "Authorization: Bearer $WORKSPACE_KEY" -H "Idempotency-Key: $key" "$@" "http://$PREFIX.1.$gateway:7000/services/$SERVICE/calls"
}

service_runs() { # prints the idempotency key of every run of the service stand-ins, one per line
    local z
    for z in 1 2 3; do
        curl -sf "http://$PREFIX.3.$z:8080/standin/history"
    done | grep '"kind":"run"' | sed 's/.*"key":"\([^"]*\)".*/\1/' | grep -v '^$'
}

gateway_targets() {
    local n
    for n in $(seq 1 "${ENTRY_VMS:-8}"); do
        printf -- '--target %s.1.%s:7000 ' "$PREFIX" "$n"
    done
}

warm_groups() {
    ctl --output json status | grep -o '"phase":"warm"' | wc -l
}

has_warm_groups() { # minimum number
    [ "$(warm_groups)" -ge "$1" ]
}

has_quorum() {
    ctl --output json status | grep -q '"quorum":true'
}

prepare_deployment() { # name zone zone zone
    RUN=$(mktemp -d)
    PREFIX=127.$((RANDOM % 200 + 20))
    ZONES=("$2" "$3" "$4")
    BALANCER_WAIT_MS=${BALANCER_WAIT_MS:-300} "$(dirname "${BASH_SOURCE[0]}")/generate" "$RUN" "$PREFIX" "$@"
    SERVICE=$([ "$1" = tsakalos ] && echo orders || echo bookings)
    MODEL=$([ "$1" = tsakalos ] && echo pattern-writer || echo lesson-writer)
    WORKSPACE_KEY=$([ "$1" = tsakalos ] && echo attica-wraps || echo bystrica-tutors)-key-placeholder
    echo "$WORKSPACE_KEY" >"$RUN/workspace.key"
    trap end_processes EXIT
}
