#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases into target/review. Needs the JDK of the build alone.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/jdk-env

mkdir -p target/review
javac -d target/review review/standins/*.java
