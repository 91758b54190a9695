#!/bin/bash
# Plays the case that claim.txt describes, from the root of the repository, after the build of the deploy file and
# review/build.sh. TROUBLE=0 leaves out the disruption. Exit status: 1 the rule was broken, 0 it held, 2 could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -f target/rockshift.jar ] && [ -f review/classes/WipedFounder.class ] || exit 2
export TROUBLE=${TROUBLE:-1}
exec timeout -k 5 115 java -Xmx96m -cp review/classes WipedFounder "$here/record.txt"
