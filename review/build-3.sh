#!/bin/sh
# Builds the stand-ins of the cases in review/11 to review/15, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/standins-3/target
javac -nowarn -d review/standins-3/target -cp 'damasktiller-node/target/lib/*' review/standins-3/src/*.java
