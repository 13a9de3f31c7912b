#!/usr/bin/env bash
# Builds the stand-ins and cases of review/6 to review/10 into target/review-2/. Needs only the
# compiler; run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread review/standins-2/*.cc -o target/review-2/review-cases
