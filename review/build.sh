#!/bin/bash
# Builds every stand-in that the cases start. Needs only the JDK.
set -eu
cd "$(dirname "$0")"
rm -rf classes
mkdir classes
javac -encoding UTF-8 -Xlint:all -d classes standin/*.java
