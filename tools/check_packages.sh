#!/usr/bin/env bash
# Checks that each package includes only its allowed dependencies, that the core
# uses no clock, thread, randomness or I/O, and that names of the platform's API
# are used only in platform/.
set -euo pipefail
cd "$(dirname "$0")/.."

declare -A allowed=(
    [base]="base"
    [config]="base config"
    [core]="base config core"
    [wire]="base config core wire"
    [gateway]="base config core wire gateway"
    [platform]="base config core gateway platform"
    [http]="base http"
    [instance]="base config core wire http instance"
    [ctl]="base config core http"
)
status=0
for package in "${!allowed[@]}"; do
    while IFS=: read -r file _ include; do
        used=${include#*<peridotward/}
        used=${used%%/*}
        case " ${allowed[$package]} peridotward.hpp> " in
        *" $used "*) ;;
        *)
            echo "$file: package $package may not include package $used"
            status=1
            ;;
        esac
    done < <(git grep -n '#include <peridotward/' -- "$package/include" \
        "$package/src" | grep -v 'peridotward/peridotward.hpp' |
        sed 's/#include /:/; s/::/:/')
done
if git grep -nE 'system_clock|steady_clock::now|std::thread|random_device|socket\(' \
    -- core/include core/src; then
    echo "core: clocks, threads, random devices and I/O are not allowed"
    status=1
fi
# Only the adapter in platform/ reads and writes the platform's own names.
if git grep -nE 'Peridotward-(Server|Part|Missing|Expect|Not-Exec|Deadline)|kv-(key|range|watch)|op/(config|evacuate)|warmupPerS|minShardShare' \
    -- '*.cpp' '*.hpp' ':!platform/*' ':!*tests/*' ':!soak/*'; then
    echo "names of the platform's API are allowed in platform/ only"
    status=1
fi
exit $status
