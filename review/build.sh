#!/usr/bin/env bash
# Builds the scenario of each case, with its stand-ins, into target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
pids=()
for scenario in review/*/scenario.cc; do
    "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/$(basename "$(dirname "$scenario")").new" "$scenario" &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
for scenario in review/*/scenario.cc; do
    name=target/review/$(basename "$(dirname "$scenario")")
    mv "$name.new" "$name"
done
