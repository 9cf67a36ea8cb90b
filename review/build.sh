#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for n in 1 2 3; do
  [ -f "review/$n/case.cpp" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/case$n" "review/$n/case.cpp"
done
