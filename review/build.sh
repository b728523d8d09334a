#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this folder start, into target/review/.
# Needs only the packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
common=(review/stand_ins/http.cpp review/stand_ins/store.cpp review/stand_ins/gateway.cpp)
for program in review/stand_ins/*_case.cpp; do
  g++ "${flags[@]}" "$program" "${common[@]}" -o "$out/$(basename "$program" .cpp)"
done
