#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/rockshift.jar ] && [ -f target/review-2/ShutOutForgotten.class ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec java -cp target/review-2 ShutOutForgotten review/8
