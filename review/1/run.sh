#!/bin/bash
# Plays the case that claim.txt describes, after the build of the deploy file and review/build.sh. TROUBLE=0 leaves out the
# disruption. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. All processes that it starts end
# with it, also when the time is over.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -f target/rockshift.jar ] && [ -f review/classes/SilentStrangers.class ] || exit 2
export TROUBLE=${TROUBLE:-1}
timeout -k 5 110 java -Xmx96m -cp review/classes SilentStrangers "$here/record.txt"
case $? in
    0) exit 0 ;;
    11) exit 1 ;;
    *) exit 2 ;;
esac
