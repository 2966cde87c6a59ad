#!/usr/bin/env bash
# Builds the stand-ins of the cases 9 and 10; needs only packages of the deploy file. Those of the cases 6 to 8 are
# Python scripts that use the standard library only, so nothing is compiled for them.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -pthread -o target/review-2/stand review/stand-2/*.cpp
python3 -c 'import ast, sys; [ast.parse(open(path).read(), path) for path in sys.argv[1:]]' \
    review/standin/*.py review/stand-2/*.py review/[678]/case.py
