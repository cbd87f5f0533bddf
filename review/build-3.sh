#!/usr/bin/env bash
# Builds the stand-ins and the scripts' programs of the third review into
# out/review-3, with the compiler and its standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."

out=out/review-3
mkdir -p "$out"
flags=(-std=c++20 -O2 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c review/third/tests/lab.cpp -o "$out/lab.o"
for source in review/third/tests/case_*.cpp; do
    number=$(basename "$source" .cpp)
    g++ "${flags[@]}" "$source" "$out/lab.o" -o "$out/case-${number#case_}"
done
