#!/usr/bin/env bash
# Checks formatting and package dependencies, and runs clang-tidy on all sources
# in src/ and main/ folders, or on the given files.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t all < <(git ls-files '*.cpp' '*.hpp')
clang-format --dry-run --Werror "${all[@]}"
sources=("$@")
[ ${#sources[@]} -gt 0 ] ||
    mapfile -t sources < <(git ls-files '*/src/*.cpp' '*/main/*.cpp')
printf '%s\0' "${sources[@]}" |
    xargs -0 -n 1 -P "$(nproc)" clang-tidy --quiet -p build/release \
        2> >(grep -v 'warnings generated\|Suppressed\|Use -header-filter' >&2)
tools/check_packages.sh
