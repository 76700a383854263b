#!/usr/bin/env bash
# Builds the stand-ins and the scripts of the review into target/review; run it after deploy/build.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -encoding UTF-8 -d target/review review/standin/*.java $(find review -path 'review/[1-5]/*.java')
