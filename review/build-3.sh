#!/bin/sh
# Builds the stand-ins of the third review's cases into target/review-3/. Needs
# the packages of the deploy file only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standin-3/*.cc; do
  name=$(basename "$source" .cc)
  g++ -std=c++20 -O1 -pthread -o "target/review-3/$name" "$source"
done
