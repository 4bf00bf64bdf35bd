#!/bin/bash
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")" || exit 2
[ -x ../kit-2/bin/cases ] || { echo "build the stand-ins first: review/build-2.sh" >&2; exit 2; }
exec ../kit-2/bin/cases sftp-write .
