#!/usr/bin/env bash
# Example of a caller: reads the instance addresses from any of the given
# instances, caches them for max_age_ms, sends one search, and tries the next
# address when a connection fails.
#
# usage: search.sh SEARCH CRITERIA_JSON HOST:PORT...
#
# Example: search.sh exposure '{"subject":"panel-000042"}' 127.10.0.1:8080
set -euo pipefail

if [ $# -lt 3 ]; then
    sed -n '6s/^# //p' "$0" >&2
    exit 2
fi
search=$1 criteria=$2
shift 2

cache=${TMPDIR:-/tmp}/peridotward-entries.$(id -u)
keep_alive='Connection: keep-alive'

now_ms() { date +%s%3N; }

refresh_addresses() { # ADDRESS...: tries each address until one answers
    local address body
    for address in "$@"; do
        body=$(curl -fsS --max-time 1 -H "$keep_alive" \
            "http://$address/v1/entries") || continue
        local max_age
        max_age=$(sed -n 's/.*"max_age_ms":\([0-9]*\).*/\1/p' <<<"$body")
        echo $(($(now_ms) + max_age)) >"$cache"
        grep -o '"address":"[^"]*"' <<<"$body" | cut -d'"' -f4 >>"$cache"
        return 0
    done
    echo "no response from any of $*" >&2
    return 4
}

addresses_are_fresh() {
    [ -s "$cache" ] && [ "$(head -n 1 "$cache")" -gt "$(now_ms)" ]
}

addresses_are_fresh || refresh_addresses "$@"

for address in $(tail -n +2 "$cache" | shuf); do
    code=0
    curl -sS --max-time 2 -H "$keep_alive" -H 'Content-Type: application/json' \
        -d "{\"criteria\":$criteria,\"deadline_ms\":1000}" \
        "http://$address/v1/search/$search" || code=$?
    # curl exit codes: 7: connection failed; 28: timeout; 52, 56: connection
    # broken. A search only reads, so it is safe to resend to another address.
    case $code in
    0) echo && exit 0 ;;
    7 | 28 | 52 | 56) echo "no answer from $address, trying the next" >&2 ;;
    *) exit $code ;;
    esac
done
rm -f "$cache"
echo "no instance answered" >&2
exit 4
