#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review, which the build of the
# deploy file has made room for. Needs nothing beyond that build's packages.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
Flags=(-std=c++17 -O1 -Wall -Wextra -pthread)
"${CXX:-g++}" "${Flags[@]}" -c review/standins/Harness.cpp \
  -o target/review/Harness.o
for Case in review/[1-9]/case.cpp; do
  Number=$(basename "$(dirname "$Case")")
  "${CXX:-g++}" "${Flags[@]}" "$Case" target/review/Harness.o \
    -o "target/review/case-$Number"
done
