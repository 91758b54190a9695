#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 review/standin-2/*.java
