#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases 11 to 15 into
# target/review-3, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
Out=target/review-3
mkdir -p "$Out"
Flags=(-std=c++17 -O2 -Wall -Wextra -pthread -I review/standins-3)
g++ "${Flags[@]}" -c review/standins-3/Deployment.cpp -o "$Out/Deployment.o"
for Source in review/*/Trial.cpp; do
  [ -e "$Source" ] || continue
  Number=$(basename "$(dirname "$Source")")
  g++ "${Flags[@]}" "$Source" "$Out/Deployment.o" -o "$Out/trial-$Number"
done
