#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. Needs only packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -pthread -o target/review-2/stand review/stand-2/*.cpp
