#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3. They need nothing but a JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac --release 17 -d target/review-3 review/standin-3/*.java
