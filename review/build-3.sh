#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for trial in review/world-3/*.cpp; do
  name=$(basename "$trial" .cpp)
  [ "$name" = world ] && continue
  "${CXX:-g++}" -std=c++20 -O1 -pthread -o "target/review-3/$name" "$trial" review/world-3/world.cpp
done
