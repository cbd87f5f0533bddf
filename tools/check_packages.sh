#!/usr/bin/env bash
# Checks that packages include only packages that stand before them, and that
# the core does no input or output and reads no clock.
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
    echo "core: no clock, thread, randomness or input and output here"
    status=1
fi
# The platform's names are decoded once, in its adapter.
if git grep -nE 'Peridotward-(Server|Part|Missing|Expect|Not-Exec|Deadline)|kv-(key|range|watch)|op/(config|evacuate)|warmupPerS|minShardShare' \
    -- '*.cpp' '*.hpp' ':!platform/*' ':!*tests/*' ':!soak/*'; then
    echo "a name of the platform outside platform/"
    status=1
fi
exit $status
