#!/usr/bin/env bash
# Runs one deployment on loopback under load with a slow upstream, evacuates a
# failure domain, returns it, and reports the results of callers.
#
# usage: tools/demo.sh [--deployment pwani|authority] [--rate N] [--report FILE]
#
# Exits with 1 when a counter that must be 0 is not. Stops all its processes.
set -euo pipefail
cd "$(dirname "$0")/.."

requested_deployment=pwani rate=150 report=""
while [ $# -gt 0 ]; do
    case $1 in
    --deployment) requested_deployment=$2 && shift 2 ;;
    --rate) rate=$2 && shift 2 ;;
    --report) report=$2 && shift 2 ;;
    *)
        sed -n '5s/^# //p' "$0" >&2
        exit 2
        ;;
    esac
done

tools/setup.sh
cmake --preset release >/dev/null
cmake --build --preset release
echo "set up and built after $SECONDS s"

source tools/fleet.sh
fleet_use "$requested_deployment"
trap fleet_clean EXIT
trap 'exit 130' INT TERM

case $deployment in
pwani)
    search=exposure domain=nyali slow=certify-3-1
    mix=fetch:panel-desk=0.1,append:billing=0.05
    ;;
authority)
    search=compliance domain=nelson slow=harbour-clearance-3-1
    mix=fetch:district-desk=0.1,append:booking-audit=0.05
    ;;
esac

echo "starting stand-ins and 8 instances of $deployment"
fleet_start
"$bin/tests/standins/make_queries" "$bundle" $search 2000 >"$work/queries"
fleet_set "$slow" '{"straggler_share":0.1,"straggler_factor":20}'

echo "load of 20 s at $rate requests/s; $slow is slow; $domain is evacuated" \
    "at 5 s and returns at 12 s"
fleet_load "$work/load.json" --rate "$rate" --seconds 20 --deadline 1000 \
    --mix "$mix"
sleep 5
fleet_publish_domain "$domain" out 2
sleep 3
fleet_set "$domain" '{"forbidden":true}'
sleep 4
fleet_set "$domain" '{"forbidden":false}'
fleet_publish_domain "$domain" in 3
wait "$load_pid" || true
fleet_read_ledger "$work/load.json" "$work"

"$bin/tests/report/demo_report" "$work/load.json" "$work/ledger.json" \
    "$work/ran.json" "${report:-$work/report.json}"
