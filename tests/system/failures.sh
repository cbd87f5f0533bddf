#!/usr/bin/env bash
# Injects one failure into a fleet of real processes under load. Checks the
# counters of the stand-ins, and that every upstream has one lease holder again;
# durations are not checked.
#
# usage: tests/system/failures.sh BUILD_FOLDER CASE
#
# Cases: kill, pause, cut, domain, cold.
set -euo pipefail
cd "$(dirname "$0")/../.."

[ $# -eq 2 ] || {
    sed -n '6s/^# //p' "$0" >&2
    exit 2
}
build=$1 failure=$2

# Runs from other working copies use the same addresses.
exec 9>"${TMPDIR:-/tmp}/peridotward-system.lock"
flock 9

source tools/fleet.sh
fleet_use pwani
trap fleet_clean EXIT
trap 'exit 130' INT TERM
bin=$build net=127.33 platform=127.33.0.100:7000 control=127.33.0.101:7001
upstreams=135 domain=nyali

prepare() { # copies the example to other addresses and enables the link filter
    files=$work/files
    mkdir "$files"
    local file
    for file in "examples/$deployment"/*; do
        sed -e 's/127\.10\./127.33./g' \
            -e 's/\("peers": {\)/\1"test_filter": true, /' \
            "$file" >"$files/${file##*/}"
    done
    bundle=$files/bundle.jsonc
}

refuse() { # INSTANCE SEATS: makes one instance refuse links with SEATS
    curl -fsS -o /dev/null -X POST \
        "http://$net.0.$1:8081/v1/test/link-filter" -d "{\"refuse\":[$2]}"
}

cut_links() { # partitions the fleet into instances 1..5 and 6..8
    local i
    for i in 1 2 3 4 5; do refuse $i '"pw-6","pw-7","pw-8"'; done
    for i in 6 7 8; do refuse $i '"pw-1","pw-2","pw-3","pw-4","pw-5"'; done
}

restore_links() {
    local i
    for i in "${instance_numbers[@]}"; do refuse "$i" ''; done
}

leases_held() { # prints the sum of the leases that all instances hold
    local i sum=0
    for i in "${instance_numbers[@]}"; do
        sum=$((sum + $(curl -fsS \
            "http://$net.0.$i:8081/v1/state?section=fleet" |
            sed -n 's/.*"leases_held": \([0-9]*\).*/\1/p')))
    done
    echo $sum
}

await_lease_holders() { # waits until each upstream has one lease holder
    local held=0
    for _ in $(seq 300); do
        held=$(leases_held)
        [ "$held" -eq "$upstreams" ] && return 0
        sleep 0.1
    done
    echo "$held of $upstreams upstreams have a lease holder" >&2
    return 1
}

inject_failure() {
    case $failure in
    kill)
        kill -KILL "${instance_pid[3]}"
        sleep 4
        fleet_start_instance 3
        fleet_wait_instance 3
        ;;
    pause)
        kill -STOP "${instance_pid[3]}"
        sleep 10
        kill -CONT "${instance_pid[3]}"
        ;;
    cut)
        cut_links
        sleep 6
        restore_links
        ;;
    domain)
        fleet_publish_domain $domain out 2
        sleep 3
        fleet_set $domain '{"forbidden":true}'
        sleep 3
        fleet_set $domain '{"forbidden":false}'
        fleet_publish_domain $domain in 3
        ;;
    cold)
        fleet_set $domain '{"phase":"cold"}'
        sleep 5
        fleet_set $domain '{"phase":"warm"}'
        ;;
    *)
        echo "unknown case \"$failure\"" >&2
        exit 2
        ;;
    esac
}

prepare
fleet_start
await_lease_holders
"$bin/tests/standins/make_queries" "$bundle" exposure 500 >"$work/queries"
fleet_load "$work/load.json" --rate 60 --seconds 16 --deadline 1000 \
    --mix fetch:panel-desk=0.1,append:billing=0.05
sleep 2
inject_failure
await_lease_holders
wait "$load_pid" || true
fleet_read_ledger "$work/load.json" "$work"
"$bin/tests/report/demo_report" "$work/load.json" "$work/ledger.json" \
    "$work/ran.json" "$work/report.json" | tee "$work/report.txt" || true
[ -s "$work/report.json" ]

# The open requests of a process that is killed or paused are lost. Requests
# that an upstream gets before its first response reports a cold start are
# counted as `unwarned_requests`, at most slots minus cold slots in each start.
case $failure in
kill | pause) allowed='^broken promise: lost ' ;;
*) allowed='^$' ;;
esac
! grep '^broken promise: ' "$work/report.txt" | grep -v "$allowed"
