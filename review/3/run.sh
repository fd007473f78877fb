#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/gatetack ] || { echo "build first: bin/gatetack is missing" >&2; exit 2; }
[ -x review/bin/case3 ] || review/build.sh || exit 2
exec review/bin/case3 "$PWD" "$PWD/review/3/record.txt"
