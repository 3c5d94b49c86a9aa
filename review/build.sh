#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review, beside the daemons that the deploy file builds.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
"${CXX:-c++}" -std=c++20 -O1 -g -Wall -Wextra -pthread -o target/review/scenario review/scenario.cc
