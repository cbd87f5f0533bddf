# Functions to start and stop stand-ins and instances on loopback; source it.
#
# fleet_use sets: bin (build folder), work (temporary folder), files (folder of
# settings and bundle), bundle, deployment, prefix (of instance ids), net (first
# two bytes of addresses), platform and control (addresses of the stand-ins),
# caller_delay (ms).

fleet_use() { # DEPLOYMENT: sets the variables of a deployment
    deployment=$1
    case $deployment in
    pwani) prefix=pw net=127.10 caller_delay=3 ;;
    authority) prefix=mc net=127.20 caller_delay=1 ;;
    *)
        echo "unknown deployment \"$deployment\"" >&2
        return 2
        ;;
    esac
    bin=build/release
    files=examples/$deployment
    bundle=$files/bundle.jsonc
    platform=$net.0.100:7000
    control=$net.0.101:7001
    work=$(mktemp -d)
    fleet_pids=()
}

declare -A instance_pid
instance_numbers=(1 2 3 4 5 6 7 8)

fleet_publish() { # PATH FILE: stores a file at the stand-in platform
    curl -fsS -X PUT --data-binary @"$2" "http://$platform$1" >/dev/null
}

fleet_publish_bundle() { # FILE: builds, signs and publishes, the manifest last
    local folder=$work/published part
    mkdir -p "$folder/sent"
    "$bin/ctl/peridotctl" bundle build "$1" bundle "$folder" >/dev/null
    "$bin/ctl/peridotctl" bundle sign "$folder/bundle" "$work/approver.key" \
        >/dev/null
    for part in "$folder"/bundle.*; do
        [ -e "$folder/sent/${part##*/}" ] && continue
        fleet_publish "/v1/values/${part##*/}" "$part"
        touch "$folder/sent/${part##*/}"
    done
    fleet_publish /v1/values/bundle "$folder/bundle"
}

fleet_trust() { # prints settings in which each class's token is its name
    local class digest list=""
    for class in $(sed -n '/"caller_classes"/,/]/s/.*"id": "\([^"]*\)".*/\1/p' \
        "$files/bundle.jsonc"); do
        digest=$(printf %s "$class" | sha256sum | cut -d' ' -f1)
        list+="{\"sha256\": \"$digest\", \"class\": \"$class\"},"
    done
    echo "\"trust\": {\"tokens\": [${list%,}]}"
}

fleet_settings() { # NUMBER: prints the path of settings that require sign-off
    local copy=$work/$prefix-$1.jsonc trust
    trust=$(fleet_trust)
    sed -e "s|^  \"log\":|  $trust,\n  \"sign_off\": {\"key_files\": [\"$work/approver.pub\"], \"required\": 1},\n&|" \
        "$files/$prefix-$1.jsonc" >"$copy"
    echo "$copy"
}

fleet_set() { # MATCH JSON [STAGGER_MS]: configures matching stand-ins
    curl -fsS -X POST "http://$control/control" \
        -d "{\"match\":\"$1\",\"set\":$2,\"stagger_ms\":${3:-0}}" >/dev/null
}

fleet_delays() { # sets the delays between failure domains and for connecting
    curl -fsS -X POST "http://$control/delays" \
        -d '{"domain_ms":1.5,"connect_cost":true}' >/dev/null
}

fleet_publish_domain() { # DOMAIN STATE VERSION: publishes a domain's state
    sed -e "s/\"version\": 1,/\"version\": $3,/" \
        -e "s/\(\"id\": \"$1\".*\"state\": \)\"in\"/\1\"$2\"/" \
        "$bundle" >"$work/bundle-$3.jsonc"
    fleet_publish_bundle "$work/bundle-$3.jsonc"
}

fleet_wait() { # URL: waits up to 400 polls for a successful response
    for _ in $(seq 400); do
        curl -fsS -o /dev/null "$1" 2>/dev/null && return 0
        sleep 0.05
    done
    echo "no successful response from $1" >&2
    return 1
}

fleet_start_instance() { # NUMBER: starts one instance in the background
    "$bin/instance/peridotward" \
        --settings "$(fleet_settings "$1")" \
        2>>"$work/$prefix-$1.log" &
    fleet_pids+=($!)
    instance_pid[$1]=$!
}

fleet_wait_instance() { # NUMBER: waits until the instance is ready
    fleet_wait "http://$net.0.$1:8081/v1/health/ready"
}

fleet_stop_instance() { # NUMBER: sends SIGTERM and waits for the process
    local pid=${instance_pid[$1]}
    kill -TERM "$pid"
    wait "$pid" || echo "instance $1 exited with code $?" >&2
    unset "instance_pid[$1]"
}

fleet_start() { # starts stand-ins and instances and waits until all are ready
    "$bin/tests/standins/standin_platform" "$platform" &
    fleet_pids+=($!)
    "$bin/tests/standins/standin_upstreams" "$bundle" "$control" &
    fleet_pids+=($!)
    standin_pid=$!
    fleet_wait "http://$platform/ledger"
    fleet_wait "http://$control/ledger"
    fleet_delays
    "$bin/ctl/peridotctl" bundle keygen "$work/approver.key" \
        "$work/approver.pub" >/dev/null
    fleet_publish_bundle "$bundle"
    fleet_publish /v1/instances "$files/instances.json"
    for i in "${instance_numbers[@]}"; do fleet_start_instance "$i"; done
    for i in "${instance_numbers[@]}"; do fleet_wait_instance "$i"; done
}

fleet_entries() { # prints the instances' addresses for callers, comma separated
    local list=""
    for i in "${instance_numbers[@]}"; do list+="$net.0.$i:8080,"; done
    echo "${list%,}"
}

fleet_load() { # REPORT OPTIONS...: runs peridotctl load in the background
    local report=$1
    shift
    "$bin/ctl/peridotctl" load --queries "$work/queries" \
        --entries "$(fleet_entries)" --caller-delay "$caller_delay" \
        --report "$report" "$@" &
    load_pid=$!
    fleet_pids+=("$load_pid")
}

fleet_read_ledger() { # LOAD_REPORT FOLDER: writes ledger.json and ran.json
    curl -fsS "http://$control/ledger" >"$2/ledger.json"
    curl -fsS -X POST "http://$control/ran" --data-binary @"$1" >"$2/ran.json"
}

fleet_await_end() { # PID SECONDS: succeeds when the process ends in time
    local polls=$(($2 * 20))
    while kill -0 "$1" 2>/dev/null; do
        [ $((polls--)) -gt 0 ] || return 1
        sleep 0.05
    done
}

fleet_stop() { # stops all processes that were started here, by process id
    local pid
    for pid in "${fleet_pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${fleet_pids[@]}"; do
        if ! fleet_await_end "$pid" 25; then
            echo "process $pid did not stop within 25 s; sending SIGKILL" >&2
            kill -KILL "$pid" 2>/dev/null || true
        fi
        wait "$pid" 2>/dev/null || true
    done
    fleet_pids=()
}

fleet_clean() { # stops all processes and removes the temporary folder
    trap '' INT TERM
    fleet_stop
    rm -rf "$work"
}
