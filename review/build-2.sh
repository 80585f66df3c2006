#!/usr/bin/env bash
# Builds the stand-ins of cases 4 to 8 into target/review-2. Needs g++ and nlohmann-json3-dev, which the deploy file
# lists, and nothing else.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cc; do
  name=$(basename "$source" .cc)
  g++ -std=c++20 -O1 -pthread "$source" -o "target/review-2/$name"
done
