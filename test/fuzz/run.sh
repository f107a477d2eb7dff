#!/usr/bin/env bash
# Builds the fuzz targets with clang's libFuzzer and AddressSanitizer and runs
# each over a fixed count of inputs from a fixed seed.
# usage: test/fuzz/run.sh WORK_FOLDER
set -eu
cd "$(dirname "$0")/../.."
work=$1
cxx=${FUZZ_CXX:-clang++-14}
runs=${FUZZ_RUNS:-100000}
seed=${FUZZ_SEED:-1}
mkdir -p "$work/frame" "$work/bundle"
flags="-std=c++20 -O1 -gline-tables-only -I. -fsanitize=fuzzer-no-link,address -fno-sanitize-recover=all"
sources="gullstall/src/wire/codec.cpp gullstall/src/bundle/bundle.cpp
  gullstall/src/bundle/signature.cpp gullstall/src/settings/ini.cpp
  gullstall/src/settings/section_reader.cpp gullstall/src/core/hex.cpp
  gullstall/src/bundle/canonical.cpp"
launcher=$(command -v ccache || true)
object_of() { echo "$work/$(basename "$1" .cpp)-$(basename "$(dirname "$1")").o"; }
objects=()
for it in $sources; do objects+=("$(object_of "$it")"); done
for it in $sources test/fuzz/frame.cpp test/fuzz/bundle.cpp test/fuzz/seeds.cpp; do
  echo "$it $(object_of "$it")"
done | xargs -P 3 -L 1 sh -c "$launcher $cxx $flags -c \$0 -o \$1"
$cxx -fsanitize=address "$work/seeds-fuzz.o" "${objects[@]}" -lcrypto -o "$work/seeds"
"$work/seeds" "$work/frame"
cp demo/*.bundle "$work/bundle/"
for it in frame bundle; do
  $cxx -fsanitize=fuzzer,address "$work/$it-fuzz.o" "${objects[@]}" -lcrypto -o "$work/fuzz_$it"
  # The corpus folder is only read: what is found goes to a folder that each run empties.
  rm -rf "$work/found-$it" && mkdir "$work/found-$it"
  "$work/fuzz_$it" -runs="$runs" -seed="$seed" -max_len=4096 -timeout=10 -print_final_stats=0 \
    -verbosity=1 -artifact_prefix="$work/" "$work/found-$it" "$work/$it" 2>&1 | tail -3
done
