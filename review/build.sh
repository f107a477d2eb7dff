#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/target/.
set -eu
cd "$(dirname "$0")"
mkdir -p target
cxx="${CXX:-g++} -std=c++20 -O1 -pthread"
$cxx -c standins/standins.cpp -o target/standins.o
for it in [0-9]*/case.cpp; do
  number=${it%%/*}
  $cxx "$it" target/standins.o -o "target/case-$number"
done
