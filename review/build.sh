#!/usr/bin/env bash
# Builds the programs of the cases, with their stand-ins, into target/review/.
# Needs nothing beyond the packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/common \
    -o "target/review/case-$number" "$source"
done
