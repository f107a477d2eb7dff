#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, into target/review-2/. Run after the build of
# deploy/system.toml; needs no more than that build's packages.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -include boost/json/src.hpp review/standins-2/cases.cpp \
  -o target/review-2/cases
