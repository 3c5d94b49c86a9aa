#!/usr/bin/env bash
# Builds the stand-ins of the second review: for each case with a script, the program that plays its platform, servers and clients. CASES names the cases
# to build, as in CASES="6 7". The system's own program comes from the build of the deploy file.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")"
out=../target/review-2
mkdir -p "$out"
for number in ${CASES:-6 7 8 9 10}; do
    [ -e "$number/standin.cc" ] || continue
    "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "$out/case-$number" "$number/standin.cc"
done
