#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3. The daemons are built by the command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/*.cc; do
    [ -e "$source" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -o "target/review-3/$(basename "$source" .cc)" "$source" -pthread
done
