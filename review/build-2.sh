#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/9 start, into
# target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
sources=()
for source in standins main config_in_the_dark late_reader late_readers foreign_keys; do
    sources+=("review/second/tests/$source.cpp")
done
g++ -std=c++20 -O1 -pthread "${sources[@]}" -o target/review-2/review-2-cases.new
mv target/review-2/review-2-cases.new target/review-2/review-2-cases
