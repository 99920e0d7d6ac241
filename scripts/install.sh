#!/usr/bin/env bash
# Installs the missing Debian packages that the build and the tests need.
set -euo pipefail
PACKAGES=(cmake ninja-build ccache g++ pkg-config clang-format clang-tidy curl libuv1-dev libh2o-dev libwebsocketpp-dev
	nlohmann-json3-dev libtomlplusplus-dev libgflags-dev libboost-dev libboost-log-dev libboost-thread-dev libboost-filesystem-dev
	libboost-system-dev liblua5.4-dev libcurl4-openssl-dev doctest-dev librapidcheck-dev libxxhash-dev libbenchmark-dev libpcg-cpp-dev libhttp-parser-dev
	libssl-dev zlib1g-dev python3)
MISSING=()
for PACKAGE in "${PACKAGES[@]}"; do
	dpkg-query -W -f='${Status}' "$PACKAGE" 2>/dev/null | grep -q 'ok installed' || MISSING+=("$PACKAGE")
done
[ ${#MISSING[@]} -eq 0 ] && exit 0
echo "installing: ${MISSING[*]}"
SUDO=""
[ "$(id -u)" -eq 0 ] || SUDO=sudo
$SUDO apt-get update -q >/dev/null
DEBIAN_FRONTEND=noninteractive $SUDO apt-get install -y -q --no-install-recommends "${MISSING[@]}" >/dev/null
