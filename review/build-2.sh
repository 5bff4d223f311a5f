#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2. Runs after the build of the deploy
# file, which builds the project's own stand-ins into target/mallowroad.jar. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac --release 17 -nowarn -cp target/mallowroad.jar -d target/review-2 review/stand-ins-2/review2/*.java
