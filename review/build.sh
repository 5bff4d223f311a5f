#!/bin/sh
# Compiles the stand-ins and the cases; run after the build command of deploy/service.toml.
set -e
cd "$(dirname "$0")"
rm -rf out
mkdir -p out
javac -nowarn -d out lib/review/*.java
