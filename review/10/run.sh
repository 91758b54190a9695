#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -f target/rockshift.jar ] && [ -f target/review-2/HoldLostWithMachine.class ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec java -cp target/review-2 HoldLostWithMachine "$here"
