#!/usr/bin/env bash
# Builds the programs of the second review's scripts, after the build of the
# deploy file. Needs only g++ and nlohmann-json3-dev, which that build has.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cpp; do
  [[ -e $source ]] || continue
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread "$source" -o "target/review-2/case-$name"
done
