#!/bin/sh
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")" || exit 2
[ -d ../target/classes ] || exit 2
exec java -Xmx512m -Djdk.httpclient.allowRestrictedHeaders=host -Dsun.net.httpserver.nodelay=true -Dsun.net.httpserver.maxIdleConnections=2000 -cp '../target/classes:../../damasktiller-node/target/lib/*' review.GangCase "$PWD"
