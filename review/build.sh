#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin/. Needs only the packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"

mkdir -p bin
for source in standin/*.cc; do
    g++ -std=c++20 -O1 -Wall -Wextra -o "bin/$(basename "$source" .cc)" "$source" -lboost_json -pthread
done
