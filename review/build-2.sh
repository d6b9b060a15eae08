#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. The daemon
# itself comes from the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
packages=(cpp-httplib fmt absl_strings)
read -ra flags <<< "$(pkg-config --cflags "${packages[@]}")"
read -ra libraries <<< "$(pkg-config --libs "${packages[@]}")"
compile() {
  g++ -std=c++20 -O1 -I. "${flags[@]}" -c "$1" -o "$out/$(basename "$1" .cc).o"
}
for source in platform/testing/fake_store.cc review/stand-ins-2/*.cc; do
  compile "$source" &
done
for job in $(jobs -p); do
  wait "$job"
done
for source in review/stand-ins-2/case_*.cc; do
  name=$(basename "$source" .cc)
  g++ "$out/$name.o" "$out/harness.o" "$out/fake_store.o" -o "$out/$name" \
    "${libraries[@]}" -pthread
done
