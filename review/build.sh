#!/usr/bin/env bash
# Builds the programs of the cases that are scripts, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/tests/case_*.cpp; do
    number=$(basename "$source" .cpp)
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" \
        -o "target/review/case-${number#case_}"
done
