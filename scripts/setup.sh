#!/usr/bin/env bash
# Installs the Debian packages that building and checking need.
set -euo pipefail

packages=(
  build-essential ccache clang clang-format clang-tidy cmake ninja-build
  pkg-config libpistache-dev libssl-dev libcapnp-dev libgflags-dev
  libeasyloggingpp-dev libboost-dev doctest-dev libcurl4-openssl-dev
  nlohmann-json3-dev libxxhash-dev librapidcheck-dev spin curl
)

missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed'; then
    missing+=("$package")
  fi
done
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi
echo "installing: ${missing[*]}"
run=()
[ "$(id -u)" -eq 0 ] || run=(sudo)
export DEBIAN_FRONTEND=noninteractive
"${run[@]}" apt-get update -qq
"${run[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
