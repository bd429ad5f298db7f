#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on into target/review-2, after the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
Out=target/review-2
mkdir -p "$Out"
Flags=(-std=c++17 -O1 -Iinclude -Ilib -Ilib/connection -Isoak -Istandins
  -Ireview/standins-2)
Objects=()
Builds=()
for Source in soak/Store.cpp standins/bench/Process.cpp \
  standins/bench/Relay.cpp review/standins-2/Kit.cpp; do
  Object=$Out/$(basename "$Source" .cpp).o
  Objects+=("$Object")
  g++ "${Flags[@]}" -c "$Source" -o "$Object" &
  Builds+=($!)
done
for Build in "${Builds[@]}"; do wait "$Build"; done
for Case in review/[0-9]*/Case.cpp; do
  Number=$(basename "$(dirname "$Case")")
  [ "$Number" -ge 6 ] || continue
  g++ "${Flags[@]}" "$Case" "${Objects[@]}" target/liblimpetdrum.a \
    target/liblimpetdrum-rpc.a -lcapnp-rpc -lcapnp -lkj-async -lkj -levent \
    -lyaml-cpp -lz target/libeasylogging.a -lgflags -lprometheus-cpp-core \
    -lxxhash -lpthread -o "$Out/case-$Number"
done
