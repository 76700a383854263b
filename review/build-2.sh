#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start into target/review-2. Needs a JDK 17 only; the project's
# own programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn --release 17 -d target/review-2 review/standin-2/review2/*.java
