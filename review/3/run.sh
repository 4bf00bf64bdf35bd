#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
[ -x "$root/bin/otterturn" ] && [ -x "$root/review/bin/case3" ] || { echo "build first"; exit 2; }
exec "$root/review/bin/case3" "$root" "$folder"
