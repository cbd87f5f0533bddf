#!/usr/bin/env bash
# Benchmarks both deployments at full size on loopback and writes a JSON report,
# a table and plots to a folder that git ignores.
#
# usage: tools/bench.sh [--deployment NAME] [--row NAME] [--seconds N] [--out DIR]
#
# Each row starts a new fleet and, unless its rate in all_rows says otherwise,
# runs at 70% of the upstreams' capacity.
set -euo pipefail
cd "$(dirname "$0")/.."

only_deployment="" only_row="" length=10 out=out/bench
while [ $# -gt 0 ]; do
    case $1 in
    --deployment) only_deployment=$2 && shift 2 ;;
    --row) only_row=$2 && shift 2 ;;
    --seconds) length=$2 && shift 2 ;;
    --out) out=$2 && shift 2 ;;
    *)
        sed -n '5s/^# //p' "$0" >&2
        exit 2
        ;;
    esac
done

source tools/fleet.sh
work=$(mktemp -d)
fleet_pids=()
trap fleet_clean EXIT
trap 'exit 130' INT TERM

service_ms=20 # Mean service time of an upstream for one request.

bench_use() { # DEPLOYMENT
    rm -rf "$work"
    fleet_use "$1"
    case $1 in
    # Capacity: replicas x slots / (service time + mean delay between domains).
    pwani)
        search=exposure domain=nyali service=certify-3 capacity=545
        mix=fetch:panel-desk=0.05,append:billing=0.02
        classes=port-inspector=0.2,quality-officer=0.5,fabricator=0.3
        ;;
    authority)
        search=compliance domain=nelson service=harbour-clearance-3
        capacity=272 mix=fetch:district-desk=0.05,append:booking-audit=0.02
        classes=harbourmaster=0.2,district-office=0.5,public=0.3
        ;;
    esac
    steady=$((capacity * 7 / 10))
    "$bin/tests/standins/make_queries" "$bundle" $search 2000 >"$work/queries"
}

cpu_ticks() { # PID: prints the user and system time of all its threads
    awk '{print $14 + $15}' "/proc/$1/stat" 2>/dev/null || echo 0
}

usage_start() {
    usage_began=$(date +%s%N)
    ticks_before=()
    for i in "${!instance_pid[@]}"; do
        ticks_before[$i]=$(cpu_ticks "${instance_pid[$i]}")
    done
}

usage_write() { # RATE FILE
    local hz ticks=0 rss=0 count=0 pid peak ended
    hz=$(getconf CLK_TCK)
    ended=$(date +%s%N)
    for i in "${!instance_pid[@]}"; do
        pid=${instance_pid[$i]}
        [ -d "/proc/$pid" ] || continue
        ticks=$((ticks + $(cpu_ticks "$pid") - ${ticks_before[$i]:-0}))
        peak=$(awk '/VmHWM/{print $2}' "/proc/$pid/status")
        [ "$peak" -gt "$rss" ] && rss=$peak
        count=$((count + 1))
    done
    awk -v rate="$1" -v ticks="$ticks" -v hz="$hz" -v n="$count" \
        -v ns=$((ended - usage_began)) -v rss="$rss" 'BEGIN {
            cpu = ticks / hz
            printf "{\"rate\":%s,\"cpu_seconds\":%.2f,", rate, cpu
            printf "\"mean_cores\":%.3f,", cpu / n / (ns / 1e9)
            printf "\"max_rss_mb\":%.1f}\n", rss / 1024
        }' >"$2"
}

measure() { # FOLDER RATE EVENTS OPTIONS...: runs one fleet under one load
    local folder=$1 rate=$2 events=$3
    shift 3
    mkdir -p "$folder"
    fleet_start
    fleet_set '*' "{\"service_ms\":$service_ms}"
    usage_start
    fleet_load "$folder/load.json" --rate "$rate" --seconds "$length" \
        --deadline 1000 "$@" 2>/dev/null
    $events
    wait "$load_pid" || true
    usage_write "$rate" "$folder/usage.json"
    fleet_read_ledger "$folder/load.json" "$folder"
    fleet_stop
}

sleep_tenths() { # N: sleeps for N tenths of a row's length
    sleep "$(awk -v s="$1" -v n="$length" 'BEGIN {print s * n / 10}')"
}

no_events() { :; }
stragglers() { fleet_set '*' '{"straggler_share":0.01,"straggler_factor":10}'; }
replica_lost() {
    sleep_tenths 3
    fleet_set "$service-1" '{"down":true,"reset":true}'
}
domain_out_and_back() {
    sleep_tenths 2
    fleet_publish_domain "$domain" out 2
    sleep_tenths 3
    fleet_set "$domain" '{"forbidden":true}'
    sleep_tenths 2
    fleet_set "$domain" '{"forbidden":false}'
    fleet_publish_domain "$domain" in 3
}
cold_domain() {
    sleep_tenths 3
    fleet_set "$domain" '{"phase":"cold","warm_after_ms":4000}'
}
service_down() {
    sleep_tenths 3
    fleet_set "$service" '{"down":true,"reset":true}'
    sleep_tenths 4
    fleet_set "$service" '{"down":false,"reset":false}'
}
rolling_restart() {
    for i in "${instance_numbers[@]}"; do
        sleep_tenths 1
        fleet_stop_instance "$i"
        fleet_start_instance "$i"
        fleet_wait_instance "$i"
    done
}
bundles_rolling() {
    sleep_tenths 3
    for version in 2 3 4 5 6; do
        fleet_publish_domain none in $version
        sleep_tenths 1
    done
}

row() { # NUMBER NAME RATE EVENTS OPTIONS...: measures one row of the table
    local number=$1 name=$2 rate=$3 events=$4
    shift 4
    [ -z "$only_row" ] || [ "$only_row" = "$name" ] || return 0
    echo "$deployment: $name at $rate requests/s"
    measure "$out/$deployment/rows/$number-$name" "$rate" "$events" \
        --mix "$mix" --classes "$classes" "$@"
}

all_rows() {
    row 01 steady $steady no_events
    row 02 stragglers $steady stragglers
    row 03 replica-lost $steady replica_lost
    row 04 domain-out-and-back $((steady * 6 / 10)) domain_out_and_back
    row 05 cold-domain $((steady * 6 / 10)) cold_domain
    row 06 service-down $steady service_down
    row 07 rolling-restart $steady rolling_restart
    row 08 twice-the-capacity $((capacity * 2)) no_events
    row 09 early-peak $((steady / 2)) bundles_rolling \
        --steps "$((length * 3 / 10))=$((capacity * 9 / 10))"
}

scatter() { # REPORT RATE
    "$bin/ctl/peridotctl" load --queries "$work/queries" --scatter "$bundle" \
        --rate "$2" --seconds "$length" --report "$1" || true
}

curve() { # measures latency by load, for the fleet and for a bare scatter
    for share in 2 4 6 8 10 12; do
        local rate=$((capacity * share / 10)) name
        name=$(printf '%02d' $share)
        echo "$deployment: curve at $rate searches/s"
        measure "$out/$deployment/curve/$name" $rate no_events
        mkdir -p "$out/$deployment/scatter/$name"
        fleet_start
        fleet_set '*' "{\"service_ms\":$service_ms}"
        scatter "$out/$deployment/scatter/$name/load.json" $rate
        echo "{\"rate\":$rate}" >"$out/$deployment/scatter/$name/usage.json"
        fleet_stop
    done
}

baseline() { # measures one instance, then a bare scatter, on the same stand-ins
    local folder=$out/$deployment/baseline rate=100
    local saved=("${instance_numbers[@]}")
    mkdir -p "$folder"
    echo "$deployment: one instance against a bare scatter at $rate searches/s"
    instance_numbers=(1)
    instance_pid=()
    fleet_start
    fleet_set '*' "{\"service_ms\":$service_ms}"
    usage_start
    fleet_load "$folder/instance.json" --rate $rate --seconds "$length" \
        --deadline 1000 2>/dev/null
    wait "$load_pid" || true
    usage_write $rate "$folder/usage.json"
    scatter "$folder/scatter.json" $rate
    fleet_stop
    instance_numbers=("${saved[@]}")
}

cmake --preset release >/dev/null
cmake --build --preset release
rm -rf "$out"
for deployment in pwani authority; do
    [ -z "$only_deployment" ] || [ "$only_deployment" = "$deployment" ] ||
        continue
    bench_use "$deployment"
    instance_pid=()
    all_rows
    [ -n "$only_row" ] && continue
    baseline
    curve
done
"$bin/tests/report/bench_report" "$out"
