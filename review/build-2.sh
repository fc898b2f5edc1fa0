#!/bin/sh
# Builds every stand-in that the scripts of the second review start. Run it
# after the build of the deploy file; the programs are placed under target/.
set -eu
cd "$(dirname "$0")/.."
cmake -S review/standins-2 -B target/review-2 -G Ninja \
  -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-2 -j6
