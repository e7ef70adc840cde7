#!/bin/sh
# Builds the stand-ins and the scripts of the cases. The project has to be built before.
set -e
cd "$(dirname "$0")"
mkdir -p target/classes
javac -nowarn -d target/classes -cp '../damasktiller-node/target/lib/*' standins/review/*.java
