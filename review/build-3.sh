#!/bin/sh
# Builds every stand-in that the scripts of the third review start. Run it
# after the build of the deploy file; the programs are placed under target/.
set -eu
cd "$(dirname "$0")/.."
cmake -S review/standins-3 -B target/review-3 -G Ninja \
  -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-3 -j6
