#!/bin/sh
# Builds the stand-ins and the cases 6 to 10, after the build line of the deploy file.
set -e
cd "$(dirname "$0")"
rm -rf lib-2/out
mkdir -p lib-2/out
javac -d lib-2/out lib-2/Rig.java
for folder in 6 7 8 9 10; do
  if [ -f "$folder/Case.java" ]; then
    rm -rf "$folder/out"
    mkdir -p "$folder/out"
    javac -cp lib-2/out -d "$folder/out" "$folder/Case.java"
  fi
done
