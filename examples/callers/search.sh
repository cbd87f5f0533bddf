#!/usr/bin/env bash
# Sends one search to the instances of the system, as a caller would: it asks
# any of the given instances which entries to use, keeps the answer for as
# long as it says, and moves on when a connection fails.
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

refresh_entries() { # ADDRESS...: asks one after the other until one answers
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
    echo "none of $* answers" >&2
    return 4
}

entries_are_fresh() {
    [ -s "$cache" ] && [ "$(head -n 1 "$cache")" -gt "$(now_ms)" ]
}

entries_are_fresh || refresh_entries "$@"

for entry in $(tail -n +2 "$cache" | shuf); do
    code=0
    curl -sS --max-time 2 -H "$keep_alive" -H 'Content-Type: application/json' \
        -d "{\"criteria\":$criteria,\"deadline_ms\":1000}" \
        "http://$entry/v1/search/$search" || code=$?
    # 7: no connection; 52, 56: the connection broke. A search only reads, so
    # it may go to another entry in each of these cases.
    case $code in
    0) echo && exit 0 ;;
    7 | 28 | 52 | 56) echo "$entry failed, trying another" >&2 ;;
    *) exit $code ;;
    esac
done
rm -f "$cache"
echo "no entry answered" >&2
exit 4
