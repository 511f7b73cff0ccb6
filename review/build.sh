#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review, after the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c review/standin/standin.cc -o target/review/standin.o
for source in review/standin/case_*.cc; do
  name=$(basename "$source" .cc)
  g++ "${flags[@]}" "$source" target/review/standin.o -o "target/review/$name"
done
