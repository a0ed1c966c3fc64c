#!/bin/sh
# Builds the stand-ins of the cases. Needs the JDK alone.
set -e
cd "$(dirname "$0")"
rm -rf out
mkdir out
javac -encoding UTF-8 --release 17 -d out lib/*.java
