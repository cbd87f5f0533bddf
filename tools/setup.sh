#!/usr/bin/env bash
# Installs the packages that the build needs on Debian. Run as root.
set -euo pipefail

packages=(
    g++ cmake ninja-build ccache clang-format clang-tidy curl git procps
    libpistache-dev libwebsocketpp-dev nlohmann-json3-dev libexpected-dev
    catch2 libcurl4-openssl-dev libssl-dev librapidcheck-dev libboost-dev
    libboost-system-dev liblog4cplus-dev libxxhash-dev libbenchmark-dev
    libcbor-dev
)

missing=()
for package in "${packages[@]}"; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq "${missing[@]}" >/dev/null
