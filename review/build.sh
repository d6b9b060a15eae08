#!/usr/bin/env bash
# Builds the stand-ins and the driver of each case into review/build/.
# Needs the packages of deploy/system.toml and libcpp-httplib-dev.
set -euo pipefail
cd "$(dirname "$0")/.."
out=review/build
mkdir -p "$out"
flags=(-std=c++20 -O1 -g -Wall -Wextra -I.)
read -r -a libraries <<< "$(pkg-config --cflags --libs absl_strings cpp-httplib)"
shared=(review/common/*.cc platform/testing/fake_store.cc testing/process.cc)
objects=()
for source in "${shared[@]}"; do
  object="$out/$(basename "$source" .cc).o"
  "${CXX:-g++}" "${flags[@]}" -c "$source" -o "$object" &
  objects+=("$object")
done
for job in $(jobs -p); do
  wait "$job"
done
for source in review/[1-5]/*.cc; do
  [ -e "$source" ] || continue
  name="$(basename "$source" .cc)"
  "${CXX:-g++}" "${flags[@]}" "$source" "${objects[@]}" \
    "${libraries[@]}" -pthread -o "$out/$name"
done
