#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 11 to 15 into build-review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-3
g++ -std=c++20 -O1 -c review/stand-3/harness.cpp -o build-review-3/harness.o
for source in review/stand-3/*.cpp; do
    name=$(basename "$source" .cpp)
    [ "$name" = harness ] && continue
    g++ -std=c++20 -O1 "$source" build-review-3/harness.o -pthread -o "build-review-3/$name"
done
