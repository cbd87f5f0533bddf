#!/usr/bin/env bash
# Runs the tests of gateway/ and platform/, and a short soak of gateways, with
# the address and the undefined behaviour sanitizer. Needs the release build of
# the soak.
set -euo pipefail
cd "$(dirname "$0")/.."

cmake --preset asan >/dev/null
cmake --build --preset asan --target \
    gateway_tests platform_tests store_fleet_tests peridotward-gateway
# Connections that are open at the end of a test are reported as leaks.
export ASAN_OPTIONS=detect_leaks=0:quarantine_size_mb=32
export UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1
export RC_PARAMS=seed=20261204
build/asan/gateway/gateway_tests
build/asan/platform/platform_tests
build/asan/platform/store_fleet_tests
# Even seeds play configurations while all replicas are silent. The sanitizer
# needs several times the memory of the program.
build/release/soak/peridotward-soak \
    --program build/asan/platform/peridotward-gateway --seeds 9104 --seconds 15 \
    --series stress --resident 1000 --folder build/asan/soak-logs
