# Starts and stops stand-ins and instances on loopback; to be sourced.
#
# Sets: bin (build folder), work (scratch folder), deployment, prefix, net.

fleet_use() {
    deployment=$1
    case $deployment in
    pwani) prefix=pw net=127.10 ;;
    authority) prefix=mc net=127.20 ;;
    *)
        echo "unknown deployment \"$deployment\"" >&2
        return 2
        ;;
    esac
    bin=build/release
    work=$(mktemp -d)
    platform=$net.0.100:7000
    control=$net.0.101:7001
    fleet_pids=()
}

fleet_publish() { # PATH FILE
    curl -fsS -X PUT --data-binary @"$2" "http://$platform$1" >/dev/null
}

fleet_set() { # MATCH JSON: changes the behaviour of matching upstreams
    curl -fsS -X POST "http://$control/control" \
        -d "{\"match\":\"$1\",\"set\":$2}" >/dev/null
}

fleet_wait() { # URL: waits until it answers with success
    for _ in $(seq 200); do
        curl -fsS -o /dev/null "$1" 2>/dev/null && return 0
        sleep 0.05
    done
    echo "$1 does not answer" >&2
    return 1
}

fleet_start_instance() { # NUMBER
    "$bin/instance/peridotward" \
        --settings "examples/$deployment/$prefix-$1.jsonc" \
        2>>"$work/$prefix-$1.log" &
    fleet_pids+=($!)
    instance_pid[$1]=$!
}

declare -A instance_pid

fleet_start() { # starts everything and waits until it is ready
    "$bin/tests/standins/standin_platform" "$platform" &
    fleet_pids+=($!)
    "$bin/tests/standins/standin_upstreams" \
        "examples/$deployment/bundle.jsonc" "$control" &
    fleet_pids+=($!)
    fleet_wait "http://$platform/ledger"
    fleet_wait "http://$control/ledger"
    fleet_publish /v1/values/bundle "examples/$deployment/bundle.jsonc"
    fleet_publish /v1/instances "examples/$deployment/instances.json"
    for i in 1 2 3 4 5 6 7 8; do fleet_start_instance $i; done
    for i in 1 2 3 4 5 6 7 8; do
        fleet_wait "http://$net.0.$i:8081/v1/health/ready"
    done
}

fleet_entries() { # prints the callers' addresses, comma separated
    local list=""
    for i in 1 2 3 4 5 6 7 8; do list+="$net.0.$i:8080,"; done
    echo "${list%,}"
}

fleet_stop() { # ends what was started here, by process id
    local pid
    for pid in "${fleet_pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${fleet_pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    fleet_pids=()
    rm -rf "$work"
}
