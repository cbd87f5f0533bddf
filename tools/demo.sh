#!/usr/bin/env bash
# Runs one deployment on loopback under load, with a straggling upstream and a
# failure domain taken out and brought back, and reports what callers saw.
#
# usage: tools/demo.sh [--deployment pwani|authority] [--rate N] [--report FILE]
set -euo pipefail
cd "$(dirname "$0")/.."

wanted=pwani rate=150 report=""
while [ $# -gt 0 ]; do
    case $1 in
    --deployment) wanted=$2 && shift 2 ;;
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

source tools/fleet.sh
fleet_use "$wanted"
trap fleet_stop EXIT
trap 'exit 130' INT TERM

case $deployment in
pwani) search=exposure domain=nyali slow=certify-3-1 ;;
authority) search=compliance domain=nelson slow=harbour-clearance-3-1 ;;
esac
bundle=examples/$deployment/bundle.jsonc

echo "starting stand-ins and 8 instances of $deployment"
fleet_start
"$bin/tests/standins/make_queries" "$bundle" $search 2000 >"$work/queries"
fleet_set "$slow" '{"straggler_share":0.1,"straggler_factor":20}'

echo "load of 20 s at $rate searches/s; $slow straggles; $domain leaves at 5 s" \
    "and returns at 12 s"
"$bin/ctl/peridotctl" load --queries "$work/queries" \
    --entries "$(fleet_entries)" --rate "$rate" --seconds 20 \
    --deadline 1000 --report "$work/load.json" &
load=$!
sleep 5
sed -e 's/"version": 1,/"version": 2,/' \
    -e "s/\(\"id\": \"$domain\".*\"state\": \)\"in\"/\1\"out\"/" \
    "$bundle" >"$work/out.jsonc"
fleet_publish /v1/values/bundle "$work/out.jsonc"
sleep 3
fleet_set "$domain" '{"forbidden":true}'
sleep 4
fleet_set "$domain" '{"forbidden":false}'
sed -e 's/"version": 1,/"version": 3,/' "$bundle" >"$work/in.jsonc"
fleet_publish /v1/values/bundle "$work/in.jsonc"
wait $load || true
curl -fsS "http://$control/ledger" >"$work/ledger.json"

"$bin/tests/standins/demo_report" "$work/load.json" "$work/ledger.json" \
    "${report:-$work/report.json}"
