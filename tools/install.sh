#!/usr/bin/env bash
# Installs the Debian packages required by the build, the checks and the tests.
set -euo pipefail

packages=(
    g++ cmake ninja-build ccache clang-format clang-tidy curl jq
    libboost-test-dev libcpprest-dev libcsv-dev libfmt-dev libjsonrpccpp-dev
    libmsgpack-cxx-dev libpopt-dev libssl-dev libxxhash-dev libzstd-dev prometheus-cpp-dev rapidjson-dev
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
sudo=""
[ "$(id -u)" -eq 0 ] || sudo=sudo
$sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq "${missing[@]}" >/dev/null
